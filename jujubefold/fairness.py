"""Fairness: how much each caller holds and lately got of an upstream."""

import dataclasses

# Seconds after which a start counts half.
HALF_LIFE_S = 1.0
MAX_CALLERS = 2048


@dataclasses.dataclass(slots=True)
class Share:
    """One caller's part.

    Args:
        held: Attempts that run or wait.
        started: Starts, each fading with its age.
        at: Monotonic seconds up to which `started` has faded.
    """

    held: int = 0
    started: float = 0.0
    at: float = 0.0


@dataclasses.dataclass(slots=True)
class FairnessTable:
    """Shares of the callers seen lately."""

    shares: dict[str, Share] = dataclasses.field(default_factory=dict)


def hold(table, caller):
    """Count an attempt that starts to run or wait.

    Args:
        table: A `FairnessTable`.
        caller: Who asked.
    """
    share = table.shares.get(caller)
    if share is None:
        _make_room(table)
        share = table.shares[caller] = Share()
    share.held += 1


def release(table, caller):
    """Count an attempt that no longer runs or waits."""
    table.shares[caller].held -= 1


def start(table, caller, now):
    """Count a start of a caller that holds the attempt.

    Args:
        table: A `FairnessTable`.
        caller: Who asked.
        now: Monotonic seconds.
    """
    share = table.shares[caller]
    _fade(share, now)
    share.started += 1


def usage(table, caller, now):
    """Return what a caller holds and lately got; who has most yields.

    Args:
        table: A `FairnessTable`.
        caller: Who asked.
        now: Monotonic seconds.
    """
    share = table.shares.get(caller)
    if share is None:
        return 0.0
    _fade(share, now)
    return share.held + share.started


def _fade(share, now):
    share.started *= 0.5 ** ((now - share.at) / HALF_LIFE_S)
    share.at = now


def _make_room(table):
    if len(table.shares) < MAX_CALLERS:
        return
    idle = [name for name, share in table.shares.items() if not share.held]
    for name in idle:
        del table.shares[name]
