"""Capacity: learns how many requests an upstream handles well at once.

The limit is tried one step higher or lower for a few windows, while requests
wait for slots, and stays there if the upstream then does as much work or more.
Work is compared between adjacent windows only, so an upstream that is slow
from the start, or becomes slower at any concurrency, keeps its limit.

Designed for one upstream with up to 64 slots and 5 to 500 runs a second.
"""

import collections
import dataclasses
import statistics

# Seconds and runs of a window at least. Slowdowns of 0.6 s must not decide
# alone; the mean of 20 durations that vary by 0.4 is off by 9%.
WINDOW_S = 1.0
MIN_SAMPLES = 20
# Windows at the settled limit that a trial is compared with, at most and at
# least, and of a trial at least and at most. A trial goes on as long as its
# result is within `UNDECIDED` of the share that decides.
COMPARED_WINDOWS = 6
MIN_BASE_WINDOWS = 4
MIN_TRIAL_WINDOWS = 2
MAX_TRIAL_WINDOWS = 8
UNDECIDED = 0.05
# Distance below that share at which a trial ends after its first window.
CLEAR_LOSS = 0.12
# Part of the worst windows that does not count: they were disturbed.
DISTURBED_SHARE = 1 / 3
# A sound upstream does 1/n more work at n + 1 requests than at n. The higher
# limit is kept if it does at least this part of that.
WORTHWHILE_SHARE = 0.35
# Windows until a failed trial is repeated; doubled each time up to the last.
# A trial of a lower limit costs work, so it becomes rare.
FIRST_PAUSE = 6
MAX_PAUSE = {-1: 96, 1: 12}
# Mean running requests may be this far below the limit in a window that counts
# as one of full use.
FULL_USE_MARGIN = 0.5
# Slots for each unit of a step.
SLOTS_PER_STEP = 8
# Least weight of a run in the mean own time of its route, by which routes are
# made comparable.
REFERENCE_WEIGHT = 0.002
# Weight of a run in the mean slowdown of all routes. References follow own
# times divided by it, so that a change of speed leaves them as they are.
SLOWDOWN_WEIGHT = 0.05
# Runs of a route that determine its first reference. They take part in no
# comparison: while the reference moves, work seems to.
REFERENCE_RUNS = 24
MAX_ROUTES = 32


@dataclasses.dataclass(slots=True)
class Window:
    """Runs that ended in one span of time.

    Args:
        began_at: Monotonic seconds.
        samples: Number of runs.
        own_seconds: Sum of their own seconds.
        reference_seconds: Sum of the mean own seconds of their routes.
        running: Sum of the requests that ran when each one ended.
    """

    began_at: float
    samples: int = 0
    own_seconds: float = 0.0
    reference_seconds: float = 0.0
    running: int = 0


@dataclasses.dataclass(slots=True)
class CapacityTable:
    """What is known of one upstream.

    Args:
        slots: Slots that the upstream names.
        settled: Limit that was found best.
        trial: 1 or -1 while a higher or lower limit is tried, else 0.
        window: The present `Window`, or None before the first run.
        works: Work in the last windows at the settled limit.
        trial_works: Work in the windows of the trial.
        pauses: Windows until the next trial in a direction.
        next_pauses: Pause after the next failed trial in a direction.
        references: Mean own seconds at slowdown 1, and runs, by route.
        slowdown: Mean of own seconds by reference, of all routes.
        ignored: Runs that started at another limit and do not count.
    """

    slots: int
    settled: int
    trial: int = 0
    window: Window | None = None
    works: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=COMPARED_WINDOWS)
    )
    trial_works: list = dataclasses.field(default_factory=list)
    pauses: dict = dataclasses.field(default_factory=lambda: {-1: 0, 1: 0})
    next_pauses: dict = dataclasses.field(
        default_factory=lambda: {-1: FIRST_PAUSE, 1: FIRST_PAUSE}
    )
    references: dict = dataclasses.field(default_factory=dict)
    slowdown: float = 1.0
    ignored: int = 0


def new_table(slots):
    """Return the `CapacityTable` of an upstream that has just started.

    Args:
        slots: Slots that it names; at least 1.
    """
    return CapacityTable(slots, slots)


def set_slots(table, slots):
    """Apply another number of slots that the same upstream names.

    Args:
        table: A `CapacityTable`.
        slots: Slots; at least 1.
    """
    if slots != table.slots:
        grown = table.settled == table.slots
        table.slots = slots
        _settle(table, slots if grown else min(slots, table.settled))


def limit(table):
    """Return how many requests may run at once now; at least 1.

    Args:
        table: A `CapacityTable`.
    """
    step = max(1, table.slots // SLOTS_PER_STEP)
    return max(1, min(table.slots, table.settled + table.trial * step))


def record(table, route, own_seconds, running, now):
    """Learn from a run that ended with an answer after the warm-up.

    Args:
        table: A `CapacityTable`.
        route: Its route name.
        own_seconds: Seconds that it took, without those for which it waited
            for its calls.
        running: Requests that ran when it ended, itself included.
        now: Monotonic seconds.

    Returns:
        Whether `limit` has changed.
    """
    reference = _reference(table, route, own_seconds)
    if reference is None:
        return False
    if table.ignored:
        table.ignored -= 1
        return False
    window = table.window
    if window is None:
        window = table.window = Window(now)
    window.samples += 1
    window.own_seconds += own_seconds
    window.reference_seconds += reference
    window.running += running
    if window.samples < MIN_SAMPLES or now - window.began_at < WINDOW_S:
        return False
    table.window = Window(now)
    before = limit(table)
    _end_window(table, window, before)
    changed = limit(table) != before
    if changed:
        # Their durations are partly those at the limit before.
        table.ignored = before
        table.window = None
    return changed


def _reference(table, route, own_seconds):
    """Return the mean own seconds of a route; None while it is unknown."""
    sample = own_seconds / table.slowdown
    mean, count = table.references.get(route, (sample, 0))
    count += 1
    weight = REFERENCE_WEIGHT if count > REFERENCE_RUNS else 1 / count
    mean = max(1e-6, mean + weight * (sample - mean))
    if route in table.references or len(table.references) < MAX_ROUTES:
        table.references[route] = mean, count
    if count <= REFERENCE_RUNS:
        return None
    slowdown = own_seconds / mean
    table.slowdown += SLOWDOWN_WEIGHT * (slowdown - table.slowdown)
    table.slowdown = max(1e-6, table.slowdown)
    return mean


def _end_window(table, window, present):
    running = window.running / window.samples
    if running < present - FULL_USE_MARGIN:
        # Nothing waits for this limit, so nothing can be learned of it.
        if table.trial:
            table.trial = 0
            table.trial_works.clear()
        return
    # Little's law: runs that end in a second are those that run, divided by
    # the seconds that each one takes.
    slowdown = window.own_seconds / window.reference_seconds
    work = running / max(1e-6, slowdown)
    if table.trial:
        _judge(table, work)
        return
    table.works.append(work)
    for direction in table.pauses:
        table.pauses[direction] -= 1
    if len(table.works) >= MIN_BASE_WINDOWS:
        _start_trial(table)


def _start_trial(table):
    """Try another limit if one is due; a higher one first."""
    for direction, possible in (
        (1, table.settled < table.slots),
        (-1, table.settled > 1),
    ):
        if possible and table.pauses[direction] <= 0:
            table.trial = direction
            table.trial_works.clear()
            return


def _judge(table, work):
    """Add a window to the trial, and end the trial if it is decided."""
    works, direction = table.trial_works, table.trial
    works.append(work)
    lower, higher = sorted((table.settled, limit(table)))
    keep = 1 + WORTHWHILE_SHARE * (higher - lower) / lower
    if direction < 0:
        keep = 1 / keep
    share = _typical(works) / _typical(table.works)
    if share < keep - CLEAR_LOSS:
        _reject(table)
        return
    if len(works) < MIN_TRIAL_WINDOWS or (
        abs(share - keep) < UNDECIDED
        and len(works) < MAX_TRIAL_WINDOWS
        or keep <= share
        and len(works) <= MIN_TRIAL_WINDOWS
    ):
        return
    if share < keep:
        _reject(table)
        return
    _settle(table, limit(table))
    table.works.extend(works)
    # Go on in this direction at once; the limit before is known.
    table.pauses[direction] = 0
    table.next_pauses[direction] = FIRST_PAUSE
    table.pauses[-direction] = table.next_pauses[-direction]
    _start_trial(table)


def _typical(works):
    """Return the mean of the windows that were not disturbed."""
    kept = sorted(works)[int(len(works) * DISTURBED_SHARE) :]
    return statistics.mean(kept)


def _reject(table):
    direction = table.trial
    table.trial = 0
    table.trial_works.clear()
    pause = table.next_pauses[direction]
    table.pauses[direction] = pause
    table.next_pauses[direction] = min(MAX_PAUSE[direction], 2 * pause)


def _settle(table, settled):
    table.settled, table.trial, table.window = settled, 0, None
    table.works.clear()
    table.trial_works = []
