"""Models of the operators' HTTP API, shared by daemon and command line."""

import expression
import msgspec

from jujubefold import decoding
from jujubefold import errors
from jujubefold import events
from jujubefold import hlc
from jujubefold import messages

PATCH_ID_PATTERN = r'^[A-Za-z0-9][A-Za-z0-9._:-]{0,127}$'


class Model(msgspec.Struct, frozen=True, kw_only=True):
    """Base of the API's models; decoding ignores unknown fields."""


class Announcement(Model):
    """Service that the upstream on this VM provides, as a lease.

    Args:
        address: `ip:port` where it accepts requests.
        ttl: Seconds until the lease expires unless it is renewed.
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
    """Outcome of the patch with an id.

    Args:
        outcome: `accepted`, `abandoned` or `unused`.
        version: Version that it created, if accepted.
    """

    patch_id: str
    outcome: str
    version: VersionSummary | None = None


class HeldBack(Model):
    """A version that a daemon could not apply, with the reason."""

    number: int
    reason: str


class Status(Model):
    """State that a daemon reports about itself.

    Args:
        in_force: Version number in force; 0 for none.
        serving: Whether it accepts callers' requests.
        head: Highest version number known to it.
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
    """A daemon in the view of another; fields as in `messages.Member`."""

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
    """All daemons in the view of one of them, which is included."""

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
    """A daemon's events that match the filter, oldest first."""

    events: tuple[TimelineEvent, ...]


class Problem(Model):
    """An RFC 9457 problem document with extension members.

    Args:
        type: URN of the problem type.
        ran: Whether the request took effect: `ran`, `did-not-run` or
            `unknown`.
        head: Number of the head version, if the base is not the head.
        clashes: JSON pointers of conflicting changes, if the base is not
            the head.
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
    """Encode a model as JSON bytes."""
    return msgspec.json.encode(model)


def decode(data, model_type):
    """Decode a model from JSON bytes.

    Args:
        data: Bytes received.
        model_type: The model's class.

    Returns:
        `Ok(model)` or `Error(errors.Invalid)` naming the field.
    """
    try:
        return expression.Ok(msgspec.json.decode(data, type=model_type))
    except decoding.FAULTS as error:
        return expression.Error(
            errors.Invalid(str(error), model_type.__name__)
        )


def member_model(member):
    """Convert a `messages.Member` to a `Member`."""
    names = Member.__struct_fields__
    return Member(**{name: getattr(member, name) for name in names})


def event_model(stamped):
    """Convert an `events.RecordedEvent` to a `TimelineEvent`."""
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
    """Convert a `TimelineEvent` to an `events.RecordedEvent`."""
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
