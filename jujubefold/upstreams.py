"""Upstreams: the lease of the upstream that announced itself on this VM."""

import dataclasses
import enum
import math

import expression
import pydantic

from jujubefold import dispatch
from jujubefold import effects
from jujubefold import errors
from jujubefold import events
from jujubefold import messages
from jujubefold import settings

MAX_LEASE_S = 300.0
LOOPBACK = '127.0.0.1'


class AnnouncedState(enum.StrEnum):
    """States that an upstream may announce."""

    WARMING = 'warming'
    SERVING = 'serving'
    DRAINING = 'draining'
    GONE = 'gone'


class Announcement(settings.Model):
    """Body of an upstream's announcement, repeated as its heartbeat.

    Args:
        service: Service that the upstream serves.
        address: Where it listens, on this VM.
        slots: Requests that it runs at once.
        state: Where it is in its life.
        ttl: Seconds after which an announcement not repeated lapses.
    """

    service: settings.Name
    address: settings.Address
    slots: int = pydantic.Field(ge=1, le=10_000)
    state: AnnouncedState = AnnouncedState.SERVING
    ttl: float = pydantic.Field(default=10.0, ge=1.0, le=MAX_LEASE_S)


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """What the upstream on this VM said last, and until when it counts.

    Args:
        service: Service name.
        address: `ip:port` on this VM.
        slots: Requests that it runs at once.
        state: A `messages.UpstreamState`.
        ttl: Seconds that a heartbeat extends the lease by.
        expires_at: Monotonic seconds; infinite for one from settings.
    """

    service: str
    address: str
    slots: int
    state: messages.UpstreamState
    ttl: float
    expires_at: float


@dataclasses.dataclass(slots=True)
class UpstreamTable:
    """The upstream on this VM.

    Args:
        hosts: IP numbers of this VM that an upstream may listen on.
        lease: Its `Lease`, or None before the first announcement.
        told: The lease that membership was told of, or None.
    """

    hosts: frozenset[str] = frozenset({LOOPBACK})
    lease: Lease | None = None
    told: Lease | None = None


def new_table(identity, configured=None):
    """Return the table of a daemon that starts.

    Args:
        identity: An `identity.Identity`.
        configured: A `settings.Upstream`; an upstream named there needs
            no heartbeat until it announces itself.
    """
    own = {identity.peer_address, identity.call_address}
    hosts = frozenset({LOOPBACK, *(_host(address) for address in own)})
    table = UpstreamTable(hosts)
    if configured and configured.address and configured.service:
        table.lease = Lease(
            configured.service,
            configured.address,
            configured.slots,
            messages.UpstreamState.SERVING,
            math.inf,
            math.inf,
        )
    return table


def announce(table, announcement, now):
    """Take in an announcement; the next tick tells the fleet of changes.

    Args:
        table: An `UpstreamTable`.
        announcement: An `Announcement`.
        now: Monotonic seconds.

    Returns:
        `Ok(Lease)`, or `Error(errors.Invalid)` for an address elsewhere.
    """
    if _host(announcement.address) not in table.hosts:
        return expression.Error(
            errors.Invalid('not an address of this VM', 'address')
        )
    table.lease = Lease(
        announcement.service,
        announcement.address,
        announcement.slots,
        messages.UpstreamState(announcement.state),
        announcement.ttl,
        now + announcement.ttl,
    )
    return expression.Ok(table.lease)


def run(tables, context):
    """End a lapsed lease, and tell membership what changed.

    Returns:
        Iterator of `effects.Effect`.
    """
    table = tables.upstream
    if table.lease is None:
        return
    if tables.membership.paused_at == context.now:
        _extend(table, context.now)
    if context.now >= table.lease.expires_at:
        yield from _lapse(table)
    if _differs(table.lease, table.told):
        yield from _tell(tables, context)


def _extend(table, now):
    # Heartbeats sent while this process was paused have not been read yet.
    until = max(table.lease.expires_at, now + table.lease.ttl)
    table.lease = dataclasses.replace(table.lease, expires_at=until)


def _lapse(table):
    lease = table.lease
    if lease.state is messages.UpstreamState.GONE:
        return
    table.lease = dataclasses.replace(lease, state=messages.UpstreamState.GONE)
    yield _record('upstream.lease_lapsed', lease)


def _differs(lease, told):
    if told is None:
        return True
    return (lease.service, lease.state, lease.slots) != (
        told.service,
        told.state,
        told.slots,
    )


def _tell(tables, context):
    table = tables.upstream
    lease = table.lease
    table.told = lease
    yield _record(f'upstream.{lease.state.value}', lease)
    yield from dispatch.handle(
        dispatch.UpstreamChanged(lease.service, lease.state, lease.slots),
        tables,
        context,
    )


def _record(name, lease):
    detail = f'{lease.service} at {lease.address}'
    return effects.RecordEvent(events.Event(name, detail=detail))


def _host(address):
    return address.rpartition(':')[0]
