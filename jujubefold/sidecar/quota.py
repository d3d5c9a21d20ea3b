"""Quota: token buckets of tenants, and the daemon that holds each of them.

Each failure domain has an equal part of a tenant's rate and burst. Within the
domain one daemon, the owner, holds the tenant's bucket. Designed for about a
hundred tenants, domains of 20 to 140 daemons and some thousand requests a
second in a domain.
"""

import dataclasses
import functools
import hashlib
import math

# Shortest time in seconds whose rate a full bucket holds, so that requests
# which happen to arrive together are granted.
MIN_CAPACITY_S = 1.0
# Share of the slack that the buckets may hold beyond the burst. The rest is
# for local buckets and for two owners at a time. With a quarter, four times as
# many requests of small tenants were refused by chance.
SLACK_SHARE = 0.5
# Share of the overage that the buckets may hold beyond the burst if the burst
# is below `MIN_CAPACITY_S`. The rest is for two owners at a time.
OVERAGE_SHARE = 0.05
# Seconds of the rate that the bucket of a new owner holds. The former owner
# may have granted the burst just before, and may still grant.
NEW_OWNER_S = 0.5
# Share of a daemon's equal part of the rate that its local bucket grants. An
# owner that serves the others grants the whole rate meanwhile.
LOCAL_SHARE = 0.3
LOCAL_CAPACITY = 1.0

_DIGEST_BYTES = 8
# All pairs of a hundred tenants and a domain of 160 daemons.
_CACHED_WEIGHTS = 16_000


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Bounds of the requests of a tenant that run, over all daemons.

    In any window these are (rate x window + burst) x (1 + overage) + slack.

    Args:
        window: Seconds.
        overage: Share allowed beyond the quota.
        slack: Requests allowed beyond that.
        domains: Number of failure domains.
    """

    window: float
    overage: float
    slack: float
    domains: int


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one bucket.

    Args:
        rate: Tokens a second.
        capacity: Tokens in the full bucket.
    """

    rate: float
    capacity: float


@dataclasses.dataclass(slots=True)
class Bucket:
    """A token bucket; each token lets one request run.

    Args:
        limits: Its `Limits`.
        tokens: Tokens at `updated_at`.
        updated_at: Seconds of `clock.Clock.boottime`.
    """

    limits: Limits
    tokens: float
    updated_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class View:
    """The daemons of a failure domain, as one of them sees them.

    Args:
        linked: VM names of the daemons that can be asked, its own included
            unless it stops.
        known: Number of the daemons of the domain, its own included.
        daemons: Number of the daemons of the fleet; infinite if unknown.
    """

    linked: frozenset[str]
    known: int
    daemons: float


def owner_limits(tenant, policy):
    """Return the `Limits` of a tenant's bucket in one failure domain.

    Args:
        tenant: A `tenants.Tenant` with a rate above 0.
        policy: A `Policy`.
    """
    quota = tenant.rate * policy.window + tenant.burst
    beyond_burst = OVERAGE_SHARE * policy.overage * quota
    capacity = max(
        tenant.burst,
        min(tenant.rate * MIN_CAPACITY_S, tenant.burst + beyond_burst),
    )
    capacity += SLACK_SHARE * policy.slack
    return Limits(
        tenant.rate / policy.domains, max(1.0, capacity / policy.domains)
    )


def local_limits(tenant, daemons):
    """Return the `Limits` of the bucket of a daemon that reaches no owner.

    Args:
        tenant: A `tenants.Tenant` with a rate above 0.
        daemons: Number of the daemons of the fleet; infinite if unknown.
    """
    return Limits(tenant.rate / daemons * LOCAL_SHARE, LOCAL_CAPACITY)


def new_bucket(limits, seconds, now):
    """Return a bucket with the tokens of a number of seconds, at least one.

    Args:
        limits: Its `Limits`.
        seconds: Infinite for a full bucket.
        now: Seconds of `clock.Clock.boottime`.
    """
    tokens = limits.capacity
    if math.isfinite(seconds):
        tokens = min(tokens, max(1.0, limits.rate * seconds))
    return Bucket(limits, tokens, now)


def set_limits(bucket, limits, now):
    """Change a bucket's limits; it keeps the tokens that still fit.

    Args:
        bucket: A `Bucket`.
        limits: The new `Limits`.
        now: Seconds of `clock.Clock.boottime`.
    """
    _refill(bucket, now)
    bucket.limits = limits
    bucket.tokens = min(bucket.tokens, limits.capacity)


def empty(bucket, seconds, now):
    """Leave at most the tokens of a number of seconds in a bucket.

    Args:
        bucket: A `Bucket`.
        seconds: As in `new_bucket`.
        now: Seconds of `clock.Clock.boottime`.
    """
    _refill(bucket, now)
    tokens = new_bucket(bucket.limits, seconds, now).tokens
    bucket.tokens = min(bucket.tokens, tokens)


def take(bucket, count, now):
    """Take up to `count` tokens, and return how many were taken.

    Args:
        bucket: A `Bucket`.
        count: Number of requests.
        now: Seconds of `clock.Clock.boottime`.
    """
    _refill(bucket, now)
    taken = min(count, int(bucket.tokens))
    bucket.tokens -= taken
    return taken


def put_back(bucket, count, now):
    """Put tokens back whose requests were not sent to an upstream.

    Args:
        bucket: A `Bucket`.
        count: Number of tokens.
        now: Seconds of `clock.Clock.boottime`.
    """
    _refill(bucket, now)
    bucket.tokens = min(bucket.limits.capacity, bucket.tokens + count)


def retry_after(bucket):
    """Return the seconds until a bucket holds a token again.

    Args:
        bucket: A `Bucket` that `take` was called on just before.
    """
    missing = max(0.0, 1.0 - bucket.tokens)
    if not missing:
        return 0.0
    return missing / bucket.limits.rate if bucket.limits.rate else math.inf


def choose_owner(tenant, vms):
    """Return the VM of a tenant's owner, None without any VM.

    Rendezvous hashing: when a daemon joins or leaves, only the tenants that
    it owns change their owner.

    Args:
        tenant: Name of the tenant.
        vms: VM names of the daemons that can be asked.
    """
    return max(vms, key=lambda vm: (_weight(tenant, vm), vm), default=None)


def majority_until(heard_at, known, heard_seconds):
    """Return until when a daemon may act as an owner.

    It has to have heard from so many others that they and it are more than
    half of the domain. Of two groups of daemons that can't reach each other,
    at most one has so many.

    Args:
        heard_at: Seconds of `clock.Clock.boottime` at which each of the other
            linked daemons was heard last.
        known: Number of the daemons of the domain, its own included.
        heard_seconds: Seconds for which a daemon counts as heard.

    Returns:
        Seconds of `clock.Clock.boottime`, infinite in a domain of one daemon
        and negatively infinite without a majority.
    """
    needed = known // 2
    if not needed:
        return math.inf
    if len(heard_at) < needed:
        return -math.inf
    return sorted(heard_at, reverse=True)[needed - 1] + heard_seconds


def _refill(bucket, now):
    elapsed = max(0.0, now - bucket.updated_at)
    bucket.tokens = min(
        bucket.limits.capacity, bucket.tokens + bucket.limits.rate * elapsed
    )
    bucket.updated_at = max(bucket.updated_at, now)


@functools.lru_cache(maxsize=_CACHED_WEIGHTS)
def _weight(tenant, vm):
    digest = hashlib.blake2b(
        f'{tenant}\0{vm}'.encode(), digest_size=_DIGEST_BYTES
    )
    return digest.digest()
