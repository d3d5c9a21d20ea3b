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
        waits: Whether it may wait there; else only a free slot will do.
    """

    candidate: Candidate
    waits: bool


def choose(candidates, wish, now, rng):
    """Return the `Choice` for a request, or None.

    A free slot near by goes first, then waiting near by while that is on
    time, then a free slot elsewhere, then waiting near by all the same.

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
    far = [item for item in possible if item.distance not in NEAR]
    free = _least(_free(near, wish, now), wish, now, rng)
    if free is not None and _is_on_time(free, wish, now):
        return Choice(free, False)
    waiting = [item for item in near or far if item.vm not in wish.tried]
    best = _least(waiting, wish, now, rng)
    if near and best is not None and _is_on_time(best, wish, now):
        return Choice(best, True)
    elsewhere = _least(_free(far, wish, now), wish, now, rng)
    if elsewhere is not None and _is_on_time(elsewhere, wish, now):
        return Choice(elsewhere, False)
    if free is not None:
        return Choice(free, False)
    return None if best is None else Choice(best, True)


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


def _free(candidates, wish, now):
    """Return those that are believed to have a free slot."""
    return [
        item
        for item in candidates
        if item.vm not in wish.full
        and item.vm not in wish.tried
        and _ahead(item, now) + 1 <= item.load.slots
    ]


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
