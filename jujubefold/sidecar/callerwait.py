"""Caller wait: estimates how long a caller waited before this request.

A refused caller retries with what is left of its timeout, and nothing in the
request marks it as a retry. Most callers of a route start with the same
timeout, so a shorter one shows how long ago a caller began. Under overload
this keeps retries, which are late already, from taking the slots of requests
that can still be answered on time.
"""

import collections
import dataclasses

# Distinct timeouts remembered for a route, and requests after which the
# counts are halved.
MAX_TIMEOUTS = 64
HALF_LIFE_REQUESTS = 400
# Requests that must share a timeout before it is taken for the usual one.
MIN_SHARING = 8


@dataclasses.dataclass(slots=True)
class WaitTable:
    """Requests counted by route and by the milliseconds left to the caller."""

    counts: dict[str, collections.Counter] = dataclasses.field(
        default_factory=dict
    )


def estimate(table, route, left_ms):
    """Return the seconds that a caller has waited, and count the request.

    Args:
        table: A `WaitTable`.
        route: Route name.
        left_ms: Milliseconds for which the caller still waits.

    Returns:
        Seconds since the caller began; 0 while the usual timeout is unknown.
    """
    counts = table.counts.setdefault(route, collections.Counter())
    counts[left_ms] += 1
    if len(counts) > MAX_TIMEOUTS or counts.total() > HALF_LIFE_REQUESTS:
        table.counts[route] = counts = _halved(counts)
    usual_ms, sharing = counts.most_common(1)[0]
    if sharing < MIN_SHARING:
        return 0.0
    return max(0, usual_ms - left_ms) / 1000


def _halved(counts):
    kept = collections.Counter(
        {
            timeout_ms: count // 2
            for timeout_ms, count in counts.items()
            if count > 1
        }
    )
    return kept or collections.Counter(dict(counts.most_common(1)))
