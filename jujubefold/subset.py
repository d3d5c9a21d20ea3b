"""Subset: which instances of a service one daemon sends to.

Each daemon ranks the instances by a hash of both names, so that daemons
with the same view spread evenly and a change of one moves few.
"""

import functools
import hashlib
import itertools

# Idle connections that one instance expects at most. With chance spread and
# what its gate lets run and wait, that stays inside 110 for 6 slots.
SENDERS_PER_INSTANCE = 44
MIN_SIZE = 2

_HASH_BITS = 64
_CACHED_POINTS = 16_384


def size(senders, instances):
    """Return how many instances of a service one daemon uses.

    Args:
        senders: Daemons that may send.
        instances: Instances they choose from.
    """
    fitting = SENDERS_PER_INSTANCE * instances // max(1, senders)
    return min(instances, max(MIN_SIZE, fitting))


def choose(me, instances, members):
    """Return the instances this daemon uses: some near, the rest any.

    Args:
        me: This daemon's `messages.Member`.
        instances: Members whose upstreams serve.
        members: All other daemons.

    Returns:
        Sequence of `messages.Member`.
    """
    count = size(len(members) + 1, len(instances))
    if count >= len(instances):
        return instances
    ranked = sorted(instances, key=lambda item: _point(me.vm, item.vm))
    near = [item for item in ranked if _is_near(item, me)]
    chosen = near[: _near_size(count, len(near), me, members)]
    taken = {item.vm for item in chosen}
    rest = (item for item in ranked if item.vm not in taken)
    return [*chosen, *itertools.islice(rest, count - len(chosen))]


def expected_senders(chosen, instances, members):
    """Return how many daemons send to one instance on average."""
    if not instances:
        return 0.0
    return (len(members) + 1) * len(chosen) / len(instances)


def is_keeper(sender, vm, senders):
    """Return whether a sender keeps an idle connection to an instance.

    Args:
        sender: Sending daemon's VM.
        vm: The instance's VM.
        senders: Daemons expected to send to the instance.
    """
    if senders <= SENDERS_PER_INSTANCE:
        return True
    part = _point(f'keep/{sender}', vm) / (1 << _HASH_BITS)
    return part * senders < SENDERS_PER_INSTANCE


def _near_size(count, near, me, members):
    domain = me.failure_domain
    neighbours = 1 + sum(
        [member.failure_domain == domain for member in members]
    )
    bound = SENDERS_PER_INSTANCE // 2 * near // neighbours
    return min((count + 1) // 2, bound)


def _is_near(member, me):
    return member.failure_domain == me.failure_domain


@functools.lru_cache(maxsize=_CACHED_POINTS)
def _point(sender, vm):
    data = f'{sender}/{vm}'.encode()
    digest = hashlib.blake2b(data, digest_size=_HASH_BITS // 8).digest()
    return int.from_bytes(digest)
