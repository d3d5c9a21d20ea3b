"""Peer views: what this daemon saw of another daemon's upstream."""

import dataclasses

from jujubefold import messages

LOAD_HALF_LIFE_S = 0.5
NEGLIGIBLE_ATTEMPTS = 0.1
LATENCY_GAIN = 0.2
REFUSED_PAUSE_S = 0.05
MAX_REFUSED_PAUSE_S = 1.0
LOST_PAUSE_S = 0.25
MAX_LOST_PAUSE_S = 15.0
EJECT_AFTER_FAILURES = 5
EJECT_S = 5.0
MAX_EJECT_S = 60.0
LEAVING_S = 5.0

_MAX_DOUBLINGS = 10
_State = messages.UpstreamState
_LEAVING = frozenset({_State.DRAINING, _State.GONE})


@dataclasses.dataclass(slots=True)
class PeerView:
    """What this daemon saw of another.

    Args:
        in_flight: Attempts sent and not ended.
        latency: Moving average in seconds; 0 before the first answer.
        others: Attempts of other senders there, by its last load.
        slots: Usable slots by its last load; 0 for not told.
        load_at: Monotonic seconds of that load.
        refusals: Refusals in a row.
        losses: Attempts lost in a row.
        failures: Attempts in a row that ended neither well nor refused.
        ejections: Ejections since the last good answer.
        paused_until: Monotonic seconds of the end of its back-off.
        ejected_until: Monotonic seconds of the end of its ejection.
        draining_until: Monotonic seconds until which its word that it
            drains counts; membership says so by then.
        keeps_connection: Whether an idle connection to it stays open.
        upstream_start: Incarnation and ready time of the upstream start that
            these fields describe, or None.
    """

    in_flight: int = 0
    latency: float = 0.0
    others: int = 0
    slots: int = 0
    load_at: float = 0.0
    refusals: int = 0
    losses: int = 0
    failures: int = 0
    ejections: int = 0
    paused_until: float = 0.0
    ejected_until: float = 0.0
    draining_until: float = 0.0
    keeps_connection: bool = True
    upstream_start: tuple[int, int] | None = None


def has_free_slot(load):
    """Return whether a gate with this load would run one more at once.

    Args:
        load: A `gate.Load`, or None.
    """
    return (
        load is not None
        and load.state is _State.SERVING
        and not load.queued
        and load.running < load.slots
    )


def expected_running(view, now):
    """Return the attempts that the upstream is expected to hold.

    Args:
        view: A `PeerView`.
        now: Monotonic seconds.
    """
    age = now - view.load_at
    others = view.others * 0.5 ** (age / LOAD_HALF_LIFE_S)
    if others < NEGLIGIBLE_ATTEMPTS:
        return view.in_flight
    return view.in_flight + others


def note_load(view, load, now):
    """Take the load that rode on an answer.

    Args:
        view: A `PeerView`.
        load: A `gate.Load`.
        now: Monotonic seconds.
    """
    view.others = max(0, load.running + load.queued - view.in_flight)
    view.slots = load.slots
    view.load_at = now
    if load.state in _LEAVING:
        view.draining_until = now + LEAVING_S


def note_success(view, seconds):
    """Take a good answer; it ends back-off and ejection.

    Args:
        view: A `PeerView`.
        seconds: From send to answer.
    """
    view.refusals = view.losses = view.failures = view.ejections = 0
    view.paused_until = view.ejected_until = 0.0
    if view.latency:
        view.latency += LATENCY_GAIN * (seconds - view.latency)
    else:
        view.latency = seconds


def note_refusal(view, now, rng):
    """Let a daemon rest that had no room.

    Args:
        view: A `PeerView`.
        now: Monotonic seconds.
        rng: A `random.Random` that spreads the ends.
    """
    view.refusals += 1
    pause = _doubled(REFUSED_PAUSE_S, view.refusals, MAX_REFUSED_PAUSE_S)
    view.paused_until = now + _jittered(pause, rng)


def note_loss(view, now, rng):
    """Let a daemon rest whose answer was lost; as `note_refusal`."""
    view.losses += 1
    pause = _doubled(LOST_PAUSE_S, view.losses, MAX_LOST_PAUSE_S)
    view.paused_until = now + _jittered(pause, rng)


def note_failure(view, now, rng):
    """Count a failure; several in a row eject; as `note_refusal`."""
    view.failures += 1
    if view.failures < EJECT_AFTER_FAILURES:
        return
    view.failures = 0
    view.ejections += 1
    length = min(MAX_EJECT_S, EJECT_S * view.ejections)
    view.ejected_until = now + _jittered(length, rng)


def _doubled(seconds, times, most):
    return min(most, seconds * 2 ** min(times, _MAX_DOUBLINGS))


def _jittered(seconds, rng):
    return seconds * (0.5 + rng.random() / 2)
