"""Roster: which daemons there are, and what is known of each."""

import dataclasses
import math

import expression
import msgspec

from jujubefold import errors


class Member(msgspec.Struct, frozen=True):
    """A daemon, as it writes itself into the platform's table.

    Args:
        vm: Name of its VM; the row's key.
        incarnation: Its start.
        address: Where its gate listens, `ip:port`.
        service: Service of the upstream beside it.
        region: Where it is.
        failure_domain: Where it is.
        capacity: Megabits a second of its link.
    """

    vm: str
    incarnation: int
    address: str
    service: str
    region: str
    failure_domain: str
    capacity: float = 0.0


_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(Member)


def encode(member):
    """Return a member as the bytes of its row."""
    return _encoder.encode(member)


def decode(value):
    """Return the member in a row's bytes.

    Returns:
        `Ok(Member)` or `Error(errors.Invalid)`.
    """
    try:
        return expression.Ok(_decoder.decode(value))
    except (msgspec.DecodeError, UnicodeError) as error:
        return expression.Error(errors.Invalid(str(error), 'member'))


def distance(mine, other):
    """Return how far another daemon is, as `balancer.DISTANCE_COST_S` has it.

    Args:
        mine: This daemon's `Member`.
        other: Another one.
    """
    if other.vm == mine.vm:
        return 'own'
    if other.region != mine.region:
        return 'far'
    if other.failure_domain != mine.failure_domain:
        return 'region'
    return 'domain'


@dataclasses.dataclass(slots=True)
class RosterTable:
    """Members by VM name, this daemon left out.

    Args:
        local: This daemon's own `Member`.
        members: What rows and links said last.
        complete: Whether all rows were read once; until then there may be
            many more daemons.
    """

    local: Member
    members: dict[str, Member] = dataclasses.field(default_factory=dict)
    complete: bool = False

    @property
    def size(self):
        """How many daemons may be at work, this one included."""
        return len(self.members) + 1 if self.complete else math.inf


def update(table, member):
    """Take a member that a row or a link told of; return whether it is new.

    Args:
        table: A `RosterTable`.
        member: A `Member`.
    """
    if member.vm == table.local.vm or table.members.get(member.vm) == member:
        return False
    table.members[member.vm] = member
    return True


def remove(table, vm):
    """Drop a member whose row was taken out; return whether it was there."""
    return table.members.pop(vm, None) is not None
