"""Errors as values: what went wrong, said precisely enough to act on."""

import dataclasses
import enum


class Outcome(enum.StrEnum):
    """What is known about whether a request or a write took effect."""

    RAN = 'ran'
    DID_NOT_RUN = 'did-not-run'
    UNKNOWN = 'unknown'


class BrokenInvariant(Exception):
    """The process found its own state inconsistent and must stop."""


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """Base of every failure value.

    Args:
        reason: One sentence a person can act on.
    """

    reason: str


@dataclasses.dataclass(frozen=True, slots=True)
class ConditionFailed(Failure):
    """The store refused a transaction and changed nothing.

    Args:
        failed: Indexes of the writes whose conditions did not hold.
    """

    failed: tuple[int, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class StoreNotRun(Failure):
    """The store call provably had no effect (never sent or refused)."""


@dataclasses.dataclass(frozen=True, slots=True)
class StoreOutcomeUnknown(Failure):
    """The store call may or may not have taken effect."""


StoreFailure = ConditionFailed | StoreNotRun | StoreOutcomeUnknown


@dataclasses.dataclass(frozen=True, slots=True)
class PeerUnreachable(Failure):
    """A message to another daemon got no reply."""


@dataclasses.dataclass(frozen=True, slots=True)
class Invalid(Failure):
    """Input from outside that does not fit its model.

    Args:
        where: File, key or JSON pointer of the offending value.
    """

    where: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class StaleBase(Failure):
    """A patch named a base version that is not the head.

    Args:
        head: Number of the head version now.
        clashes: JSON pointers changed both by the patch and since its base.
    """

    head: int = 0
    clashes: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PatchAbandoned(Failure):
    """The patch id was abandoned, so the patch provably did not run."""


@dataclasses.dataclass(frozen=True, slots=True)
class PatchIdReused(Failure):
    """The patch id was accepted before with a different patch."""


SubmitFailure = (
    Invalid
    | StaleBase
    | PatchAbandoned
    | PatchIdReused
    | StoreNotRun
    | StoreOutcomeUnknown
)
