"""Spread: who reads versions from the platform, and who tells whom.

A few daemons of each failure domain follow the platform; each of them tells
its part of the others, as a difference from the version before. Answers
fleets whose small links a whole configuration would fill for long.
"""

import bisect
import dataclasses

import zstandard

# Daemons of each failure domain that follow the platform. Each costs it
# calls; when both are gone, the others follow it themselves.
READERS = 2
# Daemons told of a version by each that has it: so many of the own failure
# domain, and of others.
TOLD_NEAR = 3
TOLD_FAR = 1
# Versions kept to tell differences from.
KEPT_VERSIONS = 8
LEVEL = 3
# Bytes that a document may have.
MAX_BYTES = 64 * 1024 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Node:
    """A daemon that can be reached, or this one.

    Args:
        vm: Name of its VM.
        capacity: Megabits a second of its link; larger ones read first.
    """

    vm: str
    capacity: float


def readers(places):
    """Return the names of those that follow the platform.

    Args:
        places: `Node` of each daemon of one failure domain.
    """
    order = sorted(places, key=lambda item: (-item.capacity, item.vm))
    return tuple(item.vm for item in order[:READERS])


def recipients(reader, places):
    """Return the names of those that a reader tells.

    Args:
        reader: Name of one of `readers`.
        places: As in `readers`.
    """
    reading = readers(places)
    if reader not in reading:
        return ()
    others = sorted({item.vm for item in places} - set(reading))
    return tuple(others[reading.index(reader) :: len(reading)])


def successors(me, near, far):
    """Return the names of those next to this daemon, near ones first.

    Args:
        me: Name of this daemon's VM.
        near: Names of reachable daemons of its failure domain.
        far: Names of others.
    """
    return (*_next(me, near, TOLD_NEAR), *_next(me, far, TOLD_FAR))


def compress(body, base=b''):
    """Return a document as bytes that `decompress` understands.

    Args:
        body: The document.
        base: A document that the other end has, or b''.
    """
    return zstandard.ZstdCompressor(
        level=LEVEL, dict_data=_dictionary(base)
    ).compress(body)


def decompress(data, base=b''):
    """Return the document in packed bytes.

    Raises:
        ValueError: The bytes make no sense with this base.
    """
    try:
        return zstandard.ZstdDecompressor(
            dict_data=_dictionary(base)
        ).decompress(data, max_output_size=MAX_BYTES)
    except zstandard.ZstdError as error:
        raise ValueError(str(error)) from error


def _dictionary(base):
    if not base:
        return None
    return zstandard.ZstdCompressionDict(
        base, dict_type=zstandard.DICT_TYPE_RAWCONTENT
    )


def _next(me, names, count):
    names = sorted(names)
    at = bisect.bisect(names, me)
    return (names[at:] + names[:at])[:count]
