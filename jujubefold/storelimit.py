"""Limits on a daemon's store calls: rate, retry budget and circuit."""

import asyncio
import dataclasses
import enum
import typing

from jujubefold import errors

# The whole fleet's share of the platform, in calls a second. Both stay
# under what the platform is good for, so that operators' own reads fit.
FLEET_WRITES_PER_S = 300.0
FLEET_READS_PER_S = 1500.0
# Never below this, so that a daemon in a very large fleet still moves.
MIN_CALLS_PER_S = 0.1
FAILURES_TO_OPEN = 5
PROBE_MIN_S = 0.5
PROBE_MAX_S = 8.0
BACKOFF_MIN_S = 0.05
BACKOFF_MAX_S = 2.0
RETRIES_PER_CALL = 0.1
RETRY_RESERVE = 5.0


class Kind(enum.StrEnum):
    """Which of the two budgets a call draws on."""

    READ = 'read'
    WRITE = 'write'


class StoreOutcome(enum.StrEnum):
    """How a store call ended, as counted in metrics."""

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
        seconds: How long it took, waiting for the limit included.
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
    """Token bucket in the caller's time.

    Args:
        rate: Tokens a second.
        now: Monotonic seconds.
        tokens: Tokens at the start.
    """

    def __init__(self, rate, now, tokens):
        self._rate = rate
        self._tokens = tokens
        self._at = now

    def resize(self, rate, now):
        """Change the rate from now on."""
        self._refill(now)
        self._rate = rate

    def reserve(self, now, patience):
        """Take a token that is there, or will be soon.

        Args:
            now: Monotonic seconds.
            patience: Longest wait in seconds.

        Returns:
            Seconds to wait before the call, or None when that would be
            longer than `patience`; then nothing was taken.
        """
        self._refill(now)
        wait = max(0.0, (1.0 - self._tokens) / self._rate)
        if wait > patience:
            return None
        self._tokens -= 1.0
        return wait

    def _refill(self, now):
        most = max(1.0, self._rate)
        gained = (now - self._at) * self._rate
        self._tokens = min(most, self._tokens + gained)
        self._at = now


class Circuit:
    """Stops calls to a store that fails, and probes it while it is down.

    Args:
        rng: A `random.Random` that spreads probes of many daemons.
    """

    def __init__(self, rng):
        self._rng = rng
        self._failures = 0
        self._probe_at = 0.0
        self._interval = PROBE_MIN_S

    @property
    def open(self):
        """Whether calls are refused, but for probes."""
        return self._failures >= FAILURES_TO_OPEN

    def admits(self, now):
        """Return whether a call may go out; a probe is booked by this."""
        if not self.open:
            return True
        if now < self._probe_at:
            return False
        self._book(now)
        return True

    def succeeded(self):
        """Close the circuit."""
        self._failures = 0
        self._interval = PROBE_MIN_S

    def failed(self, now):
        """Count a failure; enough of them open the circuit."""
        was_open = self.open
        self._failures += 1
        if self.open and not was_open:
            self._book(now)

    def _book(self, now):
        self._probe_at = now + self._interval * self._rng.uniform(0.5, 1.5)
        self._interval = min(PROBE_MAX_S, self._interval * 2)


class StoreLimiter:
    """One daemon's limits on one store.

    Args:
        clock: A `clock.Clock`.
        rng: A `random.Random`.
        calls_per_second: Most reads, and most writes, a second, however
            small the fleet is.
        observe: Called with each `Observation`; None for no metrics.
    """

    def __init__(self, clock, rng, calls_per_second, observe=None):
        self._clock = clock
        self._rng = rng
        self._most = calls_per_second
        self._observe = observe or _ignore
        self._circuit = Circuit(rng)
        self._retries = RETRY_RESERVE
        now = clock.monotonic()
        self._buckets = {
            kind: TokenBucket(calls_per_second, now, rng.random())
            for kind in Kind
        }

    @property
    def is_circuit_open(self):
        """Whether the store counts as down."""
        return self._circuit.open

    def set_fleet_size(self, daemons):
        """Fit the limits to the fleet, whenever its size changes.

        Args:
            daemons: Live daemons, this one included.
        """
        now = self._clock.monotonic()
        for kind, fleet in (
            (Kind.READ, FLEET_READS_PER_S),
            (Kind.WRITE, FLEET_WRITES_PER_S),
        ):
            rate = min(self._most, fleet / max(1, daemons))
            self._buckets[kind].resize(max(MIN_CALLS_PER_S, rate), now)

    async def acquire(self, kind, patience):
        """Wait for leave to call the store.

        Args:
            kind: A `Kind`.
            patience: Longest wait in seconds.

        Returns:
            None, or `errors.StoreNotRun` when the call must not be made.
        """
        now = self._clock.monotonic()
        if not self._circuit.admits(now):
            return errors.StoreNotRun('the store is down; probing it')
        wait = self._buckets[kind].reserve(now, patience)
        if wait is None:
            return errors.StoreNotRun("over this daemon's share of the store")
        if wait > 0.0:
            await asyncio.sleep(wait)
        return None

    def record_result(self, observation):
        """Note how a call that was made ended."""
        if observation.outcome in (StoreOutcome.DONE, StoreOutcome.REFUSED):
            self._circuit.succeeded()
            self._retries = min(
                RETRY_RESERVE, self._retries + RETRIES_PER_CALL
            )
        else:
            self._circuit.failed(self._clock.monotonic())
        self._observe(observation)

    def record_limited(self, observation):
        """Note a call that `acquire` refused."""
        self._observe(observation)

    def take_retry_token(self):
        """Return whether the retry budget has one more; takes it."""
        if self._retries < 1.0 or self._circuit.open:
            return False
        self._retries -= 1.0
        return True


def backoff(rng, attempt):
    """Return seconds to wait before a retry, with full jitter.

    Args:
        rng: A `random.Random`.
        attempt: Retries made before, 0 for the first.
    """
    most = min(BACKOFF_MAX_S, BACKOFF_MIN_S * 2 ** min(attempt, 16))
    return rng.uniform(BACKOFF_MIN_S / 2, most)


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
    """Take an observation that nobody asked for."""
