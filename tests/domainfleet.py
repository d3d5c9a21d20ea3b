"""Simulated fleet in failure domains whose callers and upstreams differ.

Real ingresses and gates, no I/O. Callers retry once after a refusal.
"""

import asyncio
import collections
import dataclasses
import itertools

from jujubefold.sidecar import balancer
from tests import callfleet
from tests import loads
from tests import pausedloop

# Seconds that an offer takes in each direction, by distance.
HOPS_S = {'domain': 0.0005, 'region': 0.0012}
MAX_ATTEMPTS = 2
LATE_WORTH = 0.3
# Longest work, as a multiple of its mean.
MAX_WORK = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class Upstream:
    """An upstream on a VM of its own.

    Args:
        domain: Its failure domain.
        service: Service that it runs.
        speed: Divides the seconds of its work.
    """

    domain: str
    service: str
    speed: float


@dataclasses.dataclass(frozen=True, slots=True)
class Scenario:
    """A fleet and its load.

    Args:
        works: `callfleet.Work` by kind.
        spreads: Sigma of the log-normal duration, by kind.
        worths: Worth of an answer that is on time, by kind; 0 for calls.
        upstreams: Each `Upstream`.
        shares: Share of the callers, by failure domain.
        slots: Slots of each upstream.
        factor: Factor on all rates.
        calls_first: Whether calls of running requests go before others.
    """

    works: dict
    spreads: dict
    worths: dict
    upstreams: tuple
    shares: dict
    slots: int = 12
    factor: float = 1.0
    calls_first: bool = True


class _Vm(callfleet.Vm):
    hops = HOPS_S

    async def offer(self, candidate, attempt):
        """Run a request at the gate of a candidate, and count where it is."""
        self.world.far += candidate.distance == 'region'
        return await super().offer(candidate, attempt)

    async def run(self, attempt):
        """Do the work of a request; return the status of its answer."""
        world, work = self.world, self.world.works[attempt.route]
        spread = world.scenario.spreads[attempt.route]
        factor = world.rng.lognormvariate(-spread * spread / 2, spread)
        seconds = work.seconds / self.speed * min(factor, MAX_WORK)
        left = attempt.deadline - world.clock.monotonic()
        await asyncio.sleep(min(seconds, max(0.0, left)))
        failed = seconds >= left
        if not failed and work.calls and world.rng.random() < work.share:
            statuses = await asyncio.gather(
                *(
                    self.call(attempt, kind, number)
                    for number, kind in enumerate(work.calls)
                )
            )
            failed = any(status != 200 for status in statuses)
        world.runs[attempt.route][failed] += 1
        return 500 if failed else 200


class DomainFleet(callfleet.World):
    """A fleet, its callers and what they got.

    Args:
        clock: A `clock.PausedClock`.
        scenario: A `Scenario`.
        seed: Random seed.

    Attributes:
        ends: Ends of requests by kind, and of their worth by failure domain:
            'in time', 'late' or 'failed'.
        far: Offers to gates in other failure domains.
    """

    def __init__(self, clock, scenario, seed):
        self.scenario = scenario
        self.far = 0
        self._domains = {}
        super().__init__(clock, scenario.works, {}, scenario.calls_first, seed)
        services = sorted({item.service for item in scenario.upstreams})
        for number, item in enumerate(scenario.upstreams):
            name = f'{item.domain}-{number}'
            self._domains[name] = item.domain
            self.vms[name] = _Vm(
                name, item.service, scenario.slots, item.speed, self
            )
            self.vms[name].roster.size = len(scenario.upstreams)
        for vm in self.vms.values():
            vm.by_service = {
                service: {
                    name: balancer.Candidate(
                        name, service, self._distance(vm, name),
                        other.egress.load(), clock.monotonic(), reachable=True,
                    )
                    for name, other in self.vms.items()
                    if other.service == service
                }
                for service in services
            }  # fmt: skip

    def _distance(self, vm, name):
        if name == vm.own_vm:
            return 'own'
        same = self._domains[name] == self._domains[vm.own_vm]
        return 'domain' if same else 'region'

    async def play(self, seconds, warmup):
        """Let callers send requests for some time, and wait for all ends.

        Args:
            seconds: For how long.
            warmup: Seconds from the start whose requests do not count.
        """
        for vm in self.vms.values():
            vm.egress.start()
        sweep = asyncio.create_task(self._sweep())
        scenario, tasks = self.scenario, []
        rate = sum(work.per_s for work in self.works.values())
        weights = [work.per_s for work in self.works.values()]
        by_domain = collections.defaultdict(list)
        for name, vm in self.vms.items():
            by_domain[self._domains[name]].append(vm)
        start = self.clock.monotonic()
        while (at := self.clock.monotonic() - start) < seconds:
            await asyncio.sleep(self.rng.expovariate(rate * scenario.factor))
            (kind,) = self.rng.choices(list(self.works), weights)
            (domain,) = self.rng.choices(
                list(scenario.shares), list(scenario.shares.values())
            )
            vm = self.rng.choice(by_domain[domain])
            caller = self.caller(kind, vm, at > warmup)
            tasks.append(asyncio.create_task(caller))
        await asyncio.gather(*tasks)
        sweep.cancel()
        for vm in self.vms.values():
            vm.egress.close()

    async def caller(self, kind, vm, counted):
        """Send a request, and retry it as callers do."""
        work, begun = self.works[kind], self.clock.monotonic()
        for _ in range(MAX_ATTEMPTS):
            name = f'{self.rng.getrandbits(64):016x}'
            left = begun + work.timeout - self.clock.monotonic()
            status, headers = await vm.request(kind, name, left)
            left = begun + work.timeout - self.clock.monotonic()
            safe = status == 503 or work.kind == 'idempotent'
            if status == 200 or left <= 0 or not safe:
                break
            if status == 503:
                wait = float(headers[callfleet.NAMES.retry_after])
                await asyncio.sleep(min(wait, left * loads.RETRY_SHARE))
        took = self.clock.monotonic() - begun
        end = 'late' if took > work.objective else 'in time'
        if status != 200 or took > work.timeout:
            end = 'failed'
        if counted:
            self.ends[kind][end] += 1
            domain = self._domains[vm.own_vm]
            self.ends[domain][end] += self.scenario.worths[kind]

    def credit(self, name):
        """Return the share of the worth that a kind or domain earned."""
        ends = self.ends[name]
        earned = ends['in time'] + LATE_WORTH * ends['late']
        return earned / max(1, ends.total())

    @property
    def total_credit(self):
        """Share of the worth that all callers together earned."""
        domains = self.scenario.shares
        total = sum(self.ends[name].total() for name in domains)
        return (
            sum(self.credit(x) * self.ends[x].total() for x in domains) / total
        )


def play(scenario, seed, seconds=8.0, warmup=3.0):
    """Return the `DomainFleet` after a play; see `DomainFleet.play`."""
    fleets = []

    async def main(clock):
        fleets.append(DomainFleet(clock, scenario, seed))
        await fleets[0].play(seconds, warmup)

    pausedloop.run(main)
    return fleets[0]


def studios(factor=1.0, without=(), calls_first=True):
    """Return the `Scenario` of a deployment with uneven failure domains.

    At a factor of 1, callers ask for 0.85 of `orders`, the most loaded of
    three services; c has 37% of the callers and 20% of `catalogue`.

    Args:
        factor: Factor on all rates.
        without: Numbers of upstreams that are gone.
        calls_first: As in `Scenario`.
    """
    work = callfleet.Work
    rows = (
        # Kind, spread, worth, work.
        ('browse', 0.8, 1, work('catalogue', 0.09, 0.8, 0.3, 447.0,
                                ('ledger', 'ledger'), 0.7, priority=2)),
        ('deposit', 0.8, 2, work('orders', 0.12, 1.0, 0.4, 191.0, ('index',),
                                 0.7, 'non_idempotent')),
        ('scan', 0.3, 2, work('fittings', 0.11, 1.0, 0.4, 51.0,
                              kind='non_idempotent')),
        ('profile', 0.3, 2, work('fittings', 0.036, 0.4, 0.15, 149.0)),
        ('ledger', 0.5, 0, work('orders', 0.022, 0.25, 0.1)),
        ('index', 0.5, 0, work('fittings', 0.022, 0.25, 0.1)),
    )  # fmt: skip
    upstreams = (
        *zip('aabbc', itertools.repeat('catalogue'), (0.6, 1, 1.4, 0.6, 1)),
        *zip('aabc', itertools.repeat('orders'), (0.6, 1, 1.4, 0.6)),
        *zip('abc', itertools.repeat('fittings'), (0.7, 0.7, 1.6)),
    )
    return Scenario(
        {name: item for name, _, _, item in rows},
        {name: spread for name, spread, _, _ in rows},
        {name: worth for name, _, worth, _ in rows},
        tuple(
            Upstream(*item)
            for number, item in enumerate(upstreams)
            if number not in without
        ),
        {'a': 0.324, 'b': 0.304, 'c': 0.372},
        factor=factor,
        calls_first=calls_first,
    )
