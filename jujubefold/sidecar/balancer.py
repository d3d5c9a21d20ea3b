"""Placement: which daemon's upstream a request is offered to.

Answers uneven load and uneven upstreams: the least expected time to an
answer wins, worked out from reports that are a little old. Bytes between
failure domains are charged, so a request leaves its own only when it would
be late there and finds room elsewhere: under load everywhere, leaving only
takes the place of others.
"""

import dataclasses

from jujubefold.sidecar import limiter

# Seconds of expected time that a request may lose to stay nearer.
DISTANCE_COST_S = {'own': 0.0, 'domain': 0.001, 'region': 0.012, 'far': 0.08}
SAME_DOMAIN = frozenset({'own', 'domain'})
# Share of the time to the objective that an answer may be expected to take
# to count as on time; the rest covers the spread of durations.
ON_TIME_SHARE = 0.8
# Least share of successes that is reckoned with.
LEAST_SUCCESS = 0.1
# Seconds after which a report says nothing about the queue any more.
REPORT_MAX_AGE_S = 1.0
# Seconds for which an upstream that was found gone is tried last.
PENALTY_DURATION_S = 0.5
# Seconds added to the expected time of an upstream that is tried last.
PENALTY_S = 10.0
# Share of random spread, so that daemons with equal reports don't all
# choose the same upstream.
SPREAD = 0.1


@dataclasses.dataclass(slots=True, eq=False)
class Candidate:
    """An upstream as one daemon sees it.

    Args:
        vm: Name of its VM.
        service: Service that it runs.
        distance: A key of `DISTANCE_COST_S`.
        load: Its gate's last `limiter.Load`.
        reported_at: Monotonic seconds of that report.
        offers_since_report: Requests offered to it since.
        penalized_until: Monotonic seconds until which it is tried last.
        reachable: Whether its daemon can be offered anything now.
    """

    vm: str
    service: str
    distance: str
    load: limiter.Load = limiter.Load()
    reported_at: float = 0.0
    offers_since_report: int = 0
    penalized_until: float = 0.0
    reachable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Criteria:
    """What a request needs of an upstream.

    Args:
        left: Seconds until an answer is late; negative if it is.
        lasts: Seconds that the upstream needs, without waiting.
        tried: VM names whose gates refused it for good.
        full: VM names whose gates had no free slot for it.
    """

    left: float
    lasts: float
    tried: frozenset = frozenset()
    full: frozenset = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """Where to offer a request.

    Args:
        candidate: A `Candidate`.
        may_queue: Whether it may wait there; else only a free slot will do.
    """

    candidate: Candidate
    may_queue: bool


def choose(candidates, criteria, now, rng):
    """Return the `Choice` for a request, or None.

    A free slot near by goes first, then waiting near by while that is on
    time, then a free slot elsewhere, then waiting near by all the same.

    Args:
        candidates: Those of the service, in any order.
        criteria: A `Criteria`.
        now: Monotonic seconds.
        rng: A `random.Random`.
    """
    possible = [
        candidate
        for candidate in candidates
        if candidate.reachable and candidate.load.slots
    ]
    near = [item for item in possible if item.distance in SAME_DOMAIN]
    far = [item for item in possible if item.distance not in SAME_DOMAIN]
    free = _least(_free(near, criteria, now), criteria, now, rng)
    if free is not None and _is_on_time(free, criteria, now):
        return Choice(free, False)
    waiting = [item for item in near or far if item.vm not in criteria.tried]
    best = _least(waiting, criteria, now, rng)
    if near and best is not None and _is_on_time(best, criteria, now):
        return Choice(best, True)
    elsewhere = _least(_free(far, criteria, now), criteria, now, rng)
    if elsewhere is not None and _is_on_time(elsewhere, criteria, now):
        return Choice(elsewhere, False)
    if free is not None:
        return Choice(free, False)
    return None if best is None else Choice(best, True)


def expected_latency(candidate, criteria, now):
    """Return the seconds that an answer is expected to take.

    Args:
        candidate: A `Candidate`.
        criteria: A `Criteria`.
        now: Monotonic seconds.
    """
    load = candidate.load
    excess = max(0.0, _ahead(candidate, now) + 1 - load.slots) / load.slots
    seconds = load.mean_duration * excess + criteria.lasts
    seconds /= max(LEAST_SUCCESS, 1 - load.failure_rate)
    if now < candidate.penalized_until:
        seconds += PENALTY_S
    return seconds + DISTANCE_COST_S[candidate.distance]


def update_load(candidate, load, now):
    """Take a gate's own word on its load.

    Args:
        candidate: A `Candidate`, changed here.
        load: A `limiter.Load`.
        now: Monotonic seconds.
    """
    candidate.load = load
    candidate.reported_at = now
    candidate.offers_since_report = 0


def penalize(candidate, now):
    """Try an upstream last for a moment, because it was found gone."""
    candidate.penalized_until = now + PENALTY_DURATION_S


def _ahead(candidate, now):
    """Return how many requests are expected to hold or want a slot."""
    load = candidate.load
    age = max(0.0, now - candidate.reported_at)
    fresh = max(0.0, 1.0 - age / REPORT_MAX_AGE_S)
    return (
        load.running + load.waiting
    ) * fresh + candidate.offers_since_report


def _free(candidates, criteria, now):
    """Return those that are believed to have a free slot."""
    return [
        item
        for item in candidates
        if item.vm not in criteria.full
        and item.vm not in criteria.tried
        and _ahead(item, now) + 1 <= item.load.slots
    ]


def _is_on_time(candidate, criteria, now):
    return (
        expected_latency(candidate, criteria, now)
        <= criteria.left * ON_TIME_SHARE
    )


def _least(candidates, criteria, now, rng):
    return min(
        candidates,
        key=lambda item: expected_latency(item, criteria, now) * _spread(rng),
        default=None,
    )


def _spread(rng):
    return 1 + SPREAD * rng.random()
