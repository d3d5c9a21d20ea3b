"""Service times: how long requests run at this VM's own upstream."""

import dataclasses

# Seconds after which an estimate without new answers counts half, so that
# a wrong one cannot keep requests out for good.
HALF_LIFE_S = 5.0
MAX_ROUTES = 1024

_MEAN_GAIN = 0.1
_FAST_DOWN_GAIN = 0.3
_FAST_UP_GAIN = 0.02


@dataclasses.dataclass(slots=True)
class Estimate:
    """Service time of some requests, in seconds.

    Args:
        mean: Moving average.
        fast: What quick answers take; follows down fast and up slowly.
        at: Monotonic seconds of the last answer.
    """

    mean: float
    fast: float
    at: float


@dataclasses.dataclass(slots=True)
class ServiceTimeTable:
    """Estimates of one upstream.

    Args:
        whole: Over all routes, or None before the first answer.
        routes: By route name.
    """

    whole: Estimate | None = None
    routes: dict[str, Estimate] = dataclasses.field(default_factory=dict)


def observe(table, route, seconds, now):
    """Take the time that an answered request ran.

    Args:
        table: A `ServiceTimeTable`.
        route: Its route's name.
        seconds: From start to answer.
        now: Monotonic seconds.
    """
    if table.whole is None:
        table.whole = Estimate(seconds, seconds, now)
    else:
        _update(table.whole, seconds, now)
    estimate = table.routes.get(route)
    if estimate is not None:
        _update(estimate, seconds, now)
        return
    if len(table.routes) >= MAX_ROUTES:
        table.routes.clear()
    table.routes[route] = Estimate(seconds, seconds, now)


def mean(table, now):
    """Return the expected seconds that a request runs; 0 for not known."""
    if table.whole is None:
        return 0.0
    return table.whole.mean * _fade(table.whole, now)


def least(table, route, now):
    """Return the seconds that even a quick answer of a route takes.

    Args:
        table: A `ServiceTimeTable`.
        route: Route name.
        now: Monotonic seconds.
    """
    estimate = table.routes.get(route)
    if estimate is None:
        return 0.0
    return estimate.fast * _fade(estimate, now)


def _update(estimate, seconds, now):
    estimate.mean += _MEAN_GAIN * (seconds - estimate.mean)
    down = seconds < estimate.fast
    gain = _FAST_DOWN_GAIN if down else _FAST_UP_GAIN
    estimate.fast += gain * (seconds - estimate.fast)
    estimate.at = now


def _fade(estimate, now):
    return 0.5 ** ((now - estimate.at) / HALF_LIFE_S)
