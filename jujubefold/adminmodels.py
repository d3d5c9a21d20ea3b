"""Models of the operators' HTTP API, shared by daemon and command line."""

import expression
import msgspec

from jujubefold import errors
from jujubefold import events
from jujubefold import hlc
from jujubefold import messages

PATCH_ID_PATTERN = r'^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$'


class Model(msgspec.Struct, frozen=True, kw_only=True):
    """Base of the API's models; unknown fields are ignored on reading."""


class Announcement(Model):
    """The upstream on this VM says what it serves; a lease.

    Args:
        address: `ip:port` where it takes requests.
        ttl: Seconds until the announcement lapses unless renewed.
    """

    service: str
    address: str
    slots: int = msgspec.field(default=6)
    state: messages.UpstreamState = messages.UpstreamState.SERVING
    ttl: float = 3.0


class PatchSubmission(Model):
    """An operator's patch against a named base version.

    Args:
        base: Version number that the patch was made against.
        patch: RFC 6902 operations.
    """

    base: int
    patch_id: str
    patch: msgspec.Raw


class VersionSummary(Model):
    """One accepted version, without its document."""

    number: int
    digest: str
    patch_id: str


class VersionDetail(Model):
    """One accepted version with its patch and whole document."""

    summary: VersionSummary
    patch: msgspec.Raw
    document: msgspec.Raw


class PatchState(Model):
    """What is known of a patch id.

    Args:
        outcome: `accepted`, `abandoned` or `unused`.
        version: The version it became, when accepted.
    """

    patch_id: str
    outcome: str
    version: VersionSummary | None = None


class HeldBack(Model):
    """A version that a daemon could not apply, with the reason."""

    number: int
    reason: str


class Status(Model):
    """One daemon's own view of itself.

    Args:
        in_force: Version number in force; 0 for none.
        serving: Whether it takes callers' requests.
        head: Highest version number it has heard of.
    """

    vm: str
    incarnation: int
    region: str
    failure_domain: str
    in_force: int
    digest: str
    head: int
    serving: bool
    draining: bool
    upstream_service: str
    upstream_state: messages.UpstreamState
    slots: int
    running: int
    queued: int
    peer_address: str
    call_address: str
    caller_address: str
    admin_address: str
    uptime_s: float
    held_back: tuple[HeldBack, ...] = ()


class Member(Model):
    """A daemon as another one sees it; fields as `messages.Member`."""

    vm: str
    incarnation: int
    region: str
    failure_domain: str
    peer_address: str
    call_address: str
    admin_address: str
    state: messages.MemberState
    service: str
    upstream_state: messages.UpstreamState
    slots: int
    in_force: int


class Fleet(Model):
    """All daemons as one of them sees them, itself included."""

    seen_by: str
    members: tuple[Member, ...]


class TimelineEvent(Model):
    """One event as JSON."""

    wall_ns: int
    counter: int
    vm: str
    incarnation: int
    name: str
    version: int | None = None
    request: str | None = None
    patch: str | None = None
    detail: str = ''


class TimelinePage(Model):
    """A daemon's events that passed the filter, oldest first."""

    events: tuple[TimelineEvent, ...]


class Problem(Model):
    """A refusal, in the RFC 9457 shape with this project's members.

    Args:
        type: URN of the kind of refusal.
        ran: `ran`, `did-not-run` or `unknown`.
        head: Head version, where the base had moved.
        clashes: JSON pointers that clash, where the base had moved.
        errors: One sentence for each offending value.
    """

    type: str
    title: str
    status: int
    detail: str = ''
    ran: errors.Outcome = errors.Outcome.DID_NOT_RUN
    head: int | None = None
    clashes: tuple[str, ...] = ()
    errors: tuple[str, ...] = ()


def encode(model):
    """Return a model as JSON bytes."""
    return msgspec.json.encode(model)


def decode(data, kind):
    """Return JSON bytes as a model.

    Args:
        data: Bytes from outside.
        kind: The model's class.

    Returns:
        `Ok(model)` or `Error(errors.Invalid)` naming the field.
    """
    try:
        return expression.Ok(msgspec.json.decode(data, type=kind))
    except (msgspec.DecodeError, RecursionError, UnicodeError) as error:
        return expression.Error(errors.Invalid(str(error), kind.__name__))


def member_model(member):
    """Return a `messages.Member` as a `Member`."""
    names = Member.__struct_fields__
    return Member(**{name: getattr(member, name) for name in names})


def event_model(stamped):
    """Return an `events.RecordedEvent` as a `TimelineEvent`."""
    event = stamped.event
    return TimelineEvent(
        wall_ns=stamped.at.wall_ns,
        counter=stamped.at.counter,
        vm=stamped.vm,
        incarnation=stamped.incarnation,
        name=event.name,
        version=event.version,
        request=event.request,
        patch=event.patch,
        detail=event.detail,
    )


def stamped_event(model):
    """Return a `TimelineEvent` as an `events.RecordedEvent`."""
    return events.RecordedEvent(
        at=hlc.Timestamp(model.wall_ns, model.counter),
        vm=model.vm,
        incarnation=model.incarnation,
        event=events.Event(
            name=model.name,
            version=model.version,
            request=model.request,
            patch=model.patch,
            detail=model.detail,
        ),
    )
