"""Rollout counts: what a gate counts of its upstream's answers in a rollout.

The counts are cumulative, so that lost or repeated reports do no harm. A gate
of the new version also closes itself when it sees many bad answers. Designed
for some hundred answers a second and `rollout.MAX_ROUTES` routes.
"""

import collections
import dataclasses
import enum

from jujubefold import calls
from jujubefold.sidecar import rollout

# A gate of the new version closes itself when this many of its last answers
# are bad, unless the old version's known share of bad ones reaches the limit.
TRIP_BAD = 6
TRIP_WINDOW = 12
TRIP_OLD_BAD_SHARE = 0.2
# Seconds before the caller's deadline from which a 504 counts as the end of
# the caller's time, not as a fault: the upstream counts its own time in whole
# milliseconds from the receipt of the request.
DEADLINE_TOLERANCE_S = 0.05

_SERVER_ERRORS = range(500, 600)
_BAD_REASONS = frozenset(
    {
        calls.Reason.UPSTREAM_CUT,
        calls.Reason.UPSTREAM_GARBLED,
        calls.Reason.UPSTREAM_FAILED,
    }
)


class Verdict(enum.Enum):
    """What an ended request says of its upstream."""

    SOUND = 'sound'
    BAD = 'bad'
    UNCOUNTED = 'uncounted'


@dataclasses.dataclass(slots=True)
class Run:
    """A request that was sent to the upstream.

    Args:
        counts: The `Counts` that it is counted in.
        route: Name of its route.
        warm: Whether the upstream's warm-up had ended.
    """

    counts: 'Counts'
    route: str
    warm: bool


@dataclasses.dataclass(slots=True)
class _Route:
    ended: int = 0
    bad: int = 0
    durations: list = dataclasses.field(
        default_factory=lambda: [0] * rollout.BUCKETS
    )


@dataclasses.dataclass(slots=True)
class Counts:
    """Counts of one gate for one order and version.

    Args:
        order: The `rollout.OrderId`.
        is_new: Whether they are of the version that was ordered.
        started: Requests sent to the upstream.
        ended: Requests that ended there.
        bad: Bad answers.
        tripped: Whether the gate closed itself.
        recent: Whether each of the last answers was bad.
        routes: Counts by route name.
    """

    order: rollout.OrderId
    is_new: bool
    started: int = 0
    ended: int = 0
    bad: int = 0
    tripped: bool = False
    recent: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=TRIP_WINDOW)
    )
    routes: dict[str, _Route] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class GateStatus:
    """What a report says of the gate beside its counts.

    Args:
        service: Name of the service.
        vm: VM of the gate.
        incarnation: Start of its daemon.
        slots: Slots that its upstream offers now.
        closed: Whether the rollout closes the gate.
        warm: Whether the upstream's warm-up has ended.
        running: Requests that run there now.
    """

    service: str
    vm: str
    incarnation: int
    slots: int
    closed: bool
    warm: bool
    running: int = 0


def start(counts, route, warm):
    """Count a request that is being sent to the upstream.

    Args:
        counts: The `Counts`.
        route: Name of its route.
        warm: Whether the upstream's warm-up has ended.

    Returns:
        The `Run` for `end`.
    """
    counts.started += 1
    return Run(counts, route, warm)


def end(run, verdict, seconds, old_bad_share):
    """Count how a request ended.

    Args:
        run: The `Run`.
        verdict: The `Verdict`.
        seconds: Seconds between sending and the end.
        old_bad_share: Share of bad answers of the old version.

    Returns:
        Whether the gate closes itself because of it.
    """
    counts = run.counts
    counts.ended += 1
    if verdict is Verdict.UNCOUNTED:
        return False
    is_bad = verdict is Verdict.BAD
    counts.bad += is_bad
    counts.recent.append(is_bad)
    _count_on_route(run, is_bad, seconds)
    if (
        counts.tripped
        or not counts.is_new
        or old_bad_share >= TRIP_OLD_BAD_SHARE
        or sum(counts.recent) < TRIP_BAD
    ):
        return False
    counts.tripped = True
    return True


def _count_on_route(run, is_bad, seconds):
    routes = run.counts.routes
    route = routes.get(run.route)
    if route is None:
        if len(routes) >= rollout.MAX_ROUTES:
            return
        route = routes[run.route] = _Route()
    route.ended += 1
    route.bad += is_bad
    if run.warm:
        route.durations[rollout.bucket(seconds)] += 1


def verdict_of(outcome, is_sealed, status, time_left):
    """Return the `Verdict` on an upstream by how a request ended.

    Args:
        outcome: The `attempt.Outcome`; None if it was cancelled.
        is_sealed: Whether the answer has the upstream's seal.
        status: HTTP status of the answer; 0 without one.
        time_left: Seconds until the caller's deadline.
    """
    if outcome is None:
        # Callers that wait until their deadline leave then. Their requests
        # count as slow by their duration; otherwise a version that hangs
        # would show no answers at all.
        at_deadline = time_left <= DEADLINE_TOLERANCE_S
        return Verdict.SOUND if at_deadline else Verdict.UNCOUNTED
    if not outcome.sent:
        return Verdict.UNCOUNTED
    refusal = outcome.refusal
    if refusal is not None and refusal.reason in _BAD_REASONS:
        return Verdict.BAD
    if refusal is not None:
        # Silence until the caller's deadline counts by its duration.
        silent = refusal.reason is calls.Reason.UPSTREAM_SILENT
        return Verdict.SOUND if silent else Verdict.UNCOUNTED
    if status == 504 and time_left <= DEADLINE_TOLERANCE_S:
        return Verdict.SOUND
    if is_sealed and status in _SERVER_ERRORS:
        return Verdict.BAD
    return Verdict.SOUND


def report(counts, status):
    """Return the `rollout.GateReport` of a gate.

    Args:
        counts: Its `Counts`.
        status: Its `GateStatus`.
    """
    return rollout.GateReport(
        counts.order,
        status.service,
        status.vm,
        status.incarnation,
        counts.is_new,
        status.slots,
        counts.started,
        counts.ended,
        counts.bad,
        status.running,
        status.closed,
        counts.tripped,
        status.warm,
        tuple(
            rollout.RouteCounts(
                name, item.ended, item.bad, tuple(item.durations)
            )
            for name, item in counts.routes.items()
        ),
    )
