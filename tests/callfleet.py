"""Simulated fleet whose runs make calls: real gates and ingresses, no I/O."""

import asyncio
import collections
import dataclasses
import random
import types

from jujubefold import callserver
from jujubefold.platform import adapter
from jujubefold.sidecar import attempt as attempts
from jujubefold.sidecar import balancer
from jujubefold.sidecar import egress
from jujubefold.sidecar import ingress
from jujubefold.sidecar import instance
from jujubefold.sidecar import metrics
from jujubefold.sidecar import retrybudget
from tests import loads
from tests import sidecars

NAMES = adapter.PLATFORM.names
HOP_S = 0.001


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """What a run of one kind of request does.

    Args:
        service: Service that runs it.
        seconds: Mean seconds of its own work on an upstream of speed 1.
        timeout: Seconds that its caller waits.
        objective: Seconds until an answer is late.
        per_s: Requests a second of its callers; 0 for calls.
        calls: Kinds that it calls, all at once.
        share: Share of runs that call.
        kind: Kind of its route.
        priority: Priority of its route; 0 is the most urgent.
    """

    service: str
    seconds: float
    timeout: float
    objective: float
    per_s: float = 0.0
    calls: tuple = ()
    share: float = 1.0
    kind: str = 'idempotent'
    priority: int = 1


class SimulatedEgress(egress.Egress):
    """A gate whose upstream takes the time that its `Work` names."""

    simulate = None

    async def _forward(self, attempt):
        now = self._clock.monotonic()
        status = await self.simulate(attempt)
        head = [(NAMES.request, attempt.request.encode()), (NAMES.seal, b's')]
        answer = callserver.Answer(status, head, [b''], 0)
        seconds = self._clock.monotonic() - now
        return attempts.Outcome(
            answer=answer, sent=True, upstream_time=seconds
        )


class Vm:
    """One VM; it is also the fleet that its ingress sees.

    Attributes:
        hops: Seconds that an offer takes in each direction, by distance.
    """

    hops = {'domain': HOP_S}

    def __init__(self, name, service, slots, speed, world):
        self.own_vm, self.service, self.speed = name, service, speed
        self.roster = types.SimpleNamespace(size=81)
        self.world, self.by_service = world, {}
        self.event_log = log = sidecars.RecordingEventLog()
        self.egress = SimulatedEgress(
            NAMES, world.clock, name, 2.0, 1, lambda: None, None, log
        )
        self.egress.restore_departures({})
        self.egress.handle_announcement(
            instance.Announcement(
                name, '127.0.0.1:1', service, slots, instance.State.READY, 1
            )
        )
        self.egress.simulate = self.run
        self.egress.candidates = self.candidates
        self.ingress = ingress.Ingress(
            names=NAMES,
            service=service,
            fleet=self,
            versions=world.versions,
            retry_table=retrybudget.RetryTable(
                retrybudget.Policy(0.2, 10.0, 56.0)
            ),
            clock=world.clock,
            rng=world.rng,
            event_log=log,
            metrics=metrics.SidecarMetrics(),
            demand=self.egress.demand,
            calls_first=True,
        )

    def candidates(self, service):
        """Return each `balancer.Candidate`, as `fleet.Fleet` does."""
        if service == self.service:
            own = self.by_service[service][self.own_vm]
            balancer.update_load(
                own, self.egress.load(), self.world.clock.monotonic()
            )
        return list(self.by_service[service].values())

    async def offer(self, candidate, attempt):
        """Run a request at the gate of a candidate."""
        target = self.world.vms[candidate.vm]
        if target is self:
            return await self.egress.run(attempt)
        hop = self.hops[candidate.distance]
        candidate.offers_since_report += 1
        await asyncio.sleep(hop)
        outcome = await target.egress.run(attempt)
        load = target.egress.load()
        await asyncio.sleep(hop)
        balancer.update_load(candidate, load, self.world.clock.monotonic())
        return outcome

    async def run(self, attempt):
        """Do the work of a request; return the status of its answer."""
        world, work = self.world, self.world.works[attempt.route]
        begun = world.clock.monotonic()
        failed = False
        seconds = work.seconds / self.speed
        await asyncio.sleep(seconds * world.rng.lognormvariate(-0.08, 0.4))
        if work.calls and world.rng.random() < work.share:
            statuses = await asyncio.gather(
                *(
                    self.call(attempt, kind, i)
                    for i, kind in enumerate(work.calls)
                )
            )
            failed = any(status != 200 for status in statuses)
        now = world.clock.monotonic()
        world.held[failed] += now - begun
        world.runs[attempt.route][failed] += 1
        return 500 if failed else 200

    async def call(self, attempt, kind, number):
        """Make a call of a running request; return the status."""
        prefix = attempt.request if self.world.recognised else 'other'
        left = attempt.deadline - self.world.clock.monotonic()
        status, _ = await self.request(kind, f'{prefix}.{number}', left)
        return status

    async def request(self, kind, name, left):
        """Send a request to this VM's ingress; return status and headers."""
        world = self.world
        timeout = min(left, world.works[kind].timeout)
        fields = {
            NAMES.request: name.encode(),
            NAMES.deadline: b'%d' % max(0, timeout * 1000),
        }
        request = callserver.Request(
            'GET', b'/', f'/{kind}/x', sidecars.HOST, list(fields.items()),
            fields, '', None, received_at=world.clock.monotonic(),
        )  # fmt: skip
        done = asyncio.get_running_loop().create_future()
        exchange = types.SimpleNamespace(
            request=request, sender_connected=True, reply=done.set_result
        )
        self.ingress.handle(exchange)
        answer = await done
        return answer.status, dict(answer.headers)


class World:
    """The whole fleet, its callers and what they got.

    Args:
        clock: A `clock.PausedClock`.
        works: `Work` by kind.
        sizes: Upstreams by service.
        recognised: Whether the ids of calls tell the run that made them.

    Attributes:
        ends: Ends of requests, by kind: 'in time', 'late' or 'failed'.
        runs: Runs by kind, and by whether they failed.
        held: Seconds for which slots were held, by whether the run failed.
    """

    def __init__(self, clock, works, sizes, recognised, seed=1):
        self.clock, self.works, self.recognised = clock, works, recognised
        self.rng = random.Random(seed)
        self.ends = collections.defaultdict(collections.Counter)
        self.runs = collections.defaultdict(collections.Counter)
        self.held = collections.Counter()
        rows = [
            sidecars.route(
                name, f'/{name}/', work.kind, work.service,
                timeout_s=work.timeout, target_latency_s=work.objective,
                priority=work.priority,
            )
            for name, work in works.items()
        ]  # fmt: skip
        services = sorted({work.service for work in works.values()})
        document = sidecars.document(1, rows, tuple(services))
        found = adapter.PLATFORM.decode(document).ok
        self.versions = types.SimpleNamespace(current=found, number=1)
        self.vms = {}
        for service, count in sizes.items():
            for i in range(count):
                speed = 0.6 + 0.9 * (i + 0.5) / count
                name = f'{service}-{i}'
                self.vms[name] = Vm(name, service, 6, speed, self)
        for vm in self.vms.values():
            vm.by_service = {
                service: {
                    name: balancer.Candidate(
                        name,
                        service,
                        'own' if name == vm.own_vm else 'domain',
                        other.egress.load(),
                        clock.monotonic(),
                        reachable=True,
                    )
                    for name, other in self.vms.items()
                    if other.service == service
                }
                for service in sizes
            }

    async def play(self, seconds, factor):
        """Let callers send requests for some time, and wait for all ends.

        Args:
            seconds: For how long.
            factor: Returns the factor on all rates at a time of the play.
        """
        for vm in self.vms.values():
            vm.egress.start()
        sweep = asyncio.create_task(self._sweep())
        start, tasks = self.clock.monotonic(), []
        rate = sum(work.per_s for work in self.works.values())
        kinds, weights = zip(
            *((name, work.per_s) for name, work in self.works.items()),
            strict=True,
        )
        vms = list(self.vms.values())
        while (at := self.clock.monotonic() - start) < seconds:
            await asyncio.sleep(self.rng.expovariate(rate * factor(at)))
            (kind,) = self.rng.choices(kinds, weights)
            caller = self.caller(kind, self.rng.choice(vms), factor(at) > 1)
            tasks.append(asyncio.create_task(caller))
        await asyncio.gather(*tasks)
        sweep.cancel()
        for vm in vms:
            vm.egress.close()

    async def caller(self, kind, vm, counted):
        """Send a request, and retry it as callers do."""
        work, begun = self.works[kind], self.clock.monotonic()
        name = f'{self.rng.getrandbits(64):016x}'
        for _ in range(3):
            left = begun + work.timeout - self.clock.monotonic()
            status, headers = await vm.request(kind, name, left)
            left = begun + work.timeout - self.clock.monotonic()
            if status != 503 or left <= 0:
                break
            wait = float(headers[NAMES.retry_after])
            await asyncio.sleep(min(wait, left * loads.RETRY_SHARE))
        took = self.clock.monotonic() - begun
        late = 'late' if took > work.objective else 'in time'
        late = late if took < work.timeout else 'failed'
        self.ends[kind][late if status == 200 else 'failed'] += counted

    async def _sweep(self):
        """Report gates that fill or free to their failure domain."""
        room = dict.fromkeys(self.vms, True)
        while True:
            await asyncio.sleep(loads.SWEEP_S)
            now = self.clock.monotonic()
            for vm in self.vms.values():
                vm.ingress.cancel_expired(now)
                load = vm.egress.load()
                if (load.running < load.slots) == room[vm.own_vm]:
                    continue
                room[vm.own_vm] = not room[vm.own_vm]
                for other in self.vms.values():
                    candidate = other.by_service[vm.service][vm.own_vm]
                    if candidate.distance in balancer.SAME_DOMAIN:
                        balancer.announce_load(candidate, load, now)

    def served(self, kind):
        """Return the share of a kind's requests that were answered in time."""
        ends = self.ends[kind]
        return ends['in time'] / max(1, ends.total())
