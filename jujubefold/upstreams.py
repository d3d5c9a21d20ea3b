"""Upstreams: lease of the upstream announced on this VM."""

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
    """State that an upstream may announce."""

    WARMING = 'warming'
    SERVING = 'serving'
    DRAINING = 'draining'
    GONE = 'gone'


class Announcement(settings.Model):
    """Body of an announcement, which an upstream repeats as a heartbeat.

    Args:
        service: Service that the upstream serves.
        address: Address on this VM where it listens, `ip:port`.
        slots: Number of requests that it runs concurrently.
        state: Its lifecycle state.
        ttl: Seconds after which an announcement expires if not repeated.
    """

    service: settings.Name
    address: settings.Address
    slots: int = pydantic.Field(ge=1, le=10_000)
    state: AnnouncedState = AnnouncedState.SERVING
    ttl: float = pydantic.Field(default=10.0, ge=1.0, le=MAX_LEASE_S)


@dataclasses.dataclass(frozen=True, slots=True)
class Lease:
    """Last announcement of the upstream on this VM and its expiry.

    Args:
        service: Service name.
        address: `ip:port` on this VM.
        slots: Number of requests that it runs concurrently.
        state: A `messages.UpstreamState`.
        ttl: Seconds for which each heartbeat renews the lease.
        expires_at: Monotonic seconds; infinite for an upstream from settings.
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
        local_hosts: IP addresses of this VM where an upstream may listen.
        lease: Its `Lease`, or None before the first announcement.
        reported: The `Lease` last reported to membership, or None.
    """

    local_hosts: frozenset[str] = frozenset({LOOPBACK})
    lease: Lease | None = None
    reported: Lease | None = None


def new_table(identity, configured=None):
    """Return the `UpstreamTable` of a starting daemon.

    Args:
        identity: An `identity.Identity`.
        configured: A `settings.Upstream`, or None. An upstream configured
            there needs no heartbeat until it announces itself.
    """
    own_addresses = {identity.peer_address, identity.call_address}
    local_hosts = frozenset(
        {LOOPBACK, *(_host(address) for address in own_addresses)}
    )
    table = UpstreamTable(local_hosts)
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
    """Apply an announcement; the next `run` reports changes to membership.

    Args:
        table: An `UpstreamTable`.
        announcement: An `Announcement`.
        now: Monotonic seconds.

    Returns:
        `Ok(Lease)`, or `Error(errors.Invalid)` if the address is not on this
        VM.
    """
    if _host(announcement.address) not in table.local_hosts:
        return expression.Error(
            errors.Invalid('the address does not belong to this VM', 'address')
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
    """End an expired lease and report changes to membership.

    Args:
        tables: The daemon's `core.Tables`.
        context: A `dispatch.Context`.

    Returns:
        Iterator of `effects.Effect`.
    """
    table = tables.upstream
    if table.lease is None:
        return
    if tables.membership.paused_at == context.now:
        _renew_after_pause(table, context.now)
    if context.now >= table.lease.expires_at:
        yield from _expire(table)
    if _has_changed(table.lease, table.reported):
        yield from _report(tables, context)


def _renew_after_pause(table, now):
    # Heartbeats that arrived while this process was paused are still unread.
    until = max(table.lease.expires_at, now + table.lease.ttl)
    table.lease = dataclasses.replace(table.lease, expires_at=until)


def _expire(table):
    lease = table.lease
    if lease.state is messages.UpstreamState.GONE:
        return
    table.lease = dataclasses.replace(lease, state=messages.UpstreamState.GONE)
    yield _record('upstream.lease_lapsed', lease)


def _has_changed(lease, reported):
    if reported is None:
        return True
    return (lease.service, lease.state, lease.slots) != (
        reported.service,
        reported.state,
        reported.slots,
    )


def _report(tables, context):
    table = tables.upstream
    lease = table.lease
    table.reported = lease
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
