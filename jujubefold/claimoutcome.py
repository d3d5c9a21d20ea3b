"""Settings, requests and outcomes of claims of idempotency keys."""

import dataclasses
import typing

from jujubefold import errors
from jujubefold import table


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimSettings:
    """How claims are batched and retained; all times in seconds.

    Args:
        batch_window: How long a claim, or a read of its row, waits to be
            batched with others.
        record_window: How long a write that ends or removes a claim waits
            to be batched with others.
        in_flight: Maximum number of concurrent transactions.
        max_batch: Maximum number of writes in a transaction.
        start_window: Time from the first write of a claim during which
            its request may start.
        retention: Time from the claim during which a key runs at most
            once.
        released_retention: How long the row of a released claim is kept.
            Longer than any write can be under way.
        max_clock_skew: Maximum difference between wall clocks of the
            fleet.
        inline_answer_bytes: Larger answers go to the object store.
        max_unrecorded_bytes: Total size of the answers kept in memory
            until the store confirms them; an answer that does not fit is
            recorded as in doubt.
    """

    batch_window: float = 0.005
    record_window: float = 0.05
    in_flight: int = 1
    max_batch: int = table.MAX_WRITES
    start_window: float = 10.0
    retention: float = 24 * 3600.0
    released_retention: float = 3600.0
    max_clock_skew: float = 3600.0
    inline_answer_bytes: int = 16 * 1024
    max_unrecorded_bytes: int = 16 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimRequest:
    """A request that is to run at most once.

    Args:
        scope: Namespace of the key: a route or service.
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
    """The claim was made: the request may run once.

    The caller ends it with exactly one of `record_answer`, `release` and
    `mark_in_doubt`.

    Args:
        request: The `ClaimRequest`.
        id: Id of the claim, unique in the fleet.
        since_ms: Wall milliseconds of the claim.
        start_by: Monotonic seconds before which the request must start;
            check `may_start` right before sending it.
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
    """The key's request ran before; `answer` is what it returned."""

    answer: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Running:
    """An earlier request holds the key and may be running.

    Args:
        holder: `vm/incarnation` of the daemon that holds the claim.
        since: Wall seconds of that claim.
    """

    holder: str
    since: float


@dataclasses.dataclass(frozen=True, slots=True)
class InDoubt:
    """The key's request may have run; whether it did can't be known.

    Args:
        holder: `vm/incarnation` of the daemon that held the claim.
    """

    holder: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reused:
    """A different request used the key, so this one did not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class Unavailable:
    """The key could not be claimed, so this request did not run.

    Args:
        reason: Cause as a short text for operators.
        earlier_ran: Whether an earlier request with the key ran.
    """

    reason: str
    earlier_ran: errors.Outcome = errors.Outcome.UNKNOWN


ClaimOutcome = Claimed | Answered | Running | InDoubt | Reused | Unavailable
HolderGone = typing.Callable[[str], bool]
