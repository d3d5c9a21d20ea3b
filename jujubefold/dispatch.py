"""Dispatch of typed inputs to the systems that own them."""

import dataclasses
import functools
import random

from jujubefold import messages
from jujubefold import versions


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """What a handler or system may know besides its tables.

    Args:
        now: Monotonic seconds.
        wall_time: Seconds since the epoch.
        rng: Seeded randomness.
    """

    now: float
    wall_time: float
    rng: random.Random


@dataclasses.dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message that arrived from another daemon.

    Args:
        sender: Sender's peer address.
        incarnation: Sender's incarnation.
        message: The message, decoded and checked.
    """

    sender: str
    incarnation: int
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeFailed:
    """A send to `address` got no answer within its timeout."""

    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class HeadRead:
    """Answer to `effects.ReadHead`.

    Args:
        number: Head version number, or None when the store failed.
        digest: Head digest; '' for the empty mesh.
    """

    number: int | None
    digest: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class VersionsFetched:
    """Answer to `effects.FetchVersions`.

    Args:
        versions: In order, without gaps; empty when the store failed.
        document: Canonical document of the last, when it was fetched.
    """

    versions: tuple[versions.Version, ...]
    document: bytes | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PatchAccepted:
    """This daemon's own acceptance of an operator's patch succeeded."""

    version: versions.Version


@dataclasses.dataclass(frozen=True, slots=True)
class ContactsRead:
    """Answer to `effects.ReadContacts`; None when the store failed."""

    addresses: tuple[str, ...] | None


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamChanged:
    """The upstream on this VM announced itself or changed state."""

    service: str
    state: messages.UpstreamState
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """The operator asked this daemon to leave."""


@functools.singledispatch
def handle(item, tables, context, sender=''):
    """Apply one input to the tables.

    Modules register a generator per input type: inputs of this module, and
    message types, which arrive unwrapped with `sender` set.

    Args:
        item: The input.
        tables: The daemon's `core.Tables`.
        context: A `Context`.
        sender: Peer address of a message's sender, else ''.

    Returns:
        Iterator of `effects.Effect`.

    Raises:
        TypeError: No system owns this type.
    """
    raise TypeError(f'no handler for {type(item).__name__}')


@handle.register
def _(item: MessageReceived, tables, context, sender=''):
    yield from handle(item.message, tables, context, item.sender)
