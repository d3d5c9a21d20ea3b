"""Dispatch: delivers typed inputs to the modules that handle them."""

import dataclasses
import functools
import random

from jujubefold import messages
from jujubefold import versions


@dataclasses.dataclass(frozen=True, slots=True)
class Context:
    """Environment of a handler, passed along with the tables.

    Args:
        now: Monotonic seconds.
        wall_time: Seconds since the Unix epoch.
        rng: Seeded random number generator.
    """

    now: float
    wall_time: float
    rng: random.Random


@dataclasses.dataclass(frozen=True, slots=True)
class MessageReceived:
    """A message that arrived from another daemon.

    Args:
        sender: Peer address of the sender.
        incarnation: Incarnation of the sender.
        message: The decoded and validated message.
    """

    sender: str
    incarnation: int
    message: messages.Message


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeFailed:
    """An exchange of messages with a peer failed or timed out.

    Args:
        address: Peer address.
    """

    address: str


@dataclasses.dataclass(frozen=True, slots=True)
class HeadRead:
    """Result of `effects.ReadHead`.

    Args:
        number: Head version number, or None if the store failed.
        digest: Digest of the head; '' for the empty mesh.
    """

    number: int | None
    digest: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class VersionsFetched:
    """Result of `effects.FetchVersions`.

    Args:
        versions: In order, without gaps; empty if the store failed.
        document: Canonical document of the last version, if fetched.
    """

    versions: tuple[versions.Version, ...]
    document: bytes | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class PatchAccepted:
    """This daemon accepted an operator's patch as a new version."""

    version: versions.Version


@dataclasses.dataclass(frozen=True, slots=True)
class ContactsRead:
    """Result of `effects.ReadContacts`.

    Args:
        addresses: Peer addresses, or None if the store failed.
    """

    addresses: tuple[str, ...] | None


@dataclasses.dataclass(frozen=True, slots=True)
class UpstreamChanged:
    """The upstream on this VM announced itself or changed state."""

    service: str
    state: messages.UpstreamState
    slots: int


@dataclasses.dataclass(frozen=True, slots=True)
class StopRequested:
    """An operator asked this daemon to leave the fleet."""


@functools.singledispatch
def handle(item, tables, context, sender=''):
    """Apply one input to the tables.

    Modules register a generator function per input type. Input types are the
    classes of this module and the message types; messages are passed
    unwrapped, with `sender` set.

    Args:
        item: The input.
        tables: The daemon's `core.Tables`.
        context: A `Context`.
        sender: Peer address of the sender of a message, otherwise ''.

    Returns:
        Iterator of `effects.Effect`.

    Raises:
        TypeError: No handler is registered for the type.
    """
    raise TypeError(f'no handler is registered for {type(item).__name__}')


@handle.register
def _(item: MessageReceived, tables, context, sender=''):
    yield from handle(item.message, tables, context, item.sender)
