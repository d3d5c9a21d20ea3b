"""Retry budget: the share of the fleet's retries that one daemon may send.

The limit applies to the sum over all daemons and to any window of time, so
each daemon is limited by the ratio to its own first attempts and by an equal
share of the slack.
"""

import collections
import dataclasses
import math

# Share of the ratio that is used. A request that is retried repeats its own
# calls too, which the service called can't distinguish from first attempts.
# They are the same share of its calls as the retries are of the requests that
# make them, so each of the two services may use one half.
RATIO_SHARE = 0.5
# Share of the slack that is used, for the same reason.
SLACK_SHARE = 0.5
# Buckets that a window is divided into.
BUCKETS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Retries that all daemons together may send to a service.

    Args:
        ratio: Retries allowed for each first attempt.
        window: Seconds; the limit holds for any span of this length.
        slack: Retries allowed in a window beyond the ratio.
    """

    ratio: float
    window: float
    slack: float


@dataclasses.dataclass(slots=True)
class Bucket:
    """Requests counted in one part of the window.

    Args:
        index: Number of the part since monotonic time 0.
        first_attempts: First attempts that were sent to an upstream.
        retries: Retries that were allowed and not refunded.
    """

    index: int
    first_attempts: int = 0
    retries: int = 0


@dataclasses.dataclass(slots=True)
class RetryTable:
    """Requests counted in the last window.

    Args:
        policy: The `Policy`.
        buckets: Each `Bucket` of the window, oldest first, by service.
    """

    policy: Policy
    buckets: dict[str, collections.deque] = dataclasses.field(
        default_factory=dict
    )


def record_first_attempt(table, service, now):
    """Count a request that was sent to an upstream for the first time.

    Requests refused by gates are not counted: they make no calls themselves,
    and counting them would allow more retries than the services called can
    serve.

    Args:
        table: A `RetryTable`.
        service: Service that the request was sent to.
        now: Monotonic seconds.
    """
    _newest(table, service, now).first_attempts += 1


def try_spend(table, service, daemons, now):
    """Count a retry if the budget allows it.

    Args:
        table: A `RetryTable`.
        service: Service that the retry is sent to.
        daemons: Upper bound of the daemons that may send retries now;
            infinity if unknown.
        now: Monotonic seconds.

    Returns:
        The `Bucket` in which the retry is counted, or None if it is not
        allowed.
    """
    newest = _newest(table, service, now)
    buckets = table.buckets[service]
    first_attempts = sum(item.first_attempts for item in buckets)
    retries = sum(item.retries for item in buckets)
    policy = table.policy
    slack = math.floor(policy.slack * SLACK_SHARE / max(1, daemons))
    if retries + 1 > first_attempts * policy.ratio * RATIO_SHARE + slack:
        return None
    newest.retries += 1
    return newest


def refund(bucket):
    """Return a retry to the budget that was sent to no upstream.

    Args:
        bucket: What `try_spend` returned for it.
    """
    bucket.retries -= 1


def _newest(table, service, now):
    """Return the current bucket of a service, and drop outdated ones."""
    index = math.floor(now / table.policy.window * BUCKETS)
    buckets = table.buckets.setdefault(service, collections.deque())
    while buckets and buckets[0].index < index - BUCKETS:
        buckets.popleft()
    if not buckets or buckets[-1].index != index:
        buckets.append(Bucket(index))
    return buckets[-1]
