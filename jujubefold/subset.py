"""Subset: the instances of a service that one daemon sends to.

Each daemon ranks the instances by a hash of both VM names (rendezvous
hashing). Daemons with the same view spread evenly over the instances, and
the change of one instance changes few subsets.
"""

import functools
import hashlib
import itertools

# Maximum expected number of idle connections per instance. With random
# variation, and with the attempts that run and wait at its gate, an instance
# with 6 slots stays within 110 connections.
SENDERS_PER_INSTANCE = 44
MIN_SIZE = 2

_HASH_BITS = 64
_CACHED_RANKS = 16_384


def size(senders, instances):
    """Return the number of instances of a service that one daemon uses.

    Args:
        senders: Number of daemons that may send.
        instances: Number of instances that they choose from.
    """
    target = SENDERS_PER_INSTANCE * instances // max(1, senders)
    return min(instances, max(MIN_SIZE, target))


def choose(own_member, instances, members):
    """Return the instances that this daemon uses.

    Up to half of them are chosen from its own failure domain, the rest from
    all.

    Args:
        own_member: This daemon's `messages.Member`.
        instances: Members whose upstreams serve.
        members: All other daemons.

    Returns:
        Sequence of `messages.Member`.
    """
    count = size(len(members) + 1, len(instances))
    if count >= len(instances):
        return instances
    ranked = sorted(instances, key=lambda item: _rank(own_member.vm, item.vm))
    nearby = [item for item in ranked if _is_near(item, own_member)]
    chosen = nearby[: _near_size(count, len(nearby), own_member, members)]
    taken = {item.vm for item in chosen}
    rest = (item for item in ranked if item.vm not in taken)
    return [*chosen, *itertools.islice(rest, count - len(chosen))]


def expected_senders(chosen, instances, members):
    """Return the average number of daemons that send to one instance.

    Args:
        chosen: Instances that this daemon uses.
        instances: All instances.
        members: All other daemons.
    """
    if not instances:
        return 0.0
    return (len(members) + 1) * len(chosen) / len(instances)


def keeps_idle_connection(sender, vm, senders):
    """Return whether a sender keeps an idle connection to an instance.

    If more than `SENDERS_PER_INSTANCE` senders are expected, a hash selects
    about that many of them.

    Args:
        sender: VM name of the sending daemon.
        vm: VM name of the instance.
        senders: Expected number of daemons that send to the instance.
    """
    if senders <= SENDERS_PER_INSTANCE:
        return True
    fraction = _rank(f'keep/{sender}', vm) / (1 << _HASH_BITS)
    return fraction * senders < SENDERS_PER_INSTANCE


def _near_size(count, nearby, own_member, members):
    domain = own_member.failure_domain
    local_senders = 1 + sum(
        [member.failure_domain == domain for member in members]
    )
    bound = SENDERS_PER_INSTANCE // 2 * nearby // local_senders
    return min((count + 1) // 2, bound)


def _is_near(member, own_member):
    return member.failure_domain == own_member.failure_domain


@functools.lru_cache(maxsize=_CACHED_RANKS)
def _rank(sender, vm):
    data = f'{sender}/{vm}'.encode()
    digest = hashlib.blake2b(data, digest_size=_HASH_BITS // 8).digest()
    return int.from_bytes(digest)
