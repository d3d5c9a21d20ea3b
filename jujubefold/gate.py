"""Gate: admission of attempts to this VM's own upstream.

Slots are exact and the queue is bounded and ordered by deadline. A refusal
is given only before the upstream saw the attempt, so it is always a true
"did not run", but for repeats of attempts that memory no longer covers.
"""

import bisect
import collections
import dataclasses
import enum
import itertools
import math
import operator

from jujubefold import attempts
from jujubefold import calls
from jujubefold import errors
from jujubefold import fairness
from jujubefold import messages
from jujubefold import servicetime

DEFAULT_QUEUE_LIMIT = 32
# Slots given back each second after the upstream shed load or fell silent.
SHED_RECOVERY_SLOTS_PER_S = 1.0
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 30.0
DRAINING_RETRY_AFTER_S = 0.1
ABSENT_RETRY_AFTER_S = 1.0

_NEVER = float('-inf')

_State = messages.UpstreamState
_ADMITTING = frozenset({_State.WARMING, _State.SERVING})
_DID_NOT_RUN = errors.Outcome.DID_NOT_RUN

_RUN = calls.Admitted()
_QUEUED = calls.Queued()
_JOINED = calls.Duplicate()


class BarState(enum.StrEnum):
    """What a bar found.

    BARRED is a proof that the attempt has not run and will not run here.
    UNKNOWN means that memory does not cover the attempt; it will not run
    from now on, but it may have run.
    """

    BARRED = 'barred'
    RUNNING = 'running'
    ENDED = 'ended'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load of an upstream as its gate sees it; rides on answers.

    Args:
        running: Attempts that hold a slot.
        queued: Attempts that wait.
        slots: Slots usable now, after ramp and shed.
        state: State of the upstream.
    """

    running: int
    queued: int
    slots: int
    state: _State

    def __str__(self):
        return f'{self.running}/{self.queued}/{self.slots}/{self.state}'

    @classmethod
    def parse(cls, text):
        """Return the `Load` written as `text`, or None if it is none."""
        parts = text.split('/')
        if len(parts) != 4:
            return None
        try:
            numbers = [_count(part) for part in parts[:3]]
            return cls(*numbers, _State(parts[3]))
        except ValueError:
            return None


@dataclasses.dataclass(frozen=True, slots=True)
class Expired:
    """An attempt that left the queue without having run."""

    attempt: calls.AttemptId
    refusal: calls.Refusal


@dataclasses.dataclass(slots=True)
class Waiting:
    """A queued attempt.

    Args:
        deadline: Monotonic seconds; the queue's order.
        order: Arrival number; separates equal deadlines.
        latest: Monotonic seconds of the latest start that can succeed.
        suspect: Whether it must not run beside another suspect.
    """

    deadline: float
    order: int
    latest: float
    attempt: calls.Attempt
    suspect: bool


@dataclasses.dataclass(slots=True)
class Running:
    """An attempt that holds a slot."""

    attempt: calls.Attempt
    started: float
    suspect: bool


@dataclasses.dataclass(slots=True)
class GateTable:
    """State of the gate.

    Args:
        slots: Slots that the upstream announced.
        queue_limit: Attempts that may wait.
        state: State that the upstream announced.
        running: Attempts that hold a slot.
        queue: `Waiting` by deadline.
        queued: The same by attempt.
        shares: What callers hold and lately got.
        evicted: Left the queue, to be told by `expire`.
        memory: Attempts that ended.
        times: How long requests run.
        arrivals: Numbers the attempts that wait.
        suspects_running: Running attempts that are suspects.
        warmup: Seconds over which slots are ramped up.
        warm_from: Monotonic seconds at which the ramp began.
        learned: Slots that the upstream could take at `shed_at`.
        shed_at: Monotonic seconds of the last shed or silent attempt.
        limit: Slots usable when last looked at.
        unreachable: Whether the upstream refused a connection just now.
    """

    slots: int
    queue_limit: int = DEFAULT_QUEUE_LIMIT
    state: _State = _State.ABSENT
    running: dict[calls.AttemptId, Running] = dataclasses.field(
        default_factory=dict
    )
    queue: list[Waiting] = dataclasses.field(default_factory=list)
    queued: dict[calls.AttemptId, Waiting] = dataclasses.field(
        default_factory=dict
    )
    shares: fairness.FairnessTable = dataclasses.field(
        default_factory=fairness.FairnessTable
    )
    evicted: list[Expired] = dataclasses.field(default_factory=list)
    memory: attempts.AttemptTable = dataclasses.field(
        default_factory=attempts.AttemptTable
    )
    times: servicetime.ServiceTimeTable = dataclasses.field(
        default_factory=servicetime.ServiceTimeTable
    )
    arrivals: itertools.count = dataclasses.field(
        default_factory=itertools.count
    )
    suspects_running: int = 0
    warmup: float = 0.0
    warm_from: float = _NEVER
    learned: int = 0
    shed_at: float = _NEVER
    limit: int = 0
    unreachable: bool = False


def new_gate(slots, queue_limit=DEFAULT_QUEUE_LIMIT):
    """Return a gate whose upstream has not announced itself yet.

    Args:
        slots: Slots of the upstream until it says otherwise.
        queue_limit: Attempts that may wait.
    """
    return GateTable(slots=slots, queue_limit=queue_limit)


def offer(gate, attempt, now, suspect=False):
    """Admit, queue, join or refuse an attempt.

    After `Queued` call `expire`: another attempt may have had to leave.

    Args:
        gate: A `GateTable`.
        attempt: A `calls.Attempt`.
        now: Monotonic seconds.
        suspect: Whether the request may be one that crashes upstreams;
            at most one suspect runs at a time.

    Returns:
        `calls.Admitted`, `Queued`, `Duplicate` or `Refused`.
    """
    known = _known(gate, attempt.id)
    if known is not None:
        return known
    attempts.register_sender(gate.memory, attempt.id)
    refusal = _refusal(gate, attempt, now)
    if refusal is not None:
        return _refuse(gate, attempt.id, refusal, now)
    if len(gate.running) < _limit(gate, now) and not (
        suspect and gate.suspects_running
    ):
        _start(gate, attempt, suspect, now)
        return _RUN
    return _enqueue(gate, attempt, suspect, now)


def record_refusal(gate, attempt_id, refusal, now):
    """Remember an attempt that was refused before it was offered.

    A late copy of it gets the same refusal and never runs. An attempt that
    is here already stays as it is.

    Args:
        gate: A `GateTable`.
        attempt_id: A `calls.AttemptId`.
        refusal: The `calls.Refusal` that its sender got.
        now: Monotonic seconds.
    """
    if _known(gate, attempt_id) is None:
        attempts.register_sender(gate.memory, attempt_id)
        _record_refusal(gate, attempt_id, refusal, now)


def finish(gate, attempt_id, ending, now):
    """Free the slot of an attempt; calling it again changes nothing.

    After a crash call `set_upstream` first, or the attempts that wait are
    sent to an upstream that is gone.

    Args:
        gate: A `GateTable`.
        attempt_id: A running attempt.
        ending: Its `calls.Ending`.
        now: Monotonic seconds.

    Returns:
        Tuple of `calls.AttemptId` taken from the queue: they hold a slot
        and must be sent now.

    Raises:
        errors.BrokenInvariant: The attempt is queued.
    """
    entry = gate.running.pop(attempt_id, None)
    if entry is None:
        if attempt_id in gate.queued:
            raise errors.BrokenInvariant(f'{attempt_id} ended while queued')
        return ()
    gate.suspects_running -= entry.suspect
    fairness.release(gate.shares, entry.attempt.call.caller)
    _learn(gate, entry, ending, now)
    outcome = _NOT_RUN.get(ending, ending)
    attempts.record(gate.memory, attempt_id, outcome, now)
    return _admit(gate, now)


def cancel(gate, attempt_id, now):
    """Give up an attempt whose caller went away.

    A queued one leaves the queue; one not seen yet will not run. A running
    one keeps its slot until `finish`.

    Returns:
        As `finish`.
    """
    if attempt_id in gate.queued:
        _leave(gate, attempt_id)
        _record_refusal(gate, attempt_id, _CANCELLED, now)
    else:
        record_refusal(gate, attempt_id, _CANCELLED, now)
    return _admit(gate, now)


def expire(gate, now):
    """Take attempts from the queue that can no longer finish in time.

    Args:
        gate: A `GateTable`.
        now: Monotonic seconds.

    Returns:
        Tuple of `Expired`, displaced and barred attempts included.
    """
    late = [entry for entry in gate.queue if entry.latest <= now]
    for entry in late:
        refusal = _deadline_refusal(gate, now)
        _evict(gate, entry, refusal, now)
    attempts.sweep(gate.memory, now)
    expired = tuple(gate.evicted)
    gate.evicted.clear()
    return expired


def bar(gate, attempt_id, now):
    """Make sure that an attempt which has not started never will.

    Only the incarnation of this daemon that the attempt was sent to can
    answer: the caller of `bar` compares incarnations first.

    Args:
        gate: A `GateTable`.
        attempt_id: A `calls.AttemptId`.
        now: Monotonic seconds.

    Returns:
        A `BarState`. The waiter of a queued attempt learns of it from
        `expire`.
    """
    if attempt_id in gate.running:
        return BarState.RUNNING
    entry = gate.queued.get(attempt_id)
    if entry is not None:
        _evict(gate, entry, _BARRED, now)
        return BarState.BARRED
    match attempts.lookup(gate.memory, attempt_id):
        case calls.Ending():
            return BarState.ENDED
        case calls.Refusal():
            return BarState.BARRED
        case attempts.Memory.FORGOTTEN:
            return BarState.UNKNOWN
    record_refusal(gate, attempt_id, _BARRED, now)
    return BarState.BARRED


def ending(gate, attempt_id):
    """Return how an attempt ended here, or None while it is not known.

    Args:
        gate: A `GateTable`.
        attempt_id: A `calls.AttemptId`.
    """
    outcome = attempts.lookup(gate.memory, attempt_id)
    return outcome if isinstance(outcome, calls.Ending) else None


def set_upstream(gate, state, slots, now, warmup=0.0):
    """Take what the upstream announced.

    Args:
        gate: A `GateTable`.
        state: A `messages.UpstreamState`.
        slots: Requests that it runs at once.
        now: Monotonic seconds.
        warmup: Seconds over which slots are ramped up after a start.

    Returns:
        As `finish`. When the upstream leaves, all that wait are evicted.
    """
    if state is _State.SERVING and gate.state is not _State.SERVING:
        gate.warm_from = now
        gate.shed_at = _NEVER
    gate.state = state
    gate.slots = slots
    gate.warmup = warmup
    if state not in _ADMITTING:
        for entry in tuple(gate.queue):
            _evict(gate, entry, _NOT_ADMITTING[state], now)
    return _admit(gate, now)


def next_expiry(gate):
    """Return the monotonic seconds when `expire` has work, or None."""
    if gate.evicted:
        return _NEVER
    return min((entry.latest for entry in gate.queue), default=None)


def current_load(gate):
    """Return the `Load` to send with an answer."""
    # What refuses at once looks idle and would draw all calls.
    slots = 0 if gate.unreachable else gate.limit
    return Load(len(gate.running), len(gate.queue), slots, gate.state)


def _count(text):
    if not (text.isascii() and text.isdigit() and len(text) < 7):
        raise ValueError(text)
    return int(text)


def _known(gate, attempt_id):
    if attempt_id in gate.running or attempt_id in gate.queued:
        return _JOINED
    match attempts.lookup(gate.memory, attempt_id):
        case attempts.Memory.NEW:
            return None
        case calls.Ending():
            return _JOINED
        case calls.Refusal() as refusal:
            return calls.Refused(refusal)
    return calls.Refused(_CANNOT_KNOW)


def _refusal(gate, attempt, now):
    if gate.state not in _ADMITTING:
        return _NOT_ADMITTING[gate.state]
    deadline = attempt.call.deadline
    if now + _least_time(gate, attempt, now) >= deadline:
        return _deadline_refusal(gate, now)
    return None


def _refuse(gate, attempt_id, refusal, now):
    _record_refusal(gate, attempt_id, refusal, now)
    return calls.Refused(refusal)


def _record_refusal(gate, attempt_id, refusal, now):
    attempts.record(gate.memory, attempt_id, refusal, now)


def _start(gate, attempt, suspect, now):
    gate.running[attempt.id] = Running(attempt, now, suspect)
    gate.suspects_running += suspect
    fairness.hold(gate.shares, attempt.call.caller)
    fairness.start(gate.shares, attempt.call.caller, now)


def _enqueue(gate, attempt, suspect, now):
    deadline = attempt.call.deadline
    latest = deadline - _least_time(gate, attempt, now)
    entry = Waiting(deadline, next(gate.arrivals), latest, attempt, suspect)
    bisect.insort(gate.queue, entry, key=_QUEUE_KEY)
    gate.queued[attempt.id] = entry
    fairness.hold(gate.shares, attempt.call.caller)
    while (excess := _excess(gate, entry, now)) is not None:
        victim = _victim(gate, excess, now)
        refusal = _full_refusal(gate, len(excess), now)
        if victim is entry:
            _leave(gate, attempt.id)
            return _refuse(gate, attempt.id, refusal, now)
        _evict(gate, victim, refusal, now)
    return _QUEUED


def _excess(gate, newcomer, now):
    """Return the waiting attempts that one must leave, or None.

    That is the whole queue when it is too long, those of the newcomer's
    route when they are too many, and all up to the first that would start
    too late at the observed drain rate.
    """
    if len(gate.queue) > gate.queue_limit:
        return gate.queue
    route = newcomer.attempt.call.route
    if route.limit.queue < len(gate.queue):
        same = _of_route(gate, route)
        if len(same) > route.limit.queue:
            return same
    step = servicetime.mean(gate.times, now) / max(1, gate.limit)
    start = now
    for index, entry in enumerate(gate.queue):
        start += step
        if start > entry.latest:
            return gate.queue[: index + 1]
    return None


def _of_route(gate, route):
    return [
        entry
        for entry in gate.queue
        if entry.attempt.call.route.name == route.name
    ]


def _victim(gate, entries, now):
    """Return who leaves: lowest priority, then who holds or got most."""
    lowest = min(entry.attempt.call.route.priority for entry in entries)
    by_route = collections.Counter(
        entry.attempt.call.route.name for entry in entries
    )

    def excess(entry):
        call = entry.attempt.call
        return (
            fairness.usage(gate.shares, call.caller, now),
            by_route[call.route.name],
            entry.order,
        )

    return max(
        (
            entry
            for entry in entries
            if entry.attempt.call.route.priority == lowest
        ),
        key=excess,
    )


def _evict(gate, entry, refusal, now):
    attempt_id = entry.attempt.id
    _leave(gate, attempt_id)
    _record_refusal(gate, attempt_id, refusal, now)
    gate.evicted.append(Expired(attempt_id, refusal))


def _leave(gate, attempt_id):
    entry = gate.queued.pop(attempt_id)
    fairness.release(gate.shares, entry.attempt.call.caller)
    index = bisect.bisect_left(gate.queue, _QUEUE_KEY(entry), key=_QUEUE_KEY)
    del gate.queue[index]


def _admit(gate, now):
    limit = _limit(gate, now)
    if not gate.queue:
        return ()
    admitted = []
    while len(gate.running) < limit:
        entry = _next_waiting(gate, now)
        if entry is None:
            break
        _leave(gate, entry.attempt.id)
        _start(gate, entry.attempt, entry.suspect, now)
        admitted.append(entry.attempt.id)
    return tuple(admitted)


def _next_waiting(gate, now):
    for entry in gate.queue:
        if entry.latest <= now:
            continue
        if entry.suspect and gate.suspects_running:
            continue
        return entry
    return None


def _limit(gate, now):
    gate.limit = _usable_slots(gate, now)
    return gate.limit


def _usable_slots(gate, now):
    if gate.state is _State.WARMING:
        return 1
    if gate.state is not _State.SERVING:
        return 0
    slots = gate.slots
    age = now - gate.warm_from
    if age < gate.warmup:
        slots = max(1, math.ceil(slots * age / gate.warmup))
    if gate.shed_at != _NEVER:
        regained = (now - gate.shed_at) * SHED_RECOVERY_SLOTS_PER_S
        slots = min(slots, int(gate.learned + regained))
    return slots


def _learn(gate, entry, ending, now):
    if ending is calls.Ending.ANSWERED:
        seconds = now - entry.started
        route = entry.attempt.call.route.name
        servicetime.observe(gate.times, route, seconds, now)
    elif ending is calls.Ending.SHED:
        _narrow(gate, len(gate.running), now)
    elif ending is calls.Ending.SILENT:
        # The upstream may still be running it.
        _narrow(gate, _limit(gate, now) - 1, now)


def _narrow(gate, slots, now):
    gate.learned = max(1, min(_limit(gate, now), slots))
    gate.shed_at = now


def _least_time(gate, attempt, now):
    return servicetime.least(gate.times, attempt.call.route.name, now)


def _drain_time(gate, places, now):
    step = servicetime.mean(gate.times, now) / max(1, gate.limit)
    seconds = places * step
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, seconds))


def _deadline_refusal(gate, now):
    return calls.Refusal(
        _DID_NOT_RUN,
        calls.Reason.DEADLINE,
        _drain_time(gate, len(gate.queue) + 1, now),
        'the request could not have finished in time',
    )


def _full_refusal(gate, places, now):
    return calls.Refusal(
        _DID_NOT_RUN,
        calls.Reason.QUEUE_FULL,
        _drain_time(gate, places, now),
        'others wait that were admitted first',
    )


def _plain_refusal(reason, retry_after, detail, ran=_DID_NOT_RUN):
    return calls.Refusal(ran, reason, retry_after, detail)


_QUEUE_KEY = operator.attrgetter('deadline', 'order')
_BARRED = _plain_refusal(
    calls.Reason.BARRED, 0.0, 'the sender barred this attempt'
)
_CANCELLED = _plain_refusal(
    calls.Reason.CANCELLED, 0.0, 'the caller went away'
)
_CANNOT_KNOW = _plain_refusal(
    calls.Reason.BARRED,
    0.0,
    'the attempt is older than what is remembered',
    errors.Outcome.UNKNOWN,
)
_DRAINING = _plain_refusal(
    calls.Reason.DRAINING, DRAINING_RETRY_AFTER_S, 'the upstream is leaving'
)
_ABSENT = _plain_refusal(
    calls.Reason.NO_UPSTREAM, ABSENT_RETRY_AFTER_S, 'no upstream runs here'
)
_NOT_ADMITTING = {
    _State.DRAINING: _DRAINING,
    _State.GONE: _ABSENT,
    _State.ABSENT: _ABSENT,
}
_NOT_RUN = {
    calls.Ending.SHED: _plain_refusal(
        calls.Reason.UPSTREAM_SHED, MIN_RETRY_AFTER_S, 'the upstream shed it'
    ),
    calls.Ending.NEVER_SENT: _plain_refusal(
        calls.Reason.PEER_LOST, 0.0, 'it was never sent to the upstream'
    ),
}
