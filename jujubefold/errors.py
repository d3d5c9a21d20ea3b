"""Errors that functions return as values."""

import dataclasses
import enum


class Outcome(enum.StrEnum):
    """Whether a request or a write is known to have taken effect."""

    RAN = 'ran'
    DID_NOT_RUN = 'did-not-run'
    UNKNOWN = 'unknown'


class BrokenInvariant(Exception):
    """The state of the process is inconsistent, so it must stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Base of all failure values.

    Args:
        reason: One sentence for the operator that states the cause.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConditionFailed(Failure):
    """A condition of a transaction did not hold; nothing was written.

    Args:
        failed: Indexes of the writes whose conditions did not hold.
    """

    failed: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class StoreNotRun(Failure):
    """The store call is known to have had no effect: not sent, or refused."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreOutcomeUnknown(Failure):
    """The store call may or may not have taken effect."""


StoreFailure = ConditionFailed | StoreNotRun | StoreOutcomeUnknown


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUnreachable(Failure):
    """Another daemon did not answer a message."""


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid(Failure):
    """External input that failed validation.

    Args:
        where: File, key or JSON pointer of the invalid value.
    """

    where: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class StaleBase(Failure):
    """The base version of a patch is not the head.

    Args:
        head: Number of the current head version.
        clashes: JSON pointers that both the patch and a version after its
            base have changed.
    """

    head: int = 0
    clashes: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PatchAbandoned(Failure):
    """The patch id was abandoned, so the patch never takes effect."""


@dataclasses.dataclass(frozen=True, slots=True)
class PatchIdReused(Failure):
    """The patch id was already accepted with a different patch."""


SubmitFailure = (
    Invalid
    | StaleBase
    | PatchAbandoned
    | PatchIdReused
    | StoreNotRun
    | StoreOutcomeUnknown
)
