"""Placement: which daemon's upstream a request is offered to.

Answers uneven load and uneven upstreams: the least expected time to an
answer wins, worked out from reports that are a little old. Bytes between
failure domains are charged, so a request leaves its own only when it would
be late there and finds room elsewhere: under load everywhere, leaving only
takes the place of others.
"""

import dataclasses

from jujubefold.sidecar import slots

# Seconds of expected time that a request may lose to stay nearer.
DISTANCE_S = {'own': 0.0, 'domain': 0.001, 'region': 0.012, 'far': 0.08}
NEAR = frozenset({'own', 'domain'})
# Share of the time to the objective that an answer may be expected to take
# to count as on time; the rest covers the spread of durations.
ON_TIME_SHARE = 0.8
# Least share of successes that is reckoned with.
LEAST_SUCCESS = 0.1
# Seconds after which a report says nothing about the queue any more.
REPORT_LIFE_S = 1.0
# Seconds for which an upstream that was found gone is tried last.
AVOID_S = 0.5
# Seconds added to the expected time of an upstream that is tried last.
AVOIDED_S = 10.0
# Share of random spread, so that daemons with equal reports don't all
# choose the same upstream.
SPREAD = 0.1


@dataclasses.dataclass(slots=True, eq=False)
class Candidate:
    """An upstream as one daemon sees it.

    Args:
        vm: Name of its VM.
        service: Service that it runs.
        distance: A key of `DISTANCE_S`.
        load: Its gate's last `slots.Load`.
        reported_at: Monotonic seconds of that report.
        unreported: Requests offered to it since.
        avoid_until: Monotonic seconds until which it is tried last.
        reachable: Whether its daemon can be offered anything now.
    """

    vm: str
    service: str
    distance: str
    load: slots.Load = slots.Load()
    reported_at: float = 0.0
    unreported: int = 0
    avoid_until: float = 0.0
    reachable: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Wish:
    """What a request needs of an upstream.

    Args:
        left: Seconds until an answer is late; negative if it is.
        lasts: Seconds that the upstream needs, without waiting.
        tried: VM names that it was offered to already.
    """

    left: float
    lasts: float
    tried: frozenset = frozenset()


def choose(candidates, wish, now, rng):
    """Return the `Candidate` to offer a request to, or None.

    Args:
        candidates: Those of the service, in any order.
        wish: A `Wish`.
        now: Monotonic seconds.
        rng: A `random.Random`.
    """
    possible = [
        candidate
        for candidate in candidates
        if candidate.reachable and candidate.load.slots
    ]
    near = [item for item in possible if item.distance in NEAR]
    far = [
        item
        for item in possible
        if item.distance not in NEAR and item.vm not in wish.tried
    ]
    untried = [item for item in near if item.vm not in wish.tried]
    best = _least(untried, wish, now, rng)
    if best is not None and _is_on_time(best, wish, now):
        return best
    if near:
        far = [item for item in far if _has_room(item, now)]
        elsewhere = _least(far, wish, now, rng)
        if elsewhere is not None and _is_on_time(elsewhere, wish, now):
            return elsewhere
        if best is not None:
            return best
        # All near ones refused it, so being late is no reason to stay.
        return elsewhere
    return _least(far, wish, now, rng)


def expected(candidate, wish, now):
    """Return the seconds that an answer is expected to take.

    Args:
        candidate: A `Candidate`.
        wish: A `Wish`.
        now: Monotonic seconds.
    """
    load = candidate.load
    excess = max(0.0, _ahead(candidate, now) + 1 - load.slots) / load.slots
    seconds = load.hold * excess + wish.lasts
    seconds /= max(LEAST_SUCCESS, 1 - load.failing)
    if now < candidate.avoid_until:
        seconds += AVOIDED_S
    return seconds + DISTANCE_S[candidate.distance]


def report(candidate, load, now):
    """Take a gate's own word on its load.

    Args:
        candidate: A `Candidate`, changed here.
        load: A `slots.Load`.
        now: Monotonic seconds.
    """
    candidate.load = load
    candidate.reported_at = now
    candidate.unreported = 0


def avoid(candidate, now):
    """Try an upstream last for a moment, because it was found gone."""
    candidate.avoid_until = now + AVOID_S


def _ahead(candidate, now):
    """Return how many requests are expected to hold or want a slot."""
    load = candidate.load
    age = max(0.0, now - candidate.reported_at)
    fresh = max(0.0, 1.0 - age / REPORT_LIFE_S)
    return (load.running + load.waiting) * fresh + candidate.unreported


def _has_room(candidate, now):
    return _ahead(candidate, now) + 1 <= candidate.load.slots


def _is_on_time(candidate, wish, now):
    return expected(candidate, wish, now) <= wish.left * ON_TIME_SHARE


def _least(candidates, wish, now, rng):
    return min(
        candidates,
        key=lambda item: expected(item, wish, now) * _spread(rng),
        default=None,
    )


def _spread(rng):
    return 1 + SPREAD * rng.random()
