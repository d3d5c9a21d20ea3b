"""Events of the time line, as recorded by one daemon."""

import dataclasses

from jujubefold import hlc


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """Something worth seeing on the time line.

    Args:
        name: Dotted event name, such as `version.in_force`.
        version: Configuration version concerned, or None.
        request: Request id concerned, or None.
        patch: Patch id concerned, or None.
        detail: Short free text.
    """

    name: str
    version: int | None = None
    request: str | None = None
    patch: str | None = None
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class RecordedEvent:
    """An event with the daemon and time that recorded it."""

    at: hlc.Timestamp
    vm: str
    incarnation: int
    event: Event
