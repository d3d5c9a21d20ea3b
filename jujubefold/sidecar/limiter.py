"""Slots: which requests the own upstream runs, which wait and which go.

Answers load beyond the upstream's slots: requests wait in the order of
their rank and urgency, and one that can't be served in time is refused as
soon as that is known, because its caller can use the time elsewhere.
"""

import dataclasses
import heapq

from jujubefold import calls
from jujubefold import errors

# Share of the caller's time that a request may be predicted to take when
# its objective is missed anyway; callers that wait longer mostly leave.
LATE_SHARE = 0.25
# Share of the caller's time after which one that waits is refused: callers
# come back within a third of what they have left.
GIVE_UP_SHARE = 0.5
# Share of the time to its objective that a request may be predicted to take;
# durations spread, and whoever becomes late waits behind all others.
ON_TIME_SHARE = 0.85
# Seconds; a caller with no more time can't come back after a refusal, as the
# upstreams' own calls, whose refusal loses the work of the run that calls.
SHORT_S = 0.5
# Share of their time that such requests may be predicted to take.
SHORT_SHARE = 0.85
# Share of the usual time that must be left for a start to make sense:
# about one request in four ends in less.
LEAST_SHARE = 0.7
# Share of its usual time that a request is expected to run on at least,
# however long it has run.
REMAINING_SHARE = 0.25
# Weight of the newest duration; about the last 10 requests count.
EWMA_WEIGHT = 0.1
# Seconds assumed of a request before the first one has ended.
UNKNOWN_HOLD_S = 0.05
# Seconds; shorter pauses bring callers back before any slot is free.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request that asks for a slot.

    Args:
        key: Identifies the request in the table.
        route: Route name; durations are learned by it.
        rank: Lower ranks go first.
        arrived_at: Monotonic seconds.
        objective_at: Monotonic seconds until which an answer is on time.
        deadline: Monotonic seconds at which the caller stops waiting.
        may_queue: Whether it may wait for a slot.
    """

    key: object
    route: str
    rank: int
    arrived_at: float
    objective_at: float
    deadline: float
    may_queue: bool = True


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """How busy a gate is, as other daemons are told.

    Args:
        running: Requests that hold a slot.
        waiting: Requests that wait for one.
        slots: Slots that may be used now.
        mean_duration: Mean seconds for which a request holds a slot.
        failure_rate: Share of the last requests that the upstream failed.
    """

    running: int = 0
    waiting: int = 0
    slots: int = 0
    mean_duration: float = UNKNOWN_HOLD_S
    failure_rate: float = 0.0


@dataclasses.dataclass(slots=True)
class SlotTable:
    """Requests at one upstream, and what was learned of their durations.

    Args:
        slots: Requests that may run at once; 0 without an upstream.
        warmup_factor: Factor on durations while the upstream warms up.
        running: Request and monotonic start by name.
        waiting: Tickets by name.
        durations: Mean seconds by route.
        mean_duration: Mean seconds of all requests.
        failure_rate: Share of the last requests that the upstream failed.
    """

    slots: int = 0
    warmup_factor: float = 1.0
    running: dict[object, tuple[Request, float]] = dataclasses.field(
        default_factory=dict
    )
    waiting: dict[object, Request] = dataclasses.field(default_factory=dict)
    durations: dict[str, float] = dataclasses.field(default_factory=dict)
    mean_duration: float = UNKNOWN_HOLD_S
    failure_rate: float = 0.0


def acquire(table, ticket, now):
    """Admit, queue or refuse a request.

    After `calls.Queued` call `evict_overdue`: others may have lost their
    chance.

    Args:
        table: A `SlotTable`.
        ticket: A `Request`.
        now: Monotonic seconds.

    Returns:
        `calls.Admitted`, `calls.Queued` or `calls.Refused`.
    """
    if not table.slots:
        return _refused(calls.Reason.NO_UPSTREAM, MIN_RETRY_AFTER_S)
    lasts = expected_duration(table, ticket.route)
    if now + lasts * LEAST_SHARE > ticket.deadline:
        return _refused(calls.Reason.DEADLINE, 0.0)
    if len(table.running) < table.slots and not table.waiting:
        table.running[ticket.key] = (ticket, now)
        return calls.Admitted()
    if not ticket.may_queue:
        return _refused(calls.Reason.NO_SLOT, MIN_RETRY_AFTER_S)
    starts = _predicted_starts(table, now, ticket)
    if starts[ticket.key] + lasts > _limit(ticket):
        return _refused(
            calls.Reason.QUEUE_FULL, _retry_after(table, starts, now)
        )
    table.waiting[ticket.key] = ticket
    return calls.Queued()


def release(table, name, now, failed=False, learn=True):
    """Free a slot, or take a request out of the queue.

    Args:
        table: A `SlotTable`.
        name: Of a request that runs or waits; others are ignored.
        now: Monotonic seconds.
        failed: Whether the upstream failed the request.
        learn: Whether its duration says something about later ones.

    Returns:
        Names that hold a slot from now on and must be sent.
    """
    if table.waiting.pop(name, None) is None:
        entry = table.running.pop(name, None)
        if entry is not None and learn:
            _learn(table, entry, now, failed)
    return fill_slots(table, now)


def fill_slots(table, now):
    """Give free slots to requests that wait.

    Returns:
        Names that hold a slot from now on.
    """
    admitted = []
    while table.waiting and len(table.running) < table.slots:
        ticket = min(
            table.waiting.values(), key=lambda item: _order(table, item, now)
        )
        del table.waiting[ticket.key]
        table.running[ticket.key] = (ticket, now)
        admitted.append(ticket.key)
    return tuple(admitted)


def evict_overdue(table, now):
    """Take out requests that can't be served in time any more.

    Returns:
        Tuple of names and a `calls.Refusal` each.
    """
    if not table.waiting:
        return ()
    starts = _predicted_starts(table, now)
    gone = [
        ticket
        for ticket in table.waiting.values()
        if starts[ticket.key] > _latest(table, ticket)
    ]
    for ticket in gone:
        del table.waiting[ticket.key]
    refusal = _refused(
        calls.Reason.QUEUE_FULL, _retry_after(table, starts, now)
    ).refusal
    return tuple((ticket.key, refusal) for ticket in gone)


def close(table, reason):
    """Take out all requests that wait, because the upstream left.

    Returns:
        As `evict_overdue`.
    """
    table.slots = 0
    names = tuple(table.waiting)
    table.waiting.clear()
    refusal = _refused(reason, MIN_RETRY_AFTER_S).refusal
    return tuple((name, refusal) for name in names)


def load(table):
    """Return the `Load` of a table."""
    return Load(
        len(table.running),
        len(table.waiting),
        table.slots,
        table.mean_duration * table.warmup_factor,
        table.failure_rate,
    )


def expected_duration(table, route):
    """Return the seconds that a request of a route is expected to hold."""
    return (
        table.durations.get(route, table.mean_duration) * table.warmup_factor
    )


def _refused(reason, retry_after):
    return calls.Refused(
        calls.Refusal(errors.Outcome.DID_NOT_RUN, reason, retry_after)
    )


def _patience(ticket, usual):
    time = ticket.deadline - ticket.arrived_at
    return time * (SHORT_SHARE if time <= SHORT_S else usual)


def _limit(ticket):
    patience = _patience(ticket, LATE_SHARE)
    on_time = ON_TIME_SHARE * (ticket.objective_at - ticket.arrived_at)
    return ticket.arrived_at + max(on_time, patience)


def _latest(table, ticket):
    """Return when a request must start, or be refused.

    One that became late waits behind all others; it is told so while its
    caller still has time to come back.
    """
    lasts = expected_duration(table, ticket.route)
    patience = _patience(ticket, GIVE_UP_SHARE)
    ends = max(ticket.objective_at, ticket.arrived_at + patience)
    return min(ends - lasts, ticket.deadline - lasts * LEAST_SHARE)


def _order(table, ticket, now):
    on_time = ticket.objective_at - expected_duration(table, ticket.route)
    return (ticket.rank, on_time < now, on_time)


def _predicted_starts(table, now, newcomer=None):
    """Return the expected start of each request that waits, by name."""
    free = [
        max(
            started + expected_duration(table, ticket.route),
            now + expected_duration(table, ticket.route) * REMAINING_SHARE,
        )
        for ticket, started in table.running.values()
    ]
    free.extend([now] * (table.slots - len(free)))
    heapq.heapify(free)
    line = list(table.waiting.values())
    if newcomer is not None:
        line.append(newcomer)
    line.sort(key=lambda item: _order(table, item, now))
    starts = {}
    for ticket in line:
        start = max(now, free[0])
        starts[ticket.key] = start
        heapq.heapreplace(free, start + expected_duration(table, ticket.route))
    return starts


def _retry_after(table, starts, now):
    """Return the seconds after which the queue is expected to be empty."""
    last = max(starts.values(), default=now) - now
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, last))


def _learn(table, entry, now, failed):
    ticket, started = entry
    table.failure_rate += EWMA_WEIGHT * (failed - table.failure_rate)
    if failed:
        return
    lasted = (now - started) / table.warmup_factor
    known = table.durations.get(ticket.route, lasted)
    table.durations[ticket.route] = known + EWMA_WEIGHT * (lasted - known)
    table.mean_duration += EWMA_WEIGHT * (lasted - table.mean_duration)
