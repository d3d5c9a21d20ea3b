"""Benchmark of goodput and load balance over the daemons of a service.

Gates, routing and retry budgets are those of the daemon; upstreams and the
network between daemons run in simulated time.
"""

import collections
import dataclasses
import heapq
import itertools
import random

from bench import report
from jujubefold import budget
from jujubefold import calls
from jujubefold import dispatch
from jujubefold import gate
from jujubefold import mesh
from jujubefold import messages
from jujubefold import routing

MEAN_SERVICE_S = 0.02
SERVICE_SIGMA = 0.6
HOP_S = 0.0005
DEADLINES_S = (0.2, 0.6)
OFFERED = (0.6, 0.9, 2.0, 5.0)
QUICK_OFFERED = (0.9, 5.0)
SECONDS = 10.0
QUICK_SECONDS = 1.5
RETURN_AT_S = 0.5
AFTER_RETURN_S = 1.0

_SERVING = messages.UpstreamState.SERVING
_GONE = messages.UpstreamState.GONE
_ANSWERED = calls.Ending.ANSWERED
_WALL = 1e9
_MILLISECONDS = 1000
_ROUTE = mesh.Route(
    name='r',
    host='*',
    path='/',
    methods=(),
    targets=(mesh.Target(mesh.EndpointGroup('all', 's')),),
    retry=mesh.RetryPolicy(),
    limit=mesh.LimitPolicy(),
    timeout=mesh.TimeoutPolicy(),
    headers=mesh.HeaderRule(),
)


@dataclasses.dataclass(frozen=True, slots=True)
class Shape:
    """Size of a service.

    Args:
        name: Label in the report.
        instances: Number of daemons with an upstream.
        slots: Slots of each upstream.
        domains: Number of failure domains.
    """

    name: str
    instances: int
    slots: int
    domains: int


SHAPES = (Shape('routes', 5, 6, 3), Shape('job board', 7, 12, 4))
SCENARIOS = ('even', 'one domain', 'returning')


@dataclasses.dataclass(slots=True)
class Daemon:
    """One simulated daemon with its upstream."""

    member: messages.Member
    gate: gate.GateTable
    routing: routing.RoutingTable
    budgets: budget.Budgets
    others: tuple[messages.Member, ...] = ()
    sequence: itertools.count = dataclasses.field(
        default_factory=itertools.count
    )
    served: int = 0
    refused_after_return: int = 0


@dataclasses.dataclass(slots=True)
class PendingCall:
    """A call in progress with its current attempt.

    Args:
        call: The `calls.Call`.
        entry: The `Daemon` that received the call.
        allowance: Its `budget.Allowance` of retries.
        service: Service time in seconds.
        arrived: Time of the arrival.
        attempted: Names of the VMs tried so far.
        id: Id of the current attempt.
        sent: Time at which the attempt was sent.
        is_remote: Whether the attempt goes to another daemon.
    """

    call: calls.Call
    entry: Daemon
    allowance: budget.Allowance
    service: float
    arrived: float
    attempted: frozenset[str] = frozenset()
    id: calls.AttemptId | None = None
    sent: float = 0.0
    is_remote: bool = False


class Simulation:
    """Simulates one scenario.

    Args:
        shape: A `Shape`.
        scenario: One of `SCENARIOS`.
        offered: Arrival rate over the capacity of all instances.
        seconds: Simulated seconds in which calls arrive.
        seed: Seed of all random choices.
    """

    def __init__(self, shape, scenario, offered, seconds, seed):
        self._rng = random.Random(f'{seed}/{shape.name}/{scenario}/{offered}')
        self._shape = shape
        self._scenario = scenario
        self._rate = offered * shape.instances * shape.slots / MEAN_SERVICE_S
        self._seconds = seconds
        self._events = []
        self._order = itertools.count()
        self._running = {}
        self._now = 0.0
        self.daemons = _daemons(shape, self._rng, scenario)
        self.tally = collections.Counter()
        self.waits = []

    def run(self):
        """Run until all calls have ended."""
        self._schedule(0.0, self._arrive)
        if self._scenario == 'returning':
            self._schedule(RETURN_AT_S, self._return_instance)
        while self._events:
            self._now, _, action, arguments = heapq.heappop(self._events)
            action(*arguments)

    def _schedule(self, time, action, *arguments):
        heapq.heappush(
            self._events, (time, next(self._order), action, arguments)
        )

    def _arrive(self):
        if self._now >= self._seconds:
            return
        self._schedule(
            self._now + self._rng.expovariate(self._rate), self._arrive
        )
        entry = self._choose_entry()
        scale = MEAN_SERVICE_S / 2.718281828 ** (SERVICE_SIGMA**2 / 2)
        call = self._new_call()
        item = PendingCall(
            call,
            entry,
            budget.incoming_allowance('', _ROUTE.retry, 0),
            scale * self._rng.lognormvariate(0.0, SERVICE_SIGMA),
            self._now,
        )
        self.tally['offered'] += 1
        budget.record_first_attempt(entry.budgets, _ROUTE, self._now)
        self._send_attempt(item)

    def _choose_entry(self):
        if self._scenario == 'one domain':
            near = [
                item
                for item in self.daemons
                if item.member.failure_domain == 'd0'
            ]
            return self._rng.choice(near)
        return self._rng.choice(self.daemons)

    def _new_call(self):
        number = self.tally['offered']
        return calls.Call(
            request=str(number),
            caller=f'caller-{number % 50}',
            method='GET',
            host='h',
            path='/',
            route=_ROUTE,
            version=1,
            deadline=self._now + self._rng.uniform(*DEADLINES_S),
            depth=0,
            key='',
            idempotent=True,
            fingerprint=str(number),
        )

    def _send_attempt(self, item):
        entry = item.entry
        own = routing.OwnState(entry.member, gate.current_load(entry.gate))
        context = dispatch.Context(self._now, _WALL + self._now, self._rng)
        choice = routing.choose(
            entry.routing,
            item.call,
            entry.others,
            own,
            item.attempted,
            context,
        )
        if isinstance(choice, calls.NoUpstream):
            self.tally['refused'] += 1
            return
        self.tally['tries'] += 1
        item.sent = self._now
        item.id = calls.AttemptId(entry.member.vm, 1, next(entry.sequence) + 1)
        item.is_remote = isinstance(choice, calls.Peer)
        vm = choice.vm if item.is_remote else entry.member.vm
        item.attempted = item.attempted | {vm}
        target = next(d for d in self.daemons if d.member.vm == vm)
        if item.is_remote:
            routing.record_sent(entry.routing, vm, self._now)
        self._schedule(
            self._now + HOP_S * item.is_remote, self._offer, target, item
        )

    def _offer(self, target, item):
        attempt = calls.Attempt(item.id, item.call)
        found = gate.offer(target.gate, attempt, self._now)
        if isinstance(found, calls.Refused):
            self._refuse(target, item)
            return
        self._running[item.id] = item
        if isinstance(found, calls.Admitted):
            self._start(target, (item.id,))
        self._expire_queue(target)

    def _start(self, target, attempt_ids):
        for attempt_id in attempt_ids:
            item = self._running[attempt_id]
            self.waits.append(self._now - item.arrived)
            self._schedule(
                self._now + item.service, self._finish, target, item
            )

    def _expire_queue(self, target):
        self._refuse_expired(target)
        at = gate.next_expiry(target.gate)
        if at is not None:
            self._schedule(at, self._refuse_expired, target)

    def _refuse_expired(self, target):
        for item in gate.expire(target.gate, self._now):
            self._refuse(target, self._running.pop(item.attempt))

    def _finish(self, target, item):
        del self._running[item.id]
        good = self._now <= item.call.deadline
        self.tally['good' if good else 'late'] += 1
        target.served += good
        self.tally['in time'] += good and self._now <= self._seconds
        admitted = gate.finish(target.gate, item.id, _ANSWERED, self._now)
        self._start(target, admitted)
        self._answer(target, item, ran=True)

    def _refuse(self, target, item):
        back = self._now - RETURN_AT_S
        returned = self._scenario == 'returning' and target is self.daemons[0]
        if returned and 0 <= back < AFTER_RETURN_S:
            target.refused_after_return += 1
        self._answer(target, item, ran=False)

    def _answer(self, target, item, ran):
        load = gate.current_load(target.gate)
        time = self._now + HOP_S * item.is_remote
        self._schedule(time, self._receive_answer, target, item, ran, load)

    def _receive_answer(self, target, item, ran, load):
        if item.is_remote:
            seconds = self._now - item.sent
            seen = routing.AttemptResult(
                target.member.vm, ran, not ran, False, seconds, load
            )
            routing.record_result(item.entry.routing, seen, self._now)
        if ran:
            return
        late = self._now >= item.call.deadline
        if not late and budget.allow(
            item.entry.budgets, item.allowance, item.call, self._now
        ):
            self._send_attempt(item)
        else:
            self.tally['refused'] += 1

    def _return_instance(self):
        daemon = self.daemons[0]
        ready = int((_WALL + self._now) * _MILLISECONDS)
        member = _member(self._shape, 0, ready)
        daemon.member = member
        slots = self._shape.slots
        gate.set_upstream(daemon.gate, _SERVING, slots, self._now)
        for other in self.daemons[1:]:
            other.others = (member, *other.others)


def measure(quick, seed):
    """Measure goodput by service, scenario and offered load.

    Args:
        quick: Whether to use fewer loads and a shorter time.
        seed: Seed of all random choices.

    Returns:
        A `report.Report`.
    """
    seconds = QUICK_SECONDS if quick else SECONDS
    rows = tuple(
        _row(shape, scenario, offered, seconds, seed)
        for shape in SHAPES
        for scenario in SCENARIOS
        for offered in (QUICK_OFFERED if quick else OFFERED)
    )
    return report.Report(
        name='spread',
        command=f'python -m bench spread --seed {seed}',
        columns=(
            'scenario',
            'offered x capacity',
            'goodput of capacity',
            'late of offered',
            'refused of offered',
            'tries a call',
            'wait p99 ms',
            'least served of mean',
            'most served of mean',
            'refused by the one that returned',
        ),
        rows=rows,
        notes=(
            f'{seconds:.0f} s of simulated time a row, seed {seed}; service'
            f' mean {MEAN_SERVICE_S} s, lognormal; deadlines'
            f' {DEADLINES_S[0]} to {DEADLINES_S[1]} s; one way {HOP_S} s;'
            ' three tries, 20% retry budget. Goodput counts answers within'
            ' the simulated time.',
            f'returning: one instance begins to serve at {RETURN_AT_S} s;'
            ' its refusals are counted for'
            f' {AFTER_RETURN_S:.0f} s; capacity counts it from then on.',
        ),
        x='offered x capacity',
        ys=('goodput of capacity', 'wait p99 ms'),
        group='scenario',
    )


def _row(shape, scenario, offered, seconds, seed):
    simulation = Simulation(shape, scenario, offered, seconds, seed)
    simulation.run()
    tally = simulation.tally
    capacity = shape.instances * shape.slots / MEAN_SERVICE_S * seconds
    if scenario == 'returning':
        capacity -= shape.slots / MEAN_SERVICE_S * RETURN_AT_S
    waits = sorted(simulation.waits)
    served = [item.served for item in simulation.daemons]
    mean = sum(served) / len(served)
    return (
        f'{shape.name}, {scenario}',
        offered,
        tally['in time'] / capacity,
        tally['late'] / tally['offered'],
        tally['refused'] / tally['offered'],
        tally['tries'] / tally['offered'],
        waits[int(0.99 * len(waits))] * _MILLISECONDS,
        min(served) / mean,
        max(served) / mean,
        simulation.daemons[0].refused_after_return,
    )


def _member(shape, number, ready_at_ms=0, state=_SERVING):
    return messages.Member(
        vm=f'vm-{number}',
        incarnation=1,
        region='r',
        failure_domain=f'd{number % shape.domains}',
        peer_address=f'10.0.0.1:{number}',
        call_address=f'10.0.0.2:{number}',
        service='s',
        upstream_state=state,
        slots=shape.slots,
        ready_at_ms=ready_at_ms,
    )


def _daemons(shape, rng, scenario):
    members = [_member(shape, n) for n in range(shape.instances)]
    if scenario == 'returning':
        members[0] = _member(shape, 0, state=_GONE)
    found = []
    for member in members:
        table = gate.new_gate(shape.slots)
        gate.set_upstream(table, member.upstream_state, shape.slots, 0.0)
        found.append(
            Daemon(
                member,
                table,
                routing.new_routing(random.Random(rng.random())),
                budget.new_budgets(),
                tuple(item for item in members if item is not member),
            )
        )
    return found
