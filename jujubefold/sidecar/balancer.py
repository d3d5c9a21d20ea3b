"""Balancer: selects the upstream that a request is offered to.

The upstream with the least expected latency is chosen, estimated from load
reports that are slightly out of date. Traffic between failure domains is
charged, so a request leaves its own only where that saves more time than the
distance costs, and only for an upstream that would answer on time. When all
upstreams are loaded, moving it would only displace other requests.
"""

import dataclasses

from jujubefold.sidecar import limiter
from jujubefold.sidecar import rolloutstates
from jujubefold.sidecar import transfer

# Seconds added to the expected latency, by distance: what a request may lose
# by staying nearer.
DISTANCE_COST_S = {'own': 0.0, 'domain': 0.001, 'region': 0.03, 'far': 0.08}
# Distances within the failure domain of this daemon.
SAME_DOMAIN = frozenset({'own', 'domain'})
# An answer counts as on time if it is expected within this share of the time
# to the objective; the rest allows for the variance of durations.
ON_TIME_SHARE = 0.8
# Failure rate up to which an upstream counts as sound; a single failure among
# successes is a tenth.
SOUND_FAILURE_RATE = 0.15
# Lower bound of the success rate in the estimate of latency.
MIN_SUCCESS_RATE = 0.1
# Seconds after which a load report no longer indicates the queue length.
REPORT_MAX_AGE_S = 1.0
# Seconds for which an upstream found unavailable is penalized.
PENALTY_DURATION_S = 0.5
# Seconds added to the expected latency of a penalized upstream, so that it
# is chosen last.
PENALTY_S = 10.0
# Weight of the newest answer in the mean slowness of an upstream: about the
# last 30 determine it. Durations of one route vary by as much as their mean.
SLOWNESS_WEIGHT = 0.03
# Multiple of the mean duration that one answer counts at most.
MAX_SLOWNESS = 5.0
# Seconds without an answer after which a difference in speed counts half. A
# slow upstream that is avoided shows only by new requests that it is sound.
SLOWNESS_HALF_LIFE_S = 5.0
# Random share added to the expected latency, so that daemons with equal
# reports don't all choose the same upstream.
JITTER = 0.1


@dataclasses.dataclass(slots=True, eq=False)
class Candidate:
    """An upstream that requests may be offered to.

    Args:
        vm: Name of its VM.
        service: Service that it runs.
        distance: A key of `DISTANCE_COST_S`.
        load: The `limiter.Load` that its gate reported last.
        reported_at: Monotonic seconds at which the report came.
        offers_since_report: Requests offered to it since then.
        penalized_until: Monotonic seconds until which it is chosen last.
        reachable: Whether its daemon can be sent offers now.
        capacity: Megabits a second between this daemon and it; 0 if unknown
            or on the same VM.
        slowness: Mean of the time that it took for an answer, as a multiple
            of the mean of all upstreams for that route.
        answered_at: Monotonic seconds of the last answer that counts in it.
        announced_full: Whether its gate announced that no slot is free, and
            none has been reported free since.
    """

    vm: str
    service: str
    distance: str
    load: limiter.Load = limiter.Load()
    reported_at: float = 0.0
    offers_since_report: int = 0
    penalized_until: float = 0.0
    reachable: bool = False
    capacity: float = 0.0
    slowness: float = 1.0
    answered_at: float = 0.0
    announced_full: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Criteria:
    """What determines the choice of an upstream for a request.

    Args:
        time_left: Seconds until an answer is late; negative if it is.
        duration: Mean seconds that upstreams need, without queueing.
        excluded: Names of VMs that must not be offered the request again.
        full: Names of VMs whose gates had no free slot for it; it may still
            queue there.
        body_size: Bytes that are transferred to it.
        preference: The `rolloutstates.Preference` for a version of the
            service; None without rollouts.
        call_time_left: Seconds until the deadline of a call that a running
            request made; None for other requests.
    """

    time_left: float
    duration: float
    excluded: frozenset = frozenset()
    full: frozenset = frozenset()
    body_size: int = 0
    preference: rolloutstates.Preference | None = None
    call_time_left: float | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Where to offer a request.

    Args:
        candidate: The `Candidate` chosen.
        may_queue: Whether the request may wait there if no slot is free.
    """

    candidate: Candidate
    may_queue: bool


def choose(candidates, criteria, now, rng):
    """Return the `Choice` for a request, or None without a candidate.

    A free slot in the own failure domain is taken if it is on time. Else all
    slots and queues of the service compete, so that failure domains with
    more callers than upstreams use the room of the others. If none is on
    time, the request stays in the own failure domain: elsewhere it would
    only delay others. The call of a running request may leave it as long as
    the call can end before its deadline.

    Answers a load of up to the capacity of all upstreams of a service that is
    spread unevenly over its failure domains.

    Args:
        candidates: Each `Candidate` of the service, in any order.
        criteria: A `Criteria`.
        now: Monotonic seconds.
        rng: A `random.Random`.
    """
    available = [
        candidate
        for candidate in candidates
        if candidate.reachable and candidate.load.slots
    ]
    if criteria.preference is not None:
        available = _on_track(available, criteria, now)
    near_free = _fastest(
        _with_free_slot(_near(available), criteria, now), criteria, now, rng
    )
    if near_free is not None and _is_on_time(near_free, criteria, now):
        return Choice(near_free, False)
    usable = [item for item in available if item.vm not in criteria.excluded]
    best = _fastest(usable, criteria, now, rng)
    if (
        best is not None
        and _near(available)
        and not _is_worth_leaving_for(best, criteria, now)
    ):
        best = near_free or _fastest(_near(usable), criteria, now, rng)
    if best is None:
        return None
    return Choice(best, not _with_free_slot([best], criteria, now))


def expected_latency(candidate, criteria, now):
    """Return the seconds until an answer is expected, plus any penalties.

    Args:
        candidate: A `Candidate`.
        criteria: A `Criteria`.
        now: Monotonic seconds.
    """
    load = candidate.load
    is_call = criteria.call_time_left is not None
    seconds = expected_wait(candidate, now, is_call)
    seconds += criteria.duration * expected_slowness(candidate, now)
    if load.failure_rate:
        failure_rate = limiter.decayed_failure_rate(
            load.failure_rate, now - candidate.reported_at
        )
        seconds /= max(MIN_SUCCESS_RATE, 1 - failure_rate)
        # A failure mostly loses the request. An upstream that fails fast
        # would otherwise look like the least loaded one.
        excess = max(0.0, failure_rate - SOUND_FAILURE_RATE)
        seconds += excess * max(criteria.time_left, criteria.duration)
    if now < candidate.penalized_until:
        seconds += PENALTY_S
    if criteria.body_size > transfer.INLINE_BYTES:
        seconds += load.fetch_backlog
        seconds += transfer.seconds(criteria.body_size, candidate.capacity)
    return seconds + DISTANCE_COST_S[candidate.distance]


def expected_wait(candidate, now, call=False):
    """Return the seconds for which a request is expected to wait for a slot.

    Args:
        candidate: A `Candidate` with slots.
        now: Monotonic seconds.
        call: Whether a running request made it, so that it waits behind other
            such calls only.
    """
    load = candidate.load
    excess = _occupancy(candidate, now, call) + 1 - load.slots
    if excess <= 0.0:
        return 0.0
    return load.mean_duration * excess / load.slots


def expected_slowness(candidate, now):
    """Return the expected duration as a multiple of the mean of the service.

    Args:
        candidate: A `Candidate`.
        now: Monotonic seconds.
    """
    if candidate.slowness == 1.0:
        return 1.0
    age = max(0.0, now - candidate.answered_at)
    weight = 0.5 ** (age / SLOWNESS_HALF_LIFE_S)
    return 1.0 + (candidate.slowness - 1.0) * weight


def record_duration(candidate, seconds, mean, now):
    """Learn an upstream's speed from the time that it took for an answer.

    Args:
        candidate: The `Candidate` that answered.
        seconds: Seconds that it took, without queueing.
        mean: Mean seconds of all upstreams for that route; above 0.
        now: Monotonic seconds.
    """
    before = expected_slowness(candidate, now)
    sample = min(MAX_SLOWNESS, seconds / mean)
    candidate.slowness = before + SLOWNESS_WEIGHT * (sample - before)
    candidate.answered_at = now


def update_load(candidate, load, now):
    """Store a load report of a candidate's gate.

    Args:
        candidate: The `Candidate` to change.
        load: The `limiter.Load` reported.
        now: Monotonic seconds.
    """
    candidate.load = load
    candidate.reported_at = now
    candidate.offers_since_report = 0
    if has_room(load):
        candidate.announced_full = False


def introduce_load(candidate, load, now):
    """Store the load report with which a gate's link opens.

    What the gate announced on an earlier link no longer counts: this daemon
    may have missed that it has room.

    Args:
        candidate: The `Candidate` to change.
        load: The `limiter.Load` reported.
        now: Monotonic seconds.
    """
    update_load(candidate, load, now)
    candidate.announced_full = False


def announce_load(candidate, load, now):
    """Store a load report that a gate sent because it filled or freed.

    Gates announce both to their own failure domain. Until it announces room,
    such a gate stays full, however old its report is: daemons that send few
    requests would offer each of them to the full gates nearby first.

    Args:
        candidate: The `Candidate` to change.
        load: The `limiter.Load` announced.
        now: Monotonic seconds.
    """
    update_load(candidate, load, now)
    candidate.announced_full = (
        candidate.distance in SAME_DOMAIN and not has_room(load)
    )


def has_room(load):
    """Return whether a `limiter.Load` has a free slot."""
    return load.running < load.slots


def penalize(candidate, now):
    """Choose an upstream last for a while, because it was unavailable.

    Args:
        candidate: The `Candidate` to change.
        now: Monotonic seconds.
    """
    candidate.penalized_until = now + PENALTY_DURATION_S


def _occupancy(candidate, now, call=False):
    """Return how many requests are expected to hold or wait for a slot.

    The reported ones count less the older the report is, but for those that
    fill a gate which announces when it has room again. For a call, only other
    calls count as waiting.
    """
    load = candidate.load
    reported = 0.0
    age = now - candidate.reported_at
    if age < REPORT_MAX_AGE_S:
        waiting = load.waiting_calls if call else load.waiting
        weight = 1.0 - age / REPORT_MAX_AGE_S if age > 0.0 else 1.0
        reported = (load.running + waiting) * weight
    if candidate.announced_full:
        reported = max(reported, load.slots)
    return reported + candidate.offers_since_report


def _on_track(candidates, criteria, now):
    """Return the candidates of the version that a request may go to."""
    preference = criteria.preference
    preferred = [
        item for item in candidates if item.load.track == preference.track
    ]
    match preference.fallback:
        case rolloutstates.Fallback.NO_ROOM:
            usable = _with_free_slot(preferred, criteria, now)
        case rolloutstates.Fallback.NONE_OPEN:
            usable = preferred
        case _:
            return preferred
    if usable:
        return preferred
    return [item for item in candidates if item.load.track != preference.track]


def _with_free_slot(candidates, criteria, now):
    """Return the candidates that are expected to have a free slot."""
    return [
        item
        for item in candidates
        if item.vm not in criteria.full
        and item.vm not in criteria.excluded
        and _occupancy(item, now) + 1 <= item.load.slots
    ]


def _is_on_time(candidate, criteria, now):
    return (
        expected_latency(candidate, criteria, now)
        <= criteria.time_left * ON_TIME_SHARE
    )


def _is_worth_leaving_for(candidate, criteria, now):
    """Return whether a request may leave its failure domain for a candidate.

    A call has until its deadline: its parent's work is lost only then.
    """
    if _is_on_time(candidate, criteria, now):
        return True
    return (
        criteria.call_time_left is not None
        and expected_latency(candidate, criteria, now)
        <= criteria.call_time_left * ON_TIME_SHARE
    )


def _near(candidates):
    """Return the candidates of the own failure domain."""
    return [item for item in candidates if item.distance in SAME_DOMAIN]


def _fastest(candidates, criteria, now, rng):
    return min(
        candidates,
        key=lambda item: expected_latency(item, criteria, now) * _jitter(rng),
        default=None,
    )


def _jitter(rng):
    return 1 + JITTER * rng.random()
