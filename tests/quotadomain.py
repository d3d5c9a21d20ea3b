"""A failure domain of quota exchanges, joined by channels in memory."""

import asyncio
import random

from jujubefold import eagertask
from jujubefold.sidecar import quota
from jujubefold.sidecar import quotaexchange
from jujubefold.sidecar import tenants
from tests import pausedloop
from tests import sidecars

POLICY = quota.Policy(window=5.0, overage=0.1, slack=20.0, domains=3)
DAEMONS = 20
LATENCY_S = 0.002
SWEEP_S = 0.1
STEP_S = 0.01
# Seconds after which a daemon notices that a link was cut.
CUT_NOTICED_S = 5.0
# Share of its quota that a tenant usually uses.
USUAL_LOAD = 0.4


class Domain:
    """Twenty exchanges and the requests that callers send through them.

    Args:
        limited: Each `tenants.Tenant`.
        clock: The `clock.PausedClock` of the loop.

    Attributes:
        load: Requests a second in this domain, by tenant's name.
        served: Times of the granted requests, by tenant's name.
        refused: VMs whose callers' requests were refused, by tenant's name.
        event_log: The `sidecars.RecordingEventLog` of all exchanges.
    """

    def __init__(self, limited, clock):
        self.tenants = {item.name: item for item in limited}
        self.clock = clock
        self.rng = random.Random(3)
        self.load = {
            item.name: item.rate * USUAL_LOAD / POLICY.domains
            for item in limited
        }
        self.served = {item.name: [] for item in limited}
        self.refused = {item.name: [] for item in limited}
        self.event_log = sidecars.RecordingEventLog()
        self.vms = [f'vm{number}' for number in range(DAEMONS)]
        self.killed = set()
        self.paused = {}
        self.cut_off = set()
        self.cut_noticed = False
        self.exchanges = {vm: self._new_exchange(vm) for vm in self.vms}

    def owner(self, name):
        """Return the VM of the daemon that holds a tenant's bucket."""
        (vm,) = [
            vm
            for vm, exchange in self.exchanges.items()
            if name in exchange.owned and vm not in self.killed
        ]
        return vm

    def kill(self, vm):
        """End a daemon's process; its links are refused at once."""
        self.killed.add(vm)

    def pause(self, vm):
        """Stop a daemon's process; its links stay up."""
        self.paused[vm] = []

    def resume(self, vm):
        """Let a paused process go on with the messages that it was sent."""
        for deliver in self.paused.pop(vm):
            deliver()

    def cut(self, vms):
        """Cut daemons off from the others; links are noticed later."""
        self.cut_off = set(vms)
        self.cut_noticed = False

        def notice():
            self.cut_noticed = True

        asyncio.get_running_loop().call_later(CUT_NOTICED_S, notice)

    def change(self, tenant):
        """Put a new configuration in force at all daemons."""
        self.tenants = self.tenants | {tenant.name: tenant}

    async def run(self, seconds):
        """Play the load for a number of seconds."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        while (now := loop.time()) < end:
            if now >= self._next_sweep:
                self._next_sweep = now + SWEEP_S
                for vm in self._running():
                    self.exchanges[vm].sweep()
            running = self._running()
            # A few daemons receive most of the requests.
            weights = [1 + 4 * (index % 5 == 0) for index in range(DAEMONS)]
            weights = weights[: len(running)]
            for name, rate in self.load.items():
                for _ in range(self._arrivals(rate * STEP_S)):
                    (vm,) = self.rng.choices(running, weights)
                    start(self._request(vm, name))
            await asyncio.sleep(STEP_S)

    _next_sweep = 0.0

    def _running(self):
        stopped = self.killed | self.paused.keys()
        return [vm for vm in self.vms if vm not in stopped]

    def _arrivals(self, mean):
        count, left = 0, self.rng.expovariate(1.0)
        while left < mean:
            count += 1
            left += self.rng.expovariate(1.0)
        return count

    async def _request(self, vm, name):
        tenant = self.tenants[name]
        decision = await self.exchanges[vm].acquire(tenant)
        if decision.granted:
            self.served[name].append(self.clock.boottime())
        else:
            self.refused[name].append(vm)

    def _new_exchange(self, vm):
        return quotaexchange.QuotaExchange(
            vm=vm,
            policy=POLICY,
            clock=self.clock,
            get_view=lambda: self._view(vm),
            get_tenants=lambda: self.tenants,
            send=lambda other, message: self._send(vm, other, message),
            event_log=self.event_log,
            bootstrap=True,
        )

    def _view(self, vm):
        linked = set(self.vms) - self.killed
        if self.cut_noticed:
            linked = {item for item in linked if self._reach(vm, item)}
        return quota.View(frozenset(linked), DAEMONS, 3 * DAEMONS)

    def _reach(self, one, other):
        return (one in self.cut_off) == (other in self.cut_off)

    def _send(self, source, target, message):
        if not self._reach(source, target):
            return

        def deliver():
            if target in self.killed or source in self.killed:
                return
            if target in self.paused:
                self.paused[target].append(deliver)
                return
            self.exchanges[target].handle(
                source,
                message,
                lambda answer: self._send(target, source, answer),
            )

        asyncio.get_running_loop().call_later(LATENCY_S, deliver)

    # Results

    def most_in_window(self, name):
        """Return the most requests served in any window of `POLICY`."""
        times = self.served[name]
        most = start = 0
        for index, time in enumerate(times):
            while times[start] <= time - POLICY.window:
                start += 1
            most = max(most, index - start + 1)
        return most

    def allowed_in_window(self, name):
        """Return what is allowed here if other domains use all they may."""
        tenant = self.tenants[name]
        limits = quota.owner_limits(tenant, POLICY)
        total = tenant.rate * POLICY.window + tenant.burst
        total = total * (1 + POLICY.overage) + POLICY.slack
        others = limits.rate * POLICY.window + limits.capacity
        return total - (POLICY.domains - 1) * others


def start(coroutine):
    """Start a coroutine as an eager task; return its future and the task."""
    future = asyncio.get_running_loop().create_future()

    def finish(task):
        if task.error is None:
            future.set_result(task.result)
        elif isinstance(task.error, asyncio.CancelledError):
            future.cancel()
        else:
            future.set_exception(task.error)

    return future, eagertask.spawn(coroutine, finish)


def skewed_tenants():
    """Return 72 tenants, a few of them large, and one with a large burst."""
    return [
        tenants.Tenant(
            f't{number}',
            None,
            6 + 400 / (number + 1),
            (3 + 150 / (number + 1)) * (8 if number == 3 else 1),
        )
        for number in range(72)
    ]


def play(scenario):
    """Run a coroutine function with a `Domain` on a paused clock."""

    async def main(paused):
        domain = Domain(skewed_tenants(), paused)
        await domain.run(1.0)
        for outcomes in (domain.served, domain.refused):
            for times in outcomes.values():
                times.clear()
        await scenario(domain)

    pausedloop.run(main)
