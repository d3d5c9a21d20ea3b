"""Roster: the daemons of the fleet and their addresses and locations."""

import dataclasses
import ipaddress
import math

import expression
import msgspec

from jujubefold import decoding
from jujubefold import errors


class Member(msgspec.Struct, frozen=True):
    """A daemon's row in the platform's table of members.

    Args:
        vm: Name of its VM; the row's key.
        incarnation: Identifies the start of the daemon.
        address: Where its gate listens, `ip:port`.
        service: Service of the upstream beside it.
        region: Region of the VM.
        failure_domain: Failure domain of the VM.
        capacity: Megabits a second of the VM's link.
    """

    vm: str
    incarnation: int
    address: str
    service: str
    region: str
    failure_domain: str
    capacity: float = 0.0


_PORTS = range(1, 65536)
_MAX_PORT_DIGITS = 5
_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Member)


def encode(member):
    """Return the bytes of a member's row."""
    return _encoder.encode(member)


def decode(value):
    """Decode and check the bytes of a member's row.

    Returns:
        `Ok(Member)` or `Error(errors.Invalid)`.
    """
    return decoding.decode(_decoder, value, 'member').bind(check)


def check(member):
    """Check a member, whose row or message may come from another writer.

    Returns:
        `Ok(Member)` or `Error(errors.Invalid)`.
    """
    reason = next(_faults(member), None)
    if reason is None:
        return expression.Ok(member)
    return expression.Error(errors.Invalid(reason, 'member'))


def _faults(member):
    """Yield the reason for each wrong value of a member."""
    if not member.vm:
        yield 'a member needs a VM name'
    if not 0 <= member.incarnation <= decoding.MAX_COUNT:
        yield 'an incarnation must be a number of 63 bits'
    if not _is_address(member.address):
        yield f'{member.address!r} is not an `ip:port`'
    if not 0 <= member.capacity < math.inf:
        yield 'a capacity must not be negative'


def _is_address(text):
    host, _, port = text.rpartition(':')
    if not (port.isdecimal() and len(port) <= _MAX_PORT_DIGITS):
        return False
    try:
        ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return int(port) in _PORTS


def distance(local, other):
    """Return the distance of a daemon, a key of `balancer.DISTANCE_COST_S`.

    Args:
        local: This daemon's `Member`.
        other: `Member` of the daemon.
    """
    if other.vm == local.vm:
        return 'own'
    if other.region != local.region:
        return 'far'
    if other.failure_domain != local.failure_domain:
        return 'region'
    return 'domain'


@dataclasses.dataclass(slots=True)
class RosterTable:
    """The fleet's members.

    Args:
        local: This daemon's `Member`.
        members: Last known `Member` of each other daemon, by VM name.
        complete: Whether all rows have been read once; until then there may
            be many more daemons.
    """

    local: Member
    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    complete: bool = False

    @property
    def size(self):
        """Upper bound of the daemons that run, this one included."""
        return len(self.members) + 1 if self.complete else math.inf


def update(table, member):
    """Add or replace a member; return whether anything changed.

    Args:
        table: A `RosterTable`.
        member: A `Member` received in a row or over a link.
    """
    if member.vm == table.local.vm or table.members.get(member.vm) == member:
        return False
    table.members[member.vm] = member
    return True


def remove(table, vm):
    """Remove a member; return whether it was known.

    Args:
        table: A `RosterTable`.
        vm: Name of its VM.
    """
    return table.members.pop(vm, None) is not None
