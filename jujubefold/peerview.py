"""Peer views: load and failures of other daemons' upstreams, as seen here."""

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
DRAINING_REPORT_S = 5.0

_MAX_DOUBLINGS = 10
_State = messages.UpstreamState
_LEAVING = frozenset({_State.DRAINING, _State.GONE})


@dataclasses.dataclass(slots=True)
class PeerView:
    """Load, latency and failures of another daemon's upstream, as seen here.

    Args:
        in_flight: Attempts that this daemon has sent and that have not ended.
        latency: Moving average in seconds; 0 before the first answer.
        other_attempts: Running and queued attempts of other senders, by the
            last load report.
        slots: Usable slots by the last load report; 0 when unknown.
        load_at: Monotonic seconds of the last load report.
        refusals: Refusals since the last success.
        losses: Lost answers since the last success.
        failures: Failed attempts since the last success or ejection.
        ejections: Ejections since the last success.
        paused_until: Monotonic seconds at which its back-off ends.
        ejected_until: Monotonic seconds at which its ejection ends.
        draining_until: Monotonic seconds until which its load report that
            it is draining applies; by then membership reports it.
        keeps_connection: Whether an idle connection to it stays open.
        upstream_start: Incarnation and ready time of the upstream start that
            these fields describe, or None.
    """

    in_flight: int = 0
    latency: float = 0.0
    other_attempts: int = 0
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
    """Return whether a gate with this load would start a call at once.

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
    """Return the number of attempts that the upstream is expected to hold.

    The part from other senders decays with the age of the load report.

    Args:
        view: A `PeerView`.
        now: Monotonic seconds.
    """
    age = now - view.load_at
    other_attempts = view.other_attempts * 0.5 ** (age / LOAD_HALF_LIFE_S)
    if other_attempts < NEGLIGIBLE_ATTEMPTS:
        return view.in_flight
    return view.in_flight + other_attempts


def note_load(view, load, now):
    """Record the load report that an answer carried.

    Args:
        view: A `PeerView`.
        load: A `gate.Load`.
        now: Monotonic seconds.
    """
    view.other_attempts = max(0, load.running + load.queued - view.in_flight)
    view.slots = load.slots
    view.load_at = now
    if load.state in _LEAVING:
        view.draining_until = now + DRAINING_REPORT_S


def note_success(view, seconds):
    """Record a successful answer, which ends back-off and ejection.

    Args:
        view: A `PeerView`.
        seconds: Time from sending to the answer.
    """
    view.refusals = view.losses = view.failures = view.ejections = 0
    view.paused_until = view.ejected_until = 0.0
    if view.latency:
        view.latency += LATENCY_GAIN * (seconds - view.latency)
    else:
        view.latency = seconds


def note_refusal(view, now, rng):
    """Back off from a daemon that refused an attempt for lack of capacity.

    Args:
        view: A `PeerView`.
        now: Monotonic seconds.
        rng: A `random.Random` that adds jitter to the end of the back-off.
    """
    view.refusals += 1
    pause = _doubled(REFUSED_PAUSE_S, view.refusals, MAX_REFUSED_PAUSE_S)
    view.paused_until = now + _jittered(pause, rng)


def note_loss(view, now, rng):
    """Back off from a daemon whose answer was lost.

    Args:
        view: As for `note_refusal`.
        now: As for `note_refusal`.
        rng: As for `note_refusal`.
    """
    view.losses += 1
    pause = _doubled(LOST_PAUSE_S, view.losses, MAX_LOST_PAUSE_S)
    view.paused_until = now + _jittered(pause, rng)


def note_failure(view, now, rng):
    """Count a failed attempt; `EJECT_AFTER_FAILURES` of them eject the peer.

    Args:
        view: As for `note_refusal`.
        now: As for `note_refusal`.
        rng: As for `note_refusal`.
    """
    view.failures += 1
    if view.failures < EJECT_AFTER_FAILURES:
        return
    view.failures = 0
    view.ejections += 1
    length = min(MAX_EJECT_S, EJECT_S * view.ejections)
    view.ejected_until = now + _jittered(length, rng)


def _doubled(seconds, times, max_seconds):
    return min(max_seconds, seconds * 2 ** min(times, _MAX_DOUBLINGS))


def _jittered(seconds, rng):
    return seconds * (0.5 + rng.random() / 2)
