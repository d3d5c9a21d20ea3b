"""Events of a daemon, as shown on the time line."""

import dataclasses

from jujubefold import hlc


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """An occurrence to record on the time line.

    Args:
        name: Dotted event name, such as `version.in_force`.
        version: Number of the configuration version, or None.
        request: Id of the request, or None.
        patch: Id of the patch, or None.
        detail: Short free text.
    """

    name: str
    version: int | None = None
    request: str | None = None
    patch: str | None = None
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedEvent:
    """An event with the time and the daemon that recorded it.

    Args:
        at: When it was recorded.
        vm: VM name of the daemon.
        incarnation: Incarnation of the daemon.
    """

    at: hlc.Timestamp
    vm: str
    incarnation: int
    event: Event
