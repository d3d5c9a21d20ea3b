"""Identity of a daemon: its VM, addresses and incarnation."""

import dataclasses

_RANDOM_BITS = 16
_MILLISECONDS = 1000


@dataclasses.dataclass(frozen=True, slots=True)
class Identity:
    """Identity of a daemon from its start until it stops.

    Args:
        vm: Name of the upstream VM, unique in the fleet.
        region: Region name from settings.
        failure_domain: Failure domain name from settings.
        peer_address: `ip:port` where other daemons send control messages.
        call_address: `ip:port` where other daemons forward calls.
        admin_address: `ip:port` of the operators' HTTP API.
        incarnation: Number that grows with each start of a daemon on the
            VM.
    """

    vm: str
    region: str
    failure_domain: str
    peer_address: str
    call_address: str
    admin_address: str
    incarnation: int


def new_incarnation(clock, rng):
    """Return an incarnation for a daemon that starts now.

    Args:
        clock: A `clock.Clock`, read once.
        rng: A `random.Random`, whose bits distinguish starts within one
            millisecond.

    Returns:
        Milliseconds since the epoch, shifted left, with random low bits.
    """
    millis = int(clock.wall() * _MILLISECONDS)
    return millis << _RANDOM_BITS | rng.getrandbits(_RANDOM_BITS)
