"""Gate: admission control for this VM's own upstream.

An attempt starts only while fewer attempts run than the upstream has usable
slots. The queue is bounded and ordered by deadline. Attempts are refused only
before the upstream has seen them, so a refusal proves that the attempt did
not run. The exception is a resend of an attempt whose record may have been
dropped: whether it ran is unknown.
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
# Slots restored per second after the upstream shed load or did not answer.
SHED_RECOVERY_SLOTS_PER_S = 1.0
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 30.0
DRAINING_RETRY_AFTER_S = 0.1
ABSENT_RETRY_AFTER_S = 1.0

_NEVER = float('-inf')

_State = messages.UpstreamState
_ADMITTING_STATES = frozenset({_State.WARMING, _State.SERVING})
_DID_NOT_RUN = errors.Outcome.DID_NOT_RUN

_ADMITTED = calls.Admitted()
_QUEUED = calls.Queued()
_DUPLICATE = calls.Duplicate()


class BarState(enum.StrEnum):
    """State of an attempt after `bar`.

    BARRED proves that the attempt has not run here and never will. UNKNOWN
    means that the record of the attempt may have been dropped: it may have
    run, but will not run from now on.
    """

    BARRED = 'barred'
    RUNNING = 'running'
    ENDED = 'ended'
    UNKNOWN = 'unknown'


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load of an upstream at its gate, sent along with each answer.

    Args:
        running: Number of attempts that hold a slot.
        queued: Number of attempts in the queue.
        slots: Usable slots, which ramp-up and load shedding may reduce.
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
        """Parse the text form of a `Load`; None if it is malformed."""
        parts = text.split('/')
        if len(parts) != 4:
            return None
        try:
            numbers = [_parse_count(part) for part in parts[:3]]
            return cls(*numbers, _State(parts[3]))
        except ValueError:
            return None


@dataclasses.dataclass(frozen=True, slots=True)
class EvictedAttempt:
    """An attempt removed from the queue without having run.

    Args:
        attempt: Its `calls.AttemptId`.
        refusal: Refusal to send to its sender.
    """

    attempt: calls.AttemptId
    refusal: calls.Refusal


@dataclasses.dataclass(slots=True)
class QueuedAttempt:
    """A queued attempt.

    Args:
        deadline: Monotonic seconds; orders the queue.
        arrival: Arrival number; orders attempts with equal deadlines.
        latest_start: Monotonic seconds of the latest start at which the
            attempt can still finish before its deadline.
        suspect: Whether its request may crash the upstream.
    """

    deadline: float
    arrival: int
    latest_start: float
    attempt: calls.Attempt
    suspect: bool


@dataclasses.dataclass(slots=True)
class RunningAttempt:
    """An attempt that holds a slot.

    Args:
        started: Monotonic seconds at which it was admitted.
        suspect: Whether its request may crash the upstream.
    """

    attempt: calls.Attempt
    started: float
    suspect: bool


@dataclasses.dataclass(slots=True)
class GateTable:
    """State of the gate.

    Args:
        slots: Slots that the upstream announced.
        queue_limit: Maximum length of the queue.
        state: State that the upstream announced.
        running: Attempts that hold a slot.
        queue: `QueuedAttempt` objects, ordered by deadline.
        queued: The entries of `queue` by attempt id.
        caller_usage: Attempts held and recently started, by caller.
        evicted: Evicted attempts that `expire` has not returned yet.
        records: Outcomes of ended attempts.
        service_times: Estimated run times of requests.
        arrival_numbers: Source of the arrival numbers in the queue.
        suspects_running: Number of running attempts that are suspects.
        warmup: Seconds over which slots are ramped up.
        ramp_started_at: Monotonic seconds at which the ramp-up began.
        reduced_slots: Usable slots at `reduced_at`.
        reduced_at: Monotonic seconds at which the upstream last shed an
            attempt or did not answer one.
        usable_slots: Usable slots when last computed.
        unreachable: Whether the upstream recently refused a connection.
    """

    slots: int
    queue_limit: int = DEFAULT_QUEUE_LIMIT
    state: _State = _State.ABSENT
    running: dict[calls.AttemptId, RunningAttempt] = dataclasses.field(
        default_factory=dict
    )
    queue: list[QueuedAttempt] = dataclasses.field(default_factory=list)
    queued: dict[calls.AttemptId, QueuedAttempt] = dataclasses.field(
        default_factory=dict
    )
    caller_usage: fairness.FairnessTable = dataclasses.field(
        default_factory=fairness.FairnessTable
    )
    evicted: list[EvictedAttempt] = dataclasses.field(default_factory=list)
    records: attempts.AttemptTable = dataclasses.field(
        default_factory=attempts.AttemptTable
    )
    service_times: servicetime.ServiceTimeTable = dataclasses.field(
        default_factory=servicetime.ServiceTimeTable
    )
    arrival_numbers: itertools.count = dataclasses.field(
        default_factory=itertools.count
    )
    suspects_running: int = 0
    warmup: float = 0.0
    ramp_started_at: float = _NEVER
    reduced_slots: int = 0
    reduced_at: float = _NEVER
    usable_slots: int = 0
    unreachable: bool = False


def new_gate(slots, queue_limit=DEFAULT_QUEUE_LIMIT):
    """Return a `GateTable` whose upstream has not announced itself yet.

    Args:
        slots: Slots of the upstream until it announces another number.
        queue_limit: Maximum length of the queue.
    """
    return GateTable(slots=slots, queue_limit=queue_limit)


def offer(gate, attempt, now, suspect=False):
    """Admit, queue or refuse an attempt, or report a duplicate.

    After `Queued`, call `expire`: another attempt may have been evicted.

    Args:
        gate: A `GateTable`.
        attempt: A `calls.Attempt`.
        now: Monotonic seconds.
        suspect: Whether the request may crash the upstream; at most one
            suspect runs at a time.

    Returns:
        `calls.Admitted`, `calls.Queued`, `calls.Duplicate` or `calls.Refused`.
    """
    known = _known_admission(gate, attempt.id)
    if known is not None:
        return known
    attempts.register_sender(gate.records, attempt.id)
    refusal = _check_admission(gate, attempt, now)
    if refusal is not None:
        return _refuse(gate, attempt.id, refusal, now)
    if len(gate.running) < _update_usable_slots(gate, now) and not (
        suspect and gate.suspects_running
    ):
        _start(gate, attempt, suspect, now)
        return _ADMITTED
    return _enqueue(gate, attempt, suspect, now)


def record_refusal(gate, attempt_id, refusal, now):
    """Record the refusal of an attempt that was never offered.

    A late copy of the attempt gets the same refusal and never runs. Nothing
    changes if the attempt is running, queued or recorded already.

    Args:
        gate: A `GateTable`.
        attempt_id: A `calls.AttemptId`.
        refusal: The `calls.Refusal` sent to its sender.
        now: Monotonic seconds.
    """
    if _known_admission(gate, attempt_id) is None:
        attempts.register_sender(gate.records, attempt_id)
        _store_refusal(gate, attempt_id, refusal, now)


def finish(gate, attempt_id, ending, now):
    """Free the slot of a running attempt and record how it ended.

    A repeated call has no effect. After a crash, call `set_upstream` first;
    otherwise queued attempts are admitted to an upstream that is gone.

    Args:
        gate: A `GateTable`.
        attempt_id: `calls.AttemptId` of a running attempt.
        ending: Its `calls.Ending`.
        now: Monotonic seconds.

    Returns:
        Tuple of `calls.AttemptId` admitted from the queue. They hold a slot
        and must be sent now.

    Raises:
        errors.BrokenInvariant: The attempt is queued.
    """
    entry = gate.running.pop(attempt_id, None)
    if entry is None:
        if attempt_id in gate.queued:
            raise errors.BrokenInvariant(
                f'attempt {attempt_id} finished while still in the queue'
            )
        return ()
    gate.suspects_running -= entry.suspect
    fairness.release(gate.caller_usage, entry.attempt.call.caller)
    _apply_ending(gate, entry, ending, now)
    outcome = _REFUSAL_BY_ENDING.get(ending, ending)
    attempts.record(gate.records, attempt_id, outcome, now)
    return _admit(gate, now)


def cancel(gate, attempt_id, now):
    """Cancel an attempt whose caller stopped waiting.

    A queued attempt is removed from the queue. An attempt that has not
    arrived yet is refused when it does. A running attempt keeps its slot
    until `finish`.

    Args:
        gate: A `GateTable`.
        attempt_id: A `calls.AttemptId`.
        now: Monotonic seconds.

    Returns:
        Tuple of `calls.AttemptId` admitted from the queue, as from `finish`.
    """
    if attempt_id in gate.queued:
        _dequeue(gate, attempt_id)
        _store_refusal(gate, attempt_id, _CANCELLED, now)
    else:
        record_refusal(gate, attempt_id, _CANCELLED, now)
    return _admit(gate, now)


def expire(gate, now):
    """Evict attempts that can no longer finish before their deadline.

    Also drops expired attempt records of one sender.

    Args:
        gate: A `GateTable`.
        now: Monotonic seconds.

    Returns:
        Tuple of all `EvictedAttempt` since the last call, whatever the
        reason: deadline, full queue, `bar` or state of the upstream.
    """
    expired = [entry for entry in gate.queue if entry.latest_start <= now]
    for entry in expired:
        refusal = _deadline_refusal(gate, now)
        _evict(gate, entry, refusal, now)
    attempts.sweep(gate.records, now)
    evicted = tuple(gate.evicted)
    gate.evicted.clear()
    return evicted


def bar(gate, attempt_id, now):
    """Prevent an attempt from starting unless it has started already.

    The result is valid only for attempts sent to the current incarnation of
    this daemon. The caller of `bar` must compare incarnations first.

    Args:
        gate: A `GateTable`.
        attempt_id: A `calls.AttemptId`.
        now: Monotonic seconds.

    Returns:
        A `BarState`. A queued attempt is evicted, and the next `expire`
        returns it.
    """
    if attempt_id in gate.running:
        return BarState.RUNNING
    entry = gate.queued.get(attempt_id)
    if entry is not None:
        _evict(gate, entry, _BARRED, now)
        return BarState.BARRED
    match attempts.lookup(gate.records, attempt_id):
        case calls.Ending():
            return BarState.ENDED
        case calls.Refusal():
            return BarState.BARRED
        case attempts.Unrecorded.EXPIRED:
            return BarState.UNKNOWN
    record_refusal(gate, attempt_id, _BARRED, now)
    return BarState.BARRED


def recorded_ending(gate, attempt_id):
    """Return the recorded `calls.Ending` of an attempt, or None.

    None if it has not ended, never ran, or its record was dropped.

    Args:
        gate: A `GateTable`.
        attempt_id: A `calls.AttemptId`.
    """
    outcome = attempts.lookup(gate.records, attempt_id)
    return outcome if isinstance(outcome, calls.Ending) else None


def set_upstream(gate, state, slots, now, warmup=0.0):
    """Apply the state and slots that the upstream announced.

    Evicts the whole queue if the new state admits no requests.

    Args:
        gate: A `GateTable`.
        state: A `messages.UpstreamState`.
        slots: Number of requests that the upstream runs concurrently.
        now: Monotonic seconds.
        warmup: Seconds over which slots are ramped up once it serves.

    Returns:
        Tuple of `calls.AttemptId` admitted from the queue, as from `finish`.
    """
    if state is _State.SERVING and gate.state is not _State.SERVING:
        gate.ramp_started_at = now
        gate.reduced_at = _NEVER
    gate.state = state
    gate.slots = slots
    gate.warmup = warmup
    if state not in _ADMITTING_STATES:
        for entry in tuple(gate.queue):
            _evict(gate, entry, _REFUSAL_BY_STATE[state], now)
    return _admit(gate, now)


def next_expiry(gate):
    """Return the time of the next `expire` in monotonic seconds, or None."""
    if gate.evicted:
        return _NEVER
    return min((entry.latest_start for entry in gate.queue), default=None)


def current_load(gate):
    """Return the `Load` to send with an answer."""
    # Attempts at an upstream that refuses connections end at once, so it
    # looks idle. Reporting free slots would attract all calls to it.
    slots = 0 if gate.unreachable else gate.usable_slots
    return Load(len(gate.running), len(gate.queue), slots, gate.state)


def _parse_count(text):
    if not (text.isascii() and text.isdigit() and len(text) < 7):
        raise ValueError(text)
    return int(text)


def _known_admission(gate, attempt_id):
    if attempt_id in gate.running or attempt_id in gate.queued:
        return _DUPLICATE
    match attempts.lookup(gate.records, attempt_id):
        case attempts.Unrecorded.NEW:
            return None
        case calls.Ending():
            return _DUPLICATE
        case calls.Refusal() as refusal:
            return calls.Refused(refusal)
    return calls.Refused(_RECORD_DROPPED)


def _check_admission(gate, attempt, now):
    if gate.state not in _ADMITTING_STATES:
        return _REFUSAL_BY_STATE[gate.state]
    deadline = attempt.call.deadline
    if now + _min_service_time(gate, attempt, now) >= deadline:
        return _deadline_refusal(gate, now)
    return None


def _refuse(gate, attempt_id, refusal, now):
    _store_refusal(gate, attempt_id, refusal, now)
    return calls.Refused(refusal)


def _store_refusal(gate, attempt_id, refusal, now):
    attempts.record(gate.records, attempt_id, refusal, now)


def _start(gate, attempt, suspect, now):
    gate.running[attempt.id] = RunningAttempt(attempt, now, suspect)
    gate.suspects_running += suspect
    fairness.hold(gate.caller_usage, attempt.call.caller)
    fairness.start(gate.caller_usage, attempt.call.caller, now)


def _enqueue(gate, attempt, suspect, now):
    deadline = attempt.call.deadline
    latest_start = deadline - _min_service_time(gate, attempt, now)
    entry = QueuedAttempt(
        deadline, next(gate.arrival_numbers), latest_start, attempt, suspect
    )
    bisect.insort(gate.queue, entry, key=_QUEUE_KEY)
    gate.queued[attempt.id] = entry
    fairness.hold(gate.caller_usage, attempt.call.caller)
    while (overflow := _overflow(gate, entry, now)) is not None:
        victim = _select_victim(gate, overflow, now)
        refusal = _full_refusal(gate, len(overflow), now)
        if victim is entry:
            _dequeue(gate, attempt.id)
            return _refuse(gate, attempt.id, refusal, now)
        _evict(gate, victim, refusal, now)
    return _QUEUED


def _overflow(gate, arrival, now):
    """Return the queued attempts one of which must be evicted, or None.

    They are the whole queue if it is too long, the attempts of the
    arrival's route if there are too many, or the head of the queue up to
    the first attempt that would start too late at the estimated drain rate.
    """
    if len(gate.queue) > gate.queue_limit:
        return gate.queue
    route = arrival.attempt.call.route
    if route.limit.queue < len(gate.queue):
        same_route = _queued_of_route(gate, route)
        if len(same_route) > route.limit.queue:
            return same_route
    slot_interval = servicetime.mean(gate.service_times, now) / max(
        1, gate.usable_slots
    )
    start = now
    for index, entry in enumerate(gate.queue):
        start += slot_interval
        if start > entry.latest_start:
            return gate.queue[: index + 1]
    return None


def _queued_of_route(gate, route):
    return [
        entry
        for entry in gate.queue
        if entry.attempt.call.route.name == route.name
    ]


def _select_victim(gate, entries, now):
    """Return the entry to evict.

    It has the lowest priority. Among those, the caller with the highest
    usage loses first, then the route with the most entries, then the latest
    arrival.
    """
    lowest = min(entry.attempt.call.route.priority for entry in entries)
    by_route = collections.Counter(
        entry.attempt.call.route.name for entry in entries
    )

    def eviction_key(entry):
        call = entry.attempt.call
        return (
            fairness.usage(gate.caller_usage, call.caller, now),
            by_route[call.route.name],
            entry.arrival,
        )

    return max(
        (
            entry
            for entry in entries
            if entry.attempt.call.route.priority == lowest
        ),
        key=eviction_key,
    )


def _evict(gate, entry, refusal, now):
    attempt_id = entry.attempt.id
    _dequeue(gate, attempt_id)
    _store_refusal(gate, attempt_id, refusal, now)
    gate.evicted.append(EvictedAttempt(attempt_id, refusal))


def _dequeue(gate, attempt_id):
    entry = gate.queued.pop(attempt_id)
    fairness.release(gate.caller_usage, entry.attempt.call.caller)
    index = bisect.bisect_left(gate.queue, _QUEUE_KEY(entry), key=_QUEUE_KEY)
    del gate.queue[index]


def _admit(gate, now):
    limit = _update_usable_slots(gate, now)
    if not gate.queue:
        return ()
    admitted = []
    while len(gate.running) < limit:
        entry = _next_admissible(gate, now)
        if entry is None:
            break
        _dequeue(gate, entry.attempt.id)
        _start(gate, entry.attempt, entry.suspect, now)
        admitted.append(entry.attempt.id)
    return tuple(admitted)


def _next_admissible(gate, now):
    for entry in gate.queue:
        if entry.latest_start <= now:
            continue
        if entry.suspect and gate.suspects_running:
            continue
        return entry
    return None


def _update_usable_slots(gate, now):
    gate.usable_slots = _compute_usable_slots(gate, now)
    return gate.usable_slots


def _compute_usable_slots(gate, now):
    if gate.state is _State.WARMING:
        return 1
    if gate.state is not _State.SERVING:
        return 0
    slots = gate.slots
    age = now - gate.ramp_started_at
    if age < gate.warmup:
        slots = max(1, math.ceil(slots * age / gate.warmup))
    if gate.reduced_at != _NEVER:
        restored = (now - gate.reduced_at) * SHED_RECOVERY_SLOTS_PER_S
        slots = min(slots, int(gate.reduced_slots + restored))
    return slots


def _apply_ending(gate, entry, ending, now):
    if ending is calls.Ending.ANSWERED:
        seconds = now - entry.started
        route = entry.attempt.call.route.name
        servicetime.observe(gate.service_times, route, seconds, now)
    elif ending is calls.Ending.SHED:
        _reduce_slots(gate, len(gate.running), now)
    elif ending is calls.Ending.SILENT:
        # The upstream may still be running the attempt.
        _reduce_slots(gate, _update_usable_slots(gate, now) - 1, now)


def _reduce_slots(gate, slots, now):
    gate.reduced_slots = max(1, min(_update_usable_slots(gate, now), slots))
    gate.reduced_at = now


def _min_service_time(gate, attempt, now):
    return servicetime.minimum(
        gate.service_times, attempt.call.route.name, now
    )


def _estimated_wait(gate, places, now):
    slot_interval = servicetime.mean(gate.service_times, now) / max(
        1, gate.usable_slots
    )
    seconds = places * slot_interval
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, seconds))


def _deadline_refusal(gate, now):
    return calls.Refusal(
        _DID_NOT_RUN,
        calls.Reason.DEADLINE,
        _estimated_wait(gate, len(gate.queue) + 1, now),
        'the request cannot finish before its deadline',
    )


def _full_refusal(gate, places, now):
    return calls.Refusal(
        _DID_NOT_RUN,
        calls.Reason.QUEUE_FULL,
        _estimated_wait(gate, places, now),
        'the queue has no room for the request',
    )


def _new_refusal(reason, retry_after, detail, ran=_DID_NOT_RUN):
    return calls.Refusal(ran, reason, retry_after, detail)


_QUEUE_KEY = operator.attrgetter('deadline', 'arrival')
_BARRED = _new_refusal(
    calls.Reason.BARRED, 0.0, 'the sender barred the attempt before it started'
)
_CANCELLED = _new_refusal(
    calls.Reason.CANCELLED, 0.0, 'the caller stopped waiting'
)
_RECORD_DROPPED = _new_refusal(
    calls.Reason.BARRED,
    0.0,
    'the record of the attempt may have been dropped',
    errors.Outcome.UNKNOWN,
)
_DRAINING = _new_refusal(
    calls.Reason.DRAINING, DRAINING_RETRY_AFTER_S, 'the upstream is draining'
)
_NO_UPSTREAM = _new_refusal(
    calls.Reason.NO_UPSTREAM,
    ABSENT_RETRY_AFTER_S,
    'no upstream runs on this VM',
)
_REFUSAL_BY_STATE = {
    _State.DRAINING: _DRAINING,
    _State.GONE: _NO_UPSTREAM,
    _State.ABSENT: _NO_UPSTREAM,
}
_REFUSAL_BY_ENDING = {
    calls.Ending.SHED: _new_refusal(
        calls.Reason.UPSTREAM_SHED,
        MIN_RETRY_AFTER_S,
        'the upstream shed the request',
    ),
    calls.Ending.NEVER_SENT: _new_refusal(
        calls.Reason.PEER_LOST,
        0.0,
        'the request was never sent to the upstream',
    ),
}
