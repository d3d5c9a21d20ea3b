"""Limits on a daemon's store calls: rate, retries, circuit breaker."""

import asyncio
import dataclasses
import enum
import typing

from jujubefold import errors

# Rates of the whole fleet, in calls per second, divided among its daemons.
# Both are below the platform's capacity, to leave room for operators' reads.
FLEET_WRITES_PER_S = 300.0
FLEET_READS_PER_S = 1500.0
# Minimum rate of one daemon: in a very large fleet its part of the fleet's
# rate would leave it almost no calls.
MIN_CALLS_PER_S = 0.1
FAILURES_TO_OPEN = 5
PROBE_MIN_S = 0.5
PROBE_MAX_S = 8.0
BACKOFF_MIN_S = 0.05
BACKOFF_MAX_S = 2.0
RETRY_TOKENS_PER_CALL = 0.1
MAX_RETRY_TOKENS = 5.0


class Kind(enum.StrEnum):
    """Kind of a store call; each kind has a rate limit of its own."""

    READ = 'read'
    WRITE = 'write'


class StoreOutcome(enum.StrEnum):
    """Outcome of a store call, as counted in metrics.

    `REFUSED` is a failed condition, `NOT_RUN` a call without effect,
    `UNKNOWN` one whose effect is not known, and `LIMITED` one that the
    limits kept from being sent.
    """

    DONE = 'done'
    REFUSED = 'refused'
    NOT_RUN = 'not-run'
    UNKNOWN = 'unknown'
    LIMITED = 'limited'


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """One store call, for metrics.

    Args:
        operation: Protocol name of the operation.
        kind: A `Kind`.
        outcome: A `StoreOutcome`.
        seconds: Duration, including the wait for the rate limit.
        sent: Body bytes sent.
        received: Body bytes received.
    """

    operation: str
    kind: Kind
    outcome: StoreOutcome
    seconds: float
    sent: int = 0
    received: int = 0


Observer = typing.Callable[[Observation], None]


class TokenBucket:
    """Token bucket; the caller passes the time.

    Args:
        rate: Tokens per second. The capacity is one second's tokens, and
            at least one token.
        now: Monotonic seconds.
        tokens: Tokens at the start.
    """

    def __init__(self, rate, now, tokens):
        self._rate = rate
        self._tokens = tokens
        self._refilled_at = now

    def set_rate(self, rate, now):
        """Change the rate from monotonic time `now` on."""
        self._refill(now)
        self._rate = rate

    def reserve(self, now, max_wait):
        """Take a token, ahead of its refill if that is soon enough.

        Args:
            now: Monotonic seconds.
            max_wait: Longest wait in seconds.

        Returns:
            Seconds to wait before the call, or None when that is more than
            `max_wait`; no token is taken then.
        """
        self._refill(now)
        wait = max(0.0, (1.0 - self._tokens) / self._rate)
        if wait > max_wait:
            return None
        self._tokens -= 1.0
        return wait

    def _refill(self, now):
        capacity = max(1.0, self._rate)
        refill = (now - self._refilled_at) * self._rate
        self._tokens = min(capacity, self._tokens + refill)
        self._refilled_at = now


class CircuitBreaker:
    """Refuses calls to a failing store, except for one probe per interval.

    Args:
        rng: A `random.Random` for the jitter of probes, so that the
            daemons of a fleet don't probe all at once.
    """

    def __init__(self, rng):
        self._rng = rng
        self._failures = 0
        self._probe_at = 0.0
        self._interval = PROBE_MIN_S

    @property
    def is_open(self):
        """Whether calls other than probes are refused."""
        return self._failures >= FAILURES_TO_OPEN

    def allow_call(self, now):
        """Return whether a call may be made; may schedule the next probe."""
        if not self.is_open:
            return True
        if now < self._probe_at:
            return False
        self._schedule_probe(now)
        return True

    def record_success(self):
        """Close the circuit."""
        self._failures = 0
        self._interval = PROBE_MIN_S

    def record_failure(self, now):
        """Count a failure; the circuit opens at `FAILURES_TO_OPEN`."""
        was_open = self.is_open
        self._failures += 1
        if self.is_open and not was_open:
            self._schedule_probe(now)

    def _schedule_probe(self, now):
        self._probe_at = now + self._interval * self._rng.uniform(0.5, 1.5)
        self._interval = min(PROBE_MAX_S, self._interval * 2)


class StoreLimiter:
    """One daemon's limits on one store.

    Args:
        clock: A `clock.Clock`.
        rng: A `random.Random`.
        calls_per_second: Maximum reads per second, and maximum writes per
            second, in a fleet of any size.
        observe: Called with each `Observation`; None for no metrics.
    """

    def __init__(self, clock, rng, calls_per_second, observe=None):
        self._clock = clock
        self._rng = rng
        self._max_calls_per_second = calls_per_second
        self._observe = observe or _ignore
        self._circuit = CircuitBreaker(rng)
        self._retry_tokens = MAX_RETRY_TOKENS
        now = clock.monotonic()
        self._buckets = {
            kind: TokenBucket(calls_per_second, now, rng.random())
            for kind in Kind
        }

    @property
    def is_circuit_open(self):
        """Whether the circuit is open, so that the store counts as down."""
        return self._circuit.is_open

    def set_fleet_size(self, daemons):
        """Set the rates to this daemon's part of the fleet's rates.

        Args:
            daemons: Number of live daemons, this one included.
        """
        now = self._clock.monotonic()
        for kind, fleet_rate in (
            (Kind.READ, FLEET_READS_PER_S),
            (Kind.WRITE, FLEET_WRITES_PER_S),
        ):
            rate = min(
                self._max_calls_per_second, fleet_rate / max(1, daemons)
            )
            self._buckets[kind].set_rate(max(MIN_CALLS_PER_S, rate), now)

    async def acquire(self, kind, max_wait):
        """Wait until the limits allow a call to the store.

        Args:
            kind: A `Kind`.
            max_wait: Longest wait in seconds.

        Returns:
            None, or `errors.StoreNotRun` when the call must not be made.
        """
        now = self._clock.monotonic()
        if not self._circuit.allow_call(now):
            return errors.StoreNotRun(
                'the store is down; calls are refused until a probe succeeds'
            )
        wait = self._buckets[kind].reserve(now, max_wait)
        if wait is None:
            return errors.StoreNotRun(
                "this daemon's rate limit for store calls is reached"
            )
        if wait > 0.0:
            await asyncio.sleep(wait)
        return None

    def record_result(self, observation):
        """Record the outcome of a call that was made."""
        if observation.outcome in (StoreOutcome.DONE, StoreOutcome.REFUSED):
            self._circuit.record_success()
            self._retry_tokens = min(
                MAX_RETRY_TOKENS, self._retry_tokens + RETRY_TOKENS_PER_CALL
            )
        else:
            self._circuit.record_failure(self._clock.monotonic())
        self._observe(observation)

    def record_limited(self, observation):
        """Record a call that `acquire` refused."""
        self._observe(observation)

    def take_retry_token(self):
        """Take a token of the retry budget; return whether there was one."""
        if self._retry_tokens < 1.0 or self._circuit.is_open:
            return False
        self._retry_tokens -= 1.0
        return True


def backoff(rng, attempt):
    """Return the seconds to wait before a retry.

    They grow exponentially and are random, so that the retries of many
    daemons are spread.

    Args:
        rng: A `random.Random`.
        attempt: Number of earlier retries, 0 for the first.
    """
    upper_bound = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2 ** min(attempt, 16))
    return rng.uniform(BACKOFF_MIN_S / 2, upper_bound)


def outcome_of(result):
    """Return the `StoreOutcome` of a store call's result."""
    if result.is_ok():
        return StoreOutcome.DONE
    match result.error:
        case errors.ConditionFailed():
            return StoreOutcome.REFUSED
        case errors.StoreNotRun():
            return StoreOutcome.NOT_RUN
    return StoreOutcome.UNKNOWN


def _ignore(observation):
    """Discard an observation."""
