"""Patience: how long a caller has waited before this request.

Callers that were refused come back with what is left of their time, and
nothing on the request says so. Those of one route mostly start with the same
time, so a shorter one tells how long ago a caller began. Answers load at
which refused callers return: only a first request can still be on time.
"""

import collections
import dataclasses

# Different times remembered for a route, and requests after which old
# counts lose half of their weight.
MAX_TIMES = 64
HALF_LIFE_REQUESTS = 400
# Requests that must share a time before it is taken for the usual one.
MIN_SHARING = 8


@dataclasses.dataclass(slots=True)
class WaitTable:
    """Requests counted by the milliseconds that were left, by route."""

    counts: dict[str, collections.Counter] = dataclasses.field(
        default_factory=dict
    )


def estimate(table, route, left_ms):
    """Return the seconds that a caller has waited already, and count it.

    Args:
        table: A `WaitTable`.
        route: Route name.
        left_ms: Milliseconds that the caller waits from now on.
    """
    counts = table.counts.setdefault(route, collections.Counter())
    counts[left_ms] += 1
    if len(counts) > MAX_TIMES or counts.total() > HALF_LIFE_REQUESTS:
        table.counts[route] = counts = _halved(counts)
    usual, sharing = counts.most_common(1)[0]
    if sharing < MIN_SHARING:
        return 0.0
    return max(0, usual - left_ms) / 1000


def _halved(counts):
    kept = collections.Counter(
        {value: count // 2 for value, count in counts.items() if count > 1}
    )
    return kept or collections.Counter(dict(counts.most_common(1)))
