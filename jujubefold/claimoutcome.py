"""What claims are asked for, and what they answer."""

import dataclasses
import typing

from jujubefold import errors
from jujubefold import table


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimSettings:
    """How claims are made and kept; all times in seconds.

    Args:
        batch_window: How long a claim, or a read of its row, waits for
            company.
        settle_window: How long an answer waits for company.
        in_flight: Transactions under way at once.
        max_batch: Writes in a transaction.
        start_window: From the first write of a claim to the last moment at
            which the request may start.
        retention: How long a key runs at most once, from its claim.
        released_retention: How long a released row stays. Longer than any
            write can be under way.
        clock_margin: Most that wall clocks of the fleet differ.
        inline_answer_bytes: Larger answers go to the object store.
        max_unsettled_bytes: Answers kept until the store takes them; what
            does not fit is recorded as in doubt.
    """

    batch_window: float = 0.005
    settle_window: float = 0.05
    in_flight: int = 1
    max_batch: int = table.MAX_WRITES
    start_window: float = 10.0
    retention: float = 24 * 3600.0
    released_retention: float = 3600.0
    clock_margin: float = 3600.0
    inline_answer_bytes: int = 16 * 1024
    max_unsettled_bytes: int = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """Names what is to run at most once.

    Args:
        scope: Route or service that keys belong to.
        key: The caller's idempotency key.
        fingerprint: Digest of method, path and body.
        holder: `vm/incarnation` that will run the request.
    """

    scope: str
    key: str
    fingerprint: str
    holder: str


@dataclasses.dataclass(frozen=True, slots=True)
class Claimed:
    """The request may run, once, if it starts in time.

    End it with exactly one of `settle`, `release` and `doubt`.

    Args:
        start_by: Monotonic seconds; check `may_start` right before sending.
    """

    request: ClaimRequest
    id: str
    since_ms: int
    start_by: float

    def may_start(self, now):
        """Return whether the request may be sent at monotonic `now`."""
        return now < self.start_by


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The key ran before; this is its first answer."""

    answer: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """Another sending of the key holds it and may be running.

    Args:
        holder: `vm/incarnation` that holds it.
        since: Wall seconds of its claim.
    """

    holder: str
    since: float


@dataclasses.dataclass(frozen=True, slots=True)
class InDoubt:
    """The key may have run, and nobody will learn whether it did."""

    holder: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reused:
    """The key belongs to another request, so this one did not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The key could not be claimed, and this sending did not run.

    Args:
        reason: One sentence a person can act on.
        earlier: What is known about earlier sendings of the key.
    """

    reason: str
    earlier: errors.Outcome = errors.Outcome.UNKNOWN


ClaimOutcome = Claimed | Answered | Running | InDoubt | Reused | Unavailable
HolderGone = typing.Callable[[str], bool]
