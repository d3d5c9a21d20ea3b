"""Service times: estimated run times of requests at the own upstream."""

import dataclasses

# Half-life of an estimate without new answers. Decay prevents a wrong
# estimate from refusing requests forever.
HALF_LIFE_S = 5.0
MAX_ROUTES = 1024

_MEAN_GAIN = 0.1
_LOW_DOWN_GAIN = 0.3
_LOW_UP_GAIN = 0.02


@dataclasses.dataclass(slots=True)
class Estimate:
    """Service time of some requests, in seconds.

    Args:
        mean: Exponential moving average.
        low: Run time of quick requests; falls quickly and rises slowly.
        updated_at: Monotonic seconds of the last answer.
    """

    mean: float
    low: float
    updated_at: float


@dataclasses.dataclass(slots=True)
class ServiceTimeTable:
    """Estimates of one upstream.

    Args:
        overall: Over all routes, or None before the first answer.
        routes: By route name.
    """

    overall: Estimate | None = None
    routes: dict[str, Estimate] = dataclasses.field(default_factory=dict)


def observe(table, route, seconds, now):
    """Record the run time of an answered request.

    Args:
        table: A `ServiceTimeTable`.
        route: Route name.
        seconds: Time from start to answer.
        now: Monotonic seconds.
    """
    if table.overall is None:
        table.overall = Estimate(seconds, seconds, now)
    else:
        _update(table.overall, seconds, now)
    estimate = table.routes.get(route)
    if estimate is not None:
        _update(estimate, seconds, now)
        return
    if len(table.routes) >= MAX_ROUTES:
        table.routes.clear()
    table.routes[route] = Estimate(seconds, seconds, now)


def mean(table, now):
    """Return the mean run time in seconds; 0 if unknown."""
    if table.overall is None:
        return 0.0
    return table.overall.mean * _decay(table.overall, now)


def minimum(table, route, now):
    """Return the run time of quick requests in seconds; 0 if unknown.

    Args:
        table: A `ServiceTimeTable`.
        route: Route name.
        now: Monotonic seconds.
    """
    estimate = table.routes.get(route)
    if estimate is None:
        return 0.0
    return estimate.low * _decay(estimate, now)


def _update(estimate, seconds, now):
    estimate.mean += _MEAN_GAIN * (seconds - estimate.mean)
    is_faster = seconds < estimate.low
    gain = _LOW_DOWN_GAIN if is_faster else _LOW_UP_GAIN
    estimate.low += gain * (seconds - estimate.low)
    estimate.updated_at = now


def _decay(estimate, now):
    return 0.5 ** ((now - estimate.updated_at) / HALF_LIFE_S)
