"""Effects: actions that the decision core asks the runtime to carry out."""

import dataclasses

from jujubefold import events
from jujubefold import messages
from jujubefold import versions


@dataclasses.dataclass(frozen=True, slots=True)
class Effect:
    """Base of all effects."""


@dataclasses.dataclass(frozen=True, slots=True)
class Send(Effect):
    """Send a message to another daemon.

    Args:
        to: Peer address, `ip:port`.
        message: A `messages.Message`.
        urgent: Whether its batch is sent before those without urgent
            messages.
    """

    to: str
    message: messages.Message
    urgent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RecordEvent(Effect):
    """Add an event to this daemon's timeline."""

    event: events.Event


@dataclasses.dataclass(frozen=True, slots=True)
class ReadHead(Effect):
    """Read the head row of the version table; answered by `HeadRead`."""


@dataclasses.dataclass(frozen=True, slots=True)
class FetchVersions(Effect):
    """Fetch versions from the platform; answered by `VersionsFetched`.

    Args:
        after: Number of the version held; 0 for none.
        upto: Highest version number to fetch.
        whole: Whether to fetch only `upto`, with its document.
    """

    after: int
    upto: int
    whole: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ActivateVersion(Effect):
    """Replace the mesh in force by that of a version.

    Args:
        version: The version to put in force, already validated as a whole.
    """

    version: versions.CompiledVersion


@dataclasses.dataclass(frozen=True, slots=True)
class ReadContacts(Effect):
    """Read the contact table; answered by `ContactsRead`."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteContact(Effect):
    """Write this daemon's address to a slot of the contact table."""

    slot: int


@dataclasses.dataclass(frozen=True, slots=True)
class Stop(Effect):
    """Stop this daemon, because it can no longer be a member of the fleet.

    Args:
        reason: One sentence for the log.
    """

    reason: str
