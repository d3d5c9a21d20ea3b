"""Effects: what the decision core asks its shell to do."""

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
        message: What to send.
        urgent: Leave at once instead of waiting for the tick's batch.
    """

    to: str
    message: messages.Message
    urgent: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class RecordEvent(Effect):
    """Put an event on this daemon's time line."""

    event: events.Event


@dataclasses.dataclass(frozen=True, slots=True)
class ReadHead(Effect):
    """Read the head row of the version table; answers `HeadRead`."""


@dataclasses.dataclass(frozen=True, slots=True)
class FetchVersions(Effect):
    """Fetch versions from the platform; answers `VersionsFetched`.

    Args:
        after: Version number held now; 0 for none.
        upto: Highest version number wanted.
        whole: Fetch only `upto`, with its document.
    """

    after: int
    upto: int
    whole: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class ActivateVersion(Effect):
    """Swap the mesh in force for this one.

    Args:
        version: The version now in force, already validated whole.
    """

    version: versions.Held


@dataclasses.dataclass(frozen=True, slots=True)
class ReadContacts(Effect):
    """Read the contact table; answers `ContactsRead`."""


@dataclasses.dataclass(frozen=True, slots=True)
class WriteContact(Effect):
    """Write this daemon's row in the contact table (rare)."""

    slot: int


@dataclasses.dataclass(frozen=True, slots=True)
class Stop(Effect):
    """Stop this daemon: another one has taken its name or address.

    Args:
        reason: One sentence for the log.
    """

    reason: str
