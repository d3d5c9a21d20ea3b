"""Fairness: recent use of an upstream by each caller."""

import dataclasses

# Half-life of the weight of a past start.
HALF_LIFE_S = 1.0
MAX_CALLERS = 2048


@dataclasses.dataclass(slots=True)
class CallerUsage:
    """Use of the upstream by one caller.

    Args:
        held: Number of attempts that run or wait.
        started: Recent starts, weighted by exponential decay.
        decayed_at: Monotonic seconds at which `started` was last decayed.
    """

    held: int = 0
    started: float = 0.0
    decayed_at: float = 0.0


@dataclasses.dataclass(slots=True)
class FairnessTable:
    """Usage of recent callers.

    Args:
        callers: Usage by name of the caller.
    """

    callers: dict[str, CallerUsage] = dataclasses.field(default_factory=dict)


def hold(table, caller):
    """Count an attempt that is admitted or queued.

    Args:
        table: A `FairnessTable`.
        caller: Name of the caller.
    """
    entry = table.callers.get(caller)
    if entry is None:
        _drop_idle_if_full(table)
        entry = table.callers[caller] = CallerUsage()
    entry.held += 1


def release(table, caller):
    """Stop counting an attempt that no longer runs or waits."""
    table.callers[caller].held -= 1


def start(table, caller, now):
    """Count the start of an attempt that its caller holds already.

    Args:
        table: A `FairnessTable`.
        caller: Name of the caller.
        now: Monotonic seconds.
    """
    entry = table.callers[caller]
    _decay(entry, now)
    entry.started += 1


def usage(table, caller, now):
    """Return the attempts of a caller, held and recently started.

    The higher the value, the sooner the caller's attempts are evicted.

    Args:
        table: A `FairnessTable`.
        caller: Name of the caller.
        now: Monotonic seconds.
    """
    entry = table.callers.get(caller)
    if entry is None:
        return 0.0
    _decay(entry, now)
    return entry.held + entry.started


def _decay(entry, now):
    entry.started *= 0.5 ** ((now - entry.decayed_at) / HALF_LIFE_S)
    entry.decayed_at = now


def _drop_idle_if_full(table):
    if len(table.callers) < MAX_CALLERS:
        return
    idle = [name for name, entry in table.callers.items() if not entry.held]
    for name in idle:
        del table.callers[name]
