"""Distribution: how configuration versions get from the platform to daemons.

Only a few daemons of each failure domain, the readers, follow the platform.
Each reader sends new versions to its share of the other daemons there,
compressed against the previous version, because sending a whole configuration
would occupy small links for long.
"""

import bisect
import dataclasses

import zstandard

# Readers of each failure domain. Each one adds calls to the platform; if both
# fail, the other daemons follow the platform themselves.
READERS = 2
# Daemons in the own failure domain, and in others, to which each daemon
# announces a new version.
NEAR_SUCCESSORS = 3
FAR_SUCCESSORS = 1
# Versions kept as bases of compression.
KEPT_VERSIONS = 8
COMPRESSION_LEVEL = 3
# Bytes of the largest document that is decompressed.
MAX_DOCUMENT_BYTES = 64 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Node:
    """This daemon, or another one that is reachable.

    Args:
        vm: Name of its VM.
        capacity: Megabits a second of the VM's link; daemons with the largest
            links become readers.
    """

    vm: str
    capacity: float


def readers(nodes):
    """Return the VM names of a failure domain's readers.

    Args:
        nodes: `Node` of each daemon of the failure domain.
    """
    order = sorted(nodes, key=lambda item: (-item.capacity, item.vm))
    return tuple(item.vm for item in order[:READERS])


def recipients(reader, nodes):
    """Return the VM names of the daemons to which a reader sends versions.

    Args:
        reader: VM name; a daemon that is no reader has no recipients.
        nodes: As in `readers`.
    """
    all_readers = readers(nodes)
    if reader not in all_readers:
        return ()
    others = sorted({item.vm for item in nodes} - set(all_readers))
    return tuple(others[all_readers.index(reader) :: len(all_readers)])


def successors(local, near, far):
    """Return the VM names of the daemons that versions are announced to.

    They follow in the order of names, at distances that grow by a factor. So
    an announcement reaches all daemons in few hops, and also if some that
    follow each other are frozen.

    Args:
        local: Name of this daemon's VM.
        near: VM names of reachable daemons in its failure domain.
        far: VM names of reachable daemons in other ones.
    """
    return (
        *_following(local, near, NEAR_SUCCESSORS),
        *_following(local, far, FAR_SUCCESSORS),
    )


def compress(body, base=b''):
    """Return a document compressed for `decompress`.

    Args:
        body: Bytes of the document.
        base: Bytes of a document that the receiver has, or b''.
    """
    return zstandard.ZstdCompressor(
        level=COMPRESSION_LEVEL, dict_data=_dictionary(base)
    ).compress(body)


def decompress(data, base=b''):
    """Return the document in compressed bytes.

    Args:
        data: What `compress` returned.
        base: The base that it was compressed against.

    Raises:
        ValueError: The bytes can't be decompressed with this base.
    """
    try:
        return zstandard.ZstdDecompressor(
            dict_data=_dictionary(base)
        ).decompress(data, max_output_size=MAX_DOCUMENT_BYTES)
    except zstandard.ZstdError as error:
        raise ValueError(str(error)) from error


def _dictionary(base):
    if not base:
        return None
    return zstandard.ZstdCompressionDict(
        base, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )


def _following(local, names, count):
    names = sorted(names)
    start = bisect.bisect(names, local)
    names = names[start:] + names[:start]
    if len(names) <= count:
        return names
    return [names[distance - 1] for distance in _distances(len(names), count)]


def _distances(size, count):
    """Yield increasing distances from 1, below a ring's size."""
    distance = 0
    for index in range(count):
        distance = max(distance + 1, round(size ** (index / count)))
        yield distance
