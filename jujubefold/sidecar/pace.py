"""Pace: spaces the starts of requests when an upstream names a rate."""

import dataclasses

# Seconds by which starts may run ahead of even spacing, so that requests that
# arrive together don't wait for each other while the rate allows them.
BURST_S = 0.25
# Requests a second that are started at least. An upstream that is sent
# nothing gives no answer in which it could lift its limit.
MIN_PER_SECOND = 0.2


@dataclasses.dataclass(slots=True)
class Pace:
    """The rate at which requests are started.

    Args:
        per_second: Requests a second; None without a limit.
        due_at: Monotonic seconds at which the next request starts if all
            are evenly spaced.
    """

    per_second: float | None = None
    due_at: float = 0.0


def set_rate(pace, per_second, now):
    """Change the rate; requests started before still count.

    Args:
        pace: The `Pace` to change.
        per_second: Requests a second, at least 0; None without a limit.
        now: Monotonic seconds.
    """
    ahead = max(0.0, pace.due_at - now) * (pace.per_second or 0.0)
    pace.per_second = per_second
    if per_second is not None:
        pace.per_second = max(MIN_PER_SECOND, per_second)
        pace.due_at = now + ahead / pace.per_second


def earliest_start(pace, now):
    """Return the monotonic seconds from which the next request may start.

    Args:
        pace: A `Pace`.
        now: Monotonic seconds.
    """
    if pace.per_second is None:
        return now
    return max(now, pace.due_at - BURST_S)


def record_start(pace, started_at):
    """Count a request that starts.

    Args:
        pace: The `Pace` to change.
        started_at: Monotonic seconds of its start.
    """
    if pace.per_second is not None:
        pace.due_at = max(pace.due_at, started_at) + 1 / pace.per_second
