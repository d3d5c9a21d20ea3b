"""Retries: the part of a fleet's retry budget that one daemon may use.

The bound holds for the sum of all daemons and over any window, so each
keeps to the ratio of its own requests and to an equal part of the slack.
"""

import collections
import dataclasses
import math

# Share of the ratio that is used. Calls of a repeated run are repeats too,
# which nobody can tell here: they are as many of all calls as repeats are of
# the runs that call, and each of the two services uses one half.
RATIO_SHARE = 0.5
# Share of the slack that is used, for the same reason.
SLACK_SHARE = 0.5
# Parts of a window that are counted apart.
PARTS = 20


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """What all daemons together may spend.

    Args:
        ratio: Repeats allowed for each first try.
        window: Seconds; any span of this length counts.
        slack: Repeats allowed besides, in a window.
    """

    ratio: float
    window: float
    slack: float


@dataclasses.dataclass(slots=True)
class Bucket:
    """What was sent in one part of the window.

    Args:
        part: Its number.
        firsts: Requests that an upstream was sent.
        repeats: Retries that were allowed and not given back.
    """

    part: int
    firsts: int = 0
    repeats: int = 0


@dataclasses.dataclass(slots=True)
class RetryTable:
    """First tries and repeats of the last window, by service."""

    policy: Policy
    counts: dict[str, collections.deque] = dataclasses.field(
        default_factory=dict
    )


def record_first_attempt(table, service, now):
    """Count a request that an upstream was sent for the first time.

    Those that gates refused make no calls, so that counting them would
    allow more repeats than the services that are called can bear.
    """
    _newest(table, service, now).firsts += 1


def try_spend(table, service, daemons, now):
    """Count a request that is sent once more, if it may be.

    Args:
        table: A `RetryTable`.
        service: Service that it is sent to.
        daemons: Most daemons that may be sending at this time; infinity
            when nobody knows.
        now: Monotonic seconds.

    Returns:
        The `Bucket` that it is counted in, or None.
    """
    newest = _newest(table, service, now)
    counts = table.counts[service]
    firsts = sum(item.firsts for item in counts)
    repeats = sum(item.repeats for item in counts)
    policy = table.policy
    part = math.floor(policy.slack * SLACK_SHARE / max(1, daemons))
    if repeats + 1 > firsts * policy.ratio * RATIO_SHARE + part:
        return None
    newest.repeats += 1
    return newest


def refund(counts):
    """Take back a repeat that no upstream was sent.

    Args:
        counts: What `try_spend` returned for it.
    """
    counts.repeats -= 1


def _newest(table, service, now):
    part = math.floor(now / table.policy.window * PARTS)
    counts = table.counts.setdefault(service, collections.deque())
    while counts and counts[0].part < part - PARTS:
        counts.popleft()
    if not counts or counts[-1].part != part:
        counts.append(Bucket(part))
    return counts[-1]
