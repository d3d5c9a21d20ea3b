"""Limiter: admits requests to the slots of this VM's own upstream.

Requests beyond the slots are queued by rank and latency objective. One that
is not expected to be answered in time is refused as soon as that is known,
so that its caller still has time to retry. An upstream in need may name a
rate of requests; then they are also started no faster than that.

Calls of requests that run elsewhere go first, and are kept as long as they
can end in time: refusing one loses the work of the request that made it.
"""

import dataclasses
import heapq
import math

from jujubefold import calls
from jujubefold import errors
from jujubefold.sidecar import pace as paces

# A request that will miss its latency objective is admitted only if it is
# predicted to end within this share of the caller's time; callers that wait
# longer mostly leave.
LATE_SHARE = 0.25
# Share of the caller's time within which a queued request must be predicted
# to end, or it is refused: callers retry within a third of their remaining
# time, so they must be refused while enough of it is left.
QUEUED_SHARE = 0.5
# Share of the time to its latency objective within which a request must be
# predicted to end on admission. Durations vary, and a request that becomes
# late is queued behind the others of its rank.
ON_TIME_SHARE = 0.85
# Seconds. A caller with no more time than this can't retry after a refusal.
# Upstreams' own calls are such requests: refusing one loses the work of the
# request that made it.
SHORT_TIMEOUT_S = 0.5
# Share of the caller's time within which such a request must be predicted to
# end.
SHORT_TIMEOUT_SHARE = 0.85
# Share of the expected duration that must be left before the deadline for a
# request to be started: about one request in four takes less.
MIN_REMAINING_SHARE = 0.7
# Share of the expected duration that a running request is assumed to still
# need at least, however long it has run.
OVERRUN_SHARE = 0.25
# Weight of the newest sample in moving averages; about the last 10 requests
# determine the average.
EWMA_WEIGHT = 0.1
# Seconds without a sample after which the failure rate counts half. An
# upstream that is avoided because it fails gets no samples.
FAILURE_HALF_LIFE_S = 2.0
# Seconds that a request is assumed to take before the first one has ended.
INITIAL_DURATION_S = 0.05
# Seconds; with shorter values callers retry before any slot is free.
MIN_RETRY_AFTER_S = 0.05
MAX_RETRY_AFTER_S = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request that asks for a slot.

    Args:
        key: Identifies the request in the table.
        route: Route name; durations are averaged by route.
        rank: Lower ranks are served first.
        arrived_at: Monotonic seconds at which the request arrived.
        objective_at: Monotonic seconds until which an answer is on time.
        deadline: Monotonic seconds at which the caller stops waiting.
        may_queue: Whether it may wait for a slot.
        call: Whether a running request made it; `rank` and `deadline` then
            allow for those of that request.
    """

    key: object
    route: str
    rank: int
    arrived_at: float
    objective_at: float
    deadline: float
    may_queue: bool = True
    call: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """A request that holds a slot.

    Args:
        request: The `Request`.
        started_at: Monotonic seconds at which it got the slot.
        warmup_factor: Factor on its duration.
    """

    request: Request
    started_at: float
    warmup_factor: float


@dataclasses.dataclass(frozen=True, slots=True)
class Load:
    """Load of one gate, as reported to other daemons.

    Args:
        running: Requests that hold a slot.
        waiting: Requests that wait for a slot.
        slots: Slots that may be used now; fewer than the upstream has if a
            rate limit leaves some of them idle.
        mean_duration: Mean seconds for which a request holds a slot; longer
            than it runs if the rate limit delays the next one.
        failure_rate: Share of recent requests that the upstream failed.
        fetch_backlog: Seconds for which the gate's link is busy with bodies
            that are being fetched.
        track: Version of the upstream in a rollout: 0 stable, 1 new.
        waiting_calls: Those of `waiting` that running requests made; they
            go before the others.
    """

    running: int = 0
    waiting: int = 0
    slots: int = 0
    mean_duration: float = INITIAL_DURATION_S
    failure_rate: float = 0.0
    fetch_backlog: float = 0.0
    track: int = 0
    waiting_calls: int = 0


@dataclasses.dataclass(slots=True)
class SlotTable:
    """Requests running and queued at one upstream, and their mean durations.

    Args:
        slots: Requests that may run at once; 0 without an upstream.
        warmup_factor: Factor on durations while the upstream warms up.
        running: `Run` by key.
        waiting: `Request` by key.
        durations: Mean seconds by route, without the warm-up factor.
        mean_duration: Mean seconds of all requests, without that factor.
        failure_rate: Share of recent requests that the upstream failed.
        sampled_at: Monotonic seconds of the last of them.
        pace: The `pace.Pace` at which requests are started.
        learned_limit: Requests that the upstream handles well at once; None
            if that is not learned.
    """

    slots: int = 0
    warmup_factor: float = 1.0
    running: dict[object, Run] = dataclasses.field(default_factory=dict)
    waiting: dict[object, Request] = dataclasses.field(default_factory=dict)
    durations: dict[str, float] = dataclasses.field(default_factory=dict)
    mean_duration: float = INITIAL_DURATION_S
    failure_rate: float = 0.0
    sampled_at: float = 0.0
    pace: paces.Pace = dataclasses.field(default_factory=paces.Pace)
    learned_limit: int | None = None


def acquire(table, request, now):
    """Admit, queue or refuse a request.

    After `calls.Queued`, call `evict_overdue`: the new request may be queued
    ahead of others, which then can't be served in time any more.

    Args:
        table: A `SlotTable`.
        request: A `Request`.
        now: Monotonic seconds.

    Returns:
        `calls.Admitted`, `calls.Queued` or `calls.Refused`.
    """
    if not table.slots:
        return _refused(calls.Reason.NO_UPSTREAM, MIN_RETRY_AFTER_S)
    expected = expected_duration(table, request.route)
    if now + expected * MIN_REMAINING_SHARE > request.deadline:
        return _refused(calls.Reason.DEADLINE, 0.0)
    if not table.waiting and _may_start(table, now):
        _start(table, request, now)
        return calls.Admitted()
    if not request.may_queue:
        return _refused(calls.Reason.NO_SLOT, MIN_RETRY_AFTER_S)
    starts = _predicted_starts(table, now, request)
    if starts[request.key] + expected > _admission_limit(table, request):
        return _refused(
            calls.Reason.QUEUE_FULL, _retry_after(table, starts, now)
        )
    table.waiting[request.key] = request
    return calls.Queued()


def refusal_for_fetch(table, request, fetch_seconds, now):
    """Return the refusal of a request whose body is not here yet, or None.

    It needs no slot while its body is fetched. It is refused if it would come
    too late then, before anything is transferred.

    Args:
        table: A `SlotTable`.
        request: A `Request`.
        fetch_seconds: Seconds until its body is expected to be complete.
        now: Monotonic seconds.

    Returns:
        A `calls.Refusal` or None.
    """
    if not table.slots:
        return _refused(calls.Reason.NO_UPSTREAM, MIN_RETRY_AFTER_S).refusal
    expected = expected_duration(table, request.route)
    if now + expected * MIN_REMAINING_SHARE > request.deadline:
        return _refused(calls.Reason.DEADLINE, 0.0).refusal
    starts = _predicted_starts(table, now, request)
    end = max(now + fetch_seconds, starts[request.key]) + expected
    limit = _admission_limit(table, request)
    if end > (limit if request.call else min(limit, request.deadline)):
        retry_after = max(fetch_seconds, _retry_after(table, starts, now))
        return _refused(
            calls.Reason.QUEUE_FULL, min(MAX_RETRY_AFTER_S, retry_after)
        ).refusal
    return None


def release(table, key, now, failed=False, record=True):
    """Free a request's slot, or remove it from the queue.

    Args:
        table: A `SlotTable`.
        key: Key of a running or queued request; unknown keys are ignored.
        now: Monotonic seconds.
        failed: Whether the upstream failed the request.
        record: Whether its duration and failure count in the averages.

    Returns:
        Keys of queued requests that now hold a slot and must be sent.
    """
    if table.waiting.pop(key, None) is None:
        run = table.running.pop(key, None)
        if run is not None and record:
            _record(table, run, now, failed)
    return fill_slots(table, now)


def usable_slots(table):
    """Return how many requests may run at once.

    Args:
        table: A `SlotTable`.
    """
    if table.learned_limit is None:
        return table.slots
    return min(table.slots, table.learned_limit)


def fill_slots(table, now):
    """Give free slots to queued requests.

    Returns:
        Keys of the requests that now hold a slot and must be sent.
    """
    admitted = []
    while table.waiting and _may_start(table, now):
        request = min(
            table.waiting.values(),
            key=lambda item: _queue_order(table, item, now),
        )
        del table.waiting[request.key]
        _start(table, request, now)
        admitted.append(request.key)
    return tuple(admitted)


def paced_delay(table, now):
    """Return the seconds until the rate limit lets a queued request start.

    Args:
        table: A `SlotTable`.
        now: Monotonic seconds.

    Returns:
        Seconds; None if no queued request waits for the rate limit.
    """
    if not table.waiting or len(table.running) >= usable_slots(table):
        return None
    return paces.earliest_start(table.pace, now) - now


def evict_overdue(table, now):
    """Remove queued requests that can no longer be served in time.

    Returns:
        Tuple of pairs of a request's key and its `calls.Refusal`.
    """
    if not table.waiting:
        return ()
    starts = _predicted_starts(table, now)
    overdue = [
        request
        for request in table.waiting.values()
        if starts[request.key] > _latest_start(table, request)
    ]
    for request in overdue:
        del table.waiting[request.key]
    refusal = _refused(
        calls.Reason.QUEUE_FULL, _retry_after(table, starts, now)
    ).refusal
    return tuple((request.key, refusal) for request in overdue)


def close(table, reason, detail=''):
    """Refuse all queued requests, and admit none while no upstream serves.

    Args:
        table: A `SlotTable`.
        reason: A `calls.Reason` for the refusals.
        detail: Explanation for people; may be empty.

    Returns:
        As `evict_overdue`.
    """
    table.slots = 0
    keys = tuple(table.waiting)
    table.waiting.clear()
    refusal = dataclasses.replace(
        _refused(reason, MIN_RETRY_AFTER_S).refusal, detail=detail
    )
    return tuple((key, refusal) for key in keys)


def load(table, now, fetch_backlog=0.0, track=0):
    """Return the `Load` of a table.

    Args:
        table: A `SlotTable`.
        now: Monotonic seconds.
        fetch_backlog: As in `Load`.
        track: As in `Load`.
    """
    running = len(table.running)
    slots = usable_slots(table)
    duration = table.mean_duration * table.warmup_factor
    per_second = table.pace.per_second
    if slots and per_second is not None:
        # As many slots as the rate keeps in use, each for as long as makes
        # their throughput equal to it.
        slots = max(1, min(slots, math.ceil(per_second * duration)))
        duration = max(duration, slots / per_second)
        if not _may_start(table, now):
            running = max(running, slots)
    return Load(
        running,
        len(table.waiting),
        slots,
        duration,
        decayed_failure_rate(table.failure_rate, now - table.sampled_at),
        fetch_backlog,
        track,
        sum(request.call for request in table.waiting.values()),
    )


def decayed_failure_rate(rate, age):
    """Return the failure rate that is assumed some time after a sample.

    Args:
        rate: Share of requests that failed.
        age: Seconds since the last sample.
    """
    return rate * 0.5 ** (max(0.0, age) / FAILURE_HALF_LIFE_S)


def expected_duration(table, route):
    """Return the seconds for which a request is expected to hold a slot.

    Args:
        table: A `SlotTable`.
        route: Route name; without a sample of it, all requests count.
    """
    return (
        table.durations.get(route, table.mean_duration) * table.warmup_factor
    )


def _may_start(table, now):
    """Return whether a slot is free and the rate limit allows a start."""
    return (
        len(table.running) < usable_slots(table)
        and paces.earliest_start(table.pace, now) <= now
    )


def _start(table, request, now):
    paces.record_start(table.pace, now)
    table.running[request.key] = Run(request, now, table.warmup_factor)


def _expected_run(table, run):
    """Return the seconds for which a run is expected to hold its slot."""
    duration = table.durations.get(run.request.route, table.mean_duration)
    return duration * run.warmup_factor


def _refused(reason, retry_after):
    return calls.Refused(
        calls.Refusal(errors.Outcome.DID_NOT_RUN, reason, retry_after)
    )


def _allowed_time(request, share):
    """Return the seconds that a late request may take from its arrival.

    Args:
        request: A `Request`.
        share: Share of the caller's time, unless that is short.
    """
    timeout = request.deadline - request.arrived_at
    return timeout * (
        SHORT_TIMEOUT_SHARE if timeout <= SHORT_TIMEOUT_S else share
    )


def _admission_limit(table, request):
    """Return until when a new request must be predicted to end."""
    if request.call:
        return _latest_start(table, request) + expected_duration(
            table, request.route
        )
    late = _allowed_time(request, LATE_SHARE)
    on_time = ON_TIME_SHARE * (request.objective_at - request.arrived_at)
    return request.arrived_at + max(on_time, late)


def _latest_start(table, request):
    """Return when a queued request must start, or it is refused.

    A request that missed its objective is queued behind the others of its
    rank; it is refused while its caller still has time to retry.
    """
    expected = expected_duration(table, request.route)
    if request.call:
        return request.deadline - expected * MIN_REMAINING_SHARE
    late = _allowed_time(request, QUEUED_SHARE)
    latest_end = max(request.objective_at, request.arrived_at + late)
    return min(
        latest_end - expected,
        request.deadline - expected * MIN_REMAINING_SHARE,
    )


def _queue_order(table, request, now):
    """Return the sort key.

    Calls go before others. Others are ordered by rank, on time before late,
    then by urgency. Calls are ordered by rank and deadline, also beyond their
    objectives: their parents' work is lost only at the deadline.
    """
    expected = expected_duration(table, request.route)
    if request.call:
        return (False, request.rank, False, request.deadline - expected)
    start_by = request.objective_at - expected
    return (True, request.rank, start_by < now, start_by)


def _predicted_starts(table, now, arrival=None):
    """Return when each queued request is expected to start, by key.

    Args:
        table: A `SlotTable`.
        now: Monotonic seconds.
        arrival: A further `Request` to count as queued.
    """
    slots_free_at = [
        max(
            run.started_at + _expected_run(table, run),
            now + _expected_run(table, run) * OVERRUN_SHARE,
        )
        for run in table.running.values()
    ]
    usable = usable_slots(table)
    slots_free_at.extend([now] * (usable - len(slots_free_at)))
    if len(slots_free_at) > usable:
        # More run than the limit, which has fallen, allows to replace.
        slots_free_at = sorted(slots_free_at)[-usable:]
    heapq.heapify(slots_free_at)
    queue = list(table.waiting.values())
    if arrival is not None:
        queue.append(arrival)
    queue.sort(key=lambda item: _queue_order(table, item, now))
    starts = {}
    pace = dataclasses.replace(table.pace)
    for request in queue:
        start = paces.earliest_start(pace, max(now, slots_free_at[0]))
        paces.record_start(pace, start)
        starts[request.key] = start
        heapq.heapreplace(
            slots_free_at, start + expected_duration(table, request.route)
        )
    return starts


def _retry_after(table, starts, now):
    """Return the seconds after which the queue is expected to be empty."""
    last = max(starts.values(), default=now) - now
    return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, last))


def _record(table, run, now, failed):
    """Add an ended request to the moving averages.

    Durations of failed requests do not count.
    """
    rate = decayed_failure_rate(table.failure_rate, now - table.sampled_at)
    table.failure_rate = rate + EWMA_WEIGHT * (failed - rate)
    table.sampled_at = now
    if failed:
        return
    duration = (now - run.started_at) / run.warmup_factor
    route = run.request.route
    mean = table.durations.get(route, duration)
    table.durations[route] = mean + EWMA_WEIGHT * (duration - mean)
    table.mean_duration += EWMA_WEIGHT * (duration - table.mean_duration)
