"""Benchmark of one gate's goodput under overload.

A fake upstream runs requests in simulated time, without sleeps and sockets.
Half of the requests come from one caller, the rest from twenty. Goodput is
the number of answers before the caller's deadline, as a share of the
upstream's capacity.
"""

import collections
import dataclasses
import heapq
import random

from bench import report
from jujubefold import calls
from jujubefold import gate
from jujubefold import mesh
from jujubefold import messages

SLOTS = (6, 12)
OFFERED = (0.5, 0.9, 1.0, 2.0, 5.0)
MEAN_SERVICE_S = 0.02
SERVICE_SIGMA = 0.6
DEADLINES_S = (0.1, 0.5)
LIGHT_CALLERS = 20
GREEDY_SHARE = 0.5
HIGH_PRIORITY_SHARE = 0.1
SECONDS = 120.0
QUICK_SECONDS = 10.0

_UNBOUNDED = 10**9


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One future request.

    Args:
        at: Simulated time of the arrival, in seconds.
        attempt: The `calls.Attempt`.
        service: Service time in seconds.
    """

    at: float
    attempt: calls.Attempt
    service: float


@dataclasses.dataclass(slots=True)
class Tally:
    """Counts of the outcomes of one run.

    Args:
        good: Answers before the deadline.
        late: Answers after the deadline.
        refused: Refused requests.
        waits: Seconds that each started request waited.
        offered: Requests by kind of caller, and of high priority.
        served: Answers before the deadline, by the same kinds.
    """

    good: int = 0
    late: int = 0
    refused: int = 0
    waits: list[float] = dataclasses.field(default_factory=list)
    offered: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    served: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


class GatePolicy:
    """Admission by the gate of the daemon."""

    name = 'gate'

    def __init__(self, slots):
        self._table = gate.new_gate(slots)
        state = messages.UpstreamState.SERVING
        gate.set_upstream(self._table, state, slots, 0.0)

    def offer(self, attempt, now):
        """Return the attempt ids to start and the number of refusals."""
        found = gate.offer(self._table, attempt, now)
        refused = isinstance(found, calls.Refused)
        refused += len(gate.expire(self._table, now))
        started = (attempt.id,) if isinstance(found, calls.Admitted) else ()
        return started, refused

    def finish(self, attempt_id, now):
        """Return the attempt ids to start and the number of refusals."""
        ending = calls.Ending.ANSWERED
        started = gate.finish(self._table, attempt_id, ending, now)
        return started, len(gate.expire(self._table, now))


class FifoPolicy:
    """Baseline for comparison: a first-in, first-out queue with a limit."""

    def __init__(self, slots, limit, name):
        self.name = name
        self._free = slots
        self._limit = limit
        self._queue = collections.deque()

    def offer(self, attempt, now):
        """Return the attempt ids to start and the number of refusals."""
        if self._free:
            self._free -= 1
            return (attempt.id,), 0
        if len(self._queue) >= self._limit:
            return (), 1
        self._queue.append(attempt.id)
        return (), 0

    def finish(self, attempt_id, now):
        """Return the attempt ids to start and the number of refusals."""
        if self._queue:
            return (self._queue.popleft(),), 0
        self._free += 1
        return (), 0


def measure(quick, seed):
    """Measure goodput by policy and offered load.

    Args:
        quick: Whether to simulate a shorter time.
        seed: Seed of all random choices.

    Returns:
        A `report.Report`.
    """
    seconds = QUICK_SECONDS if quick else SECONDS
    rows = tuple(
        _row(policy, slots, offered, seconds, seed)
        for slots in SLOTS
        for policy in _policies(slots)
        for offered in OFFERED
    )
    return report.Report(
        name='overload',
        command=f'python -m bench overload --seed {seed}',
        columns=(
            'policy',
            'offered x capacity',
            'goodput of capacity',
            'late of started',
            'refused of offered',
            'wait p99 ms',
            'light callers served',
            'greedy caller served',
            'high priority served',
        ),
        rows=rows,
        notes=(
            f'{seconds:.0f} s of simulated time a row, seed {seed}; service'
            f' mean {MEAN_SERVICE_S * 1000:.0f} ms, lognormal; deadlines'
            f' {DEADLINES_S[0]} to {DEADLINES_S[1]} s; no retries.',
            'Late requests hold their slot to the end: no cancellation.',
        ),
        x='offered x capacity',
        ys=('goodput of capacity', 'light callers served'),
        group='policy',
    )


def _policies(slots):
    queue = gate.DEFAULT_QUEUE_LIMIT
    return (
        GatePolicy(slots),
        FifoPolicy(slots, queue, 'fifo, bounded'),
        FifoPolicy(slots, _UNBOUNDED, 'fifo, unbounded'),
    )


def simulate(policy, slots, offered, seconds, seed):
    """Return the `Tally` of one run.

    Args:
        policy: A new `GatePolicy` or `FifoPolicy`.
        slots: Slots of the upstream.
        offered: Arrival rate over the upstream's capacity.
        seconds: Simulated seconds in which requests arrive.
        seed: Seed of all random choices.
    """
    rng = random.Random(f'{seed}/{slots}/{offered}')
    return _run_arrivals(policy, _arrivals(rng, slots, offered, seconds))


def capacity(slots, seconds):
    """Return the number of requests that an upstream can run.

    Args:
        slots: Slots of the upstream.
        seconds: Time available.
    """
    return slots / MEAN_SERVICE_S * seconds


def _row(policy, slots, offered, seconds, seed):
    fresh = {item.name: item for item in _policies(slots)}[policy.name]
    tally = simulate(fresh, slots, offered, seconds, seed)
    started = tally.good + tally.late
    waits = sorted(tally.waits)
    return (
        f'{policy.name}, {slots} slots',
        offered,
        tally.good / capacity(slots, seconds),
        tally.late / max(1, started),
        tally.refused / (tally.offered['light'] + tally.offered['greedy']),
        waits[int(0.99 * len(waits))] * 1000,
        _share(tally, 'light'),
        _share(tally, 'greedy'),
        _share(tally, 'high'),
    )


def _share(tally, kind):
    return tally.served[kind] / max(1, tally.offered[kind])


def _arrivals(rng, slots, offered, seconds):
    rate = offered * slots / MEAN_SERVICE_S
    scale = MEAN_SERVICE_S / 2.718281828 ** (SERVICE_SIGMA**2 / 2)
    now = 0.0
    sequence = 0
    while True:
        now += rng.expovariate(rate)
        if now >= seconds:
            return
        sequence += 1
        service = scale * rng.lognormvariate(0.0, SERVICE_SIGMA)
        yield Arrival(now, _attempt(rng, sequence, now), service)


def _attempt(rng, sequence, now):
    greedy = rng.random() < GREEDY_SHARE
    number = rng.randrange(LIGHT_CALLERS)
    high = not greedy and rng.random() < HIGH_PRIORITY_SHARE
    call = calls.Call(
        request=str(sequence),
        caller='greedy' if greedy else f'light-{number}',
        method='GET',
        host='h',
        path='/',
        route=_HIGH if high else _NORMAL,
        version=1,
        deadline=now + rng.uniform(*DEADLINES_S),
        depth=0,
        key='',
        idempotent=True,
        fingerprint=str(sequence),
    )
    return calls.Attempt(calls.AttemptId('vm', 1, sequence), call)


def _run_arrivals(policy, arrivals):
    tally = Tally()
    pending = {}
    ends = []
    for arrival in arrivals:
        while ends and ends[0][0] <= arrival.at:
            _finish_next(policy, tally, pending, ends)
        _count_request(tally.offered, arrival)
        pending[arrival.attempt.id] = arrival
        started, refused = policy.offer(arrival.attempt, arrival.at)
        tally.refused += refused
        _start(tally, pending, ends, started, arrival.at)
    while ends:
        _finish_next(policy, tally, pending, ends)
    return tally


def _finish_next(policy, tally, pending, ends):
    now, sequence, attempt_id = heapq.heappop(ends)
    arrival = pending.pop(attempt_id)
    if now <= arrival.attempt.call.deadline:
        tally.good += 1
        _count_request(tally.served, arrival)
    else:
        tally.late += 1
    started, refused = policy.finish(attempt_id, now)
    tally.refused += refused
    _start(tally, pending, ends, started, now)


def _start(tally, pending, ends, started, now):
    for attempt_id in started:
        arrival = pending[attempt_id]
        tally.waits.append(now - arrival.at)
        end = now + arrival.service
        heapq.heappush(ends, (end, attempt_id.sequence, attempt_id))


def _count_request(counter, arrival):
    call = arrival.attempt.call
    counter[call.caller.partition('-')[0]] += 1
    if call.route.priority > _NORMAL.priority:
        counter['high'] += 1


def _route(name, priority):
    return mesh.Route(
        name=name,
        host='*',
        path='/',
        methods=(),
        targets=(),
        retry=mesh.RetryPolicy(),
        limit=mesh.LimitPolicy(),
        timeout=mesh.TimeoutPolicy(),
        headers=mesh.HeaderRule(),
        priority=priority,
    )


_NORMAL = _route('normal', 5)
_HIGH = _route('high', 9)
