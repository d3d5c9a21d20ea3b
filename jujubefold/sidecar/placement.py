"""Placement: which daemon's upstream a request is offered to.

Answers uneven load and uneven upstreams: the least expected time to an
answer wins, worked out from reports that are a little old. Bytes between
failure domains are charged, so a request leaves its own only when it would
be late there.
"""

import dataclasses

from jujubefold.sidecar import slots

# Seconds of expected time that a request may lose to stay nearer.
DISTANCE_S = {'own': 0.0, 'domain': 0.001, 'region': 0.012, 'far': 0.08}
NEAR = frozenset({'own', 'domain'})
# Share of the time to the objective that an answer may be expected to take
# for a request to stay near; the rest covers the spread of durations.
NEAR_SHARE = 0.6
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


def choose(candidates, tried, left, now, rng):
    """Return the `Candidate` with the least expected time, or None.

    Args:
        candidates: Those of the service, in any order.
        tried: VM names that this request was offered to already.
        left: Seconds until an answer is late.
        now: Monotonic seconds.
        rng: A `random.Random`.
    """
    open_ones = [
        candidate
        for candidate in candidates
        if candidate.reachable
        and candidate.load.slots
        and candidate.vm not in tried
    ]
    if not open_ones:
        return None
    near = [item for item in open_ones if item.distance in NEAR]
    if near:
        best = _least(near, now, rng)
        if expected(best, now) <= left * NEAR_SHARE:
            return best
    return _least(open_ones, now, rng)


def expected(candidate, now):
    """Return the seconds that an answer is expected to take.

    Args:
        candidate: A `Candidate`.
        now: Monotonic seconds.
    """
    load = candidate.load
    age = max(0.0, now - candidate.reported_at)
    fresh = max(0.0, 1.0 - age / REPORT_LIFE_S)
    ahead = (load.running + load.waiting) * fresh + candidate.unreported
    excess = max(0.0, ahead + 1 - load.slots) / load.slots
    seconds = load.hold * (1 + excess) / max(0.1, 1 - load.failing)
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


def _least(candidates, now, rng):
    return min(
        candidates, key=lambda item: expected(item, now) * _spread(rng)
    )


def _spread(rng):
    return 1 + SPREAD * rng.random()
