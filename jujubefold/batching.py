"""Peering: which messages travel together, and which go back as answers."""

import dataclasses

import msgspec

from jujubefold import effects
from jujubefold import messages

# Leaves room for the envelope's own fields below the receiver's bound.
MAX_BATCH_BYTES = messages.MAX_ENVELOPE_BYTES - 4096
MAX_BATCH_MESSAGES = 256

_encoder = msgspec.msgpack.Encoder()


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Messages that one envelope carries to one address.

    Args:
        to: Peer address.
        messages: Tuple of `messages.Message`, in order.
    """

    to: str
    messages: tuple[messages.Message, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SplitEffects:
    """Effects of one received envelope, sorted by how they leave.

    Args:
        answer: Messages for the answering envelope.
        remaining: All other effects, in order.
    """

    answer: tuple[messages.Message, ...]
    remaining: tuple[effects.Effect, ...]


def split_answer(produced, sender):
    """Split off the sends that answer the exchange being handled.

    Args:
        produced: Iterable of `effects.Effect`.
        sender: Peer address of the envelope being handled.

    Returns:
        A `SplitEffects`, whose answer is no larger than one batch.
    """
    answer = []
    rest = []
    room = MAX_BATCH_BYTES
    for effect in produced:
        size = _answer_size(effect, sender)
        if size is None or size > room or len(answer) == MAX_BATCH_MESSAGES:
            rest.append(effect)
        else:
            room -= size
            answer.append(effect.message)
    return SplitEffects(tuple(answer), tuple(rest))


def batch_sends(sends):
    """Group sends by address, urgent addresses first, within bounds.

    Args:
        sends: Iterable of `effects.Send`.

    Returns:
        Iterator of `Batch`; order is kept within an address.
    """
    by_address = {}
    urgent = {}
    for send in sends:
        by_address.setdefault(send.to, []).append(send.message)
        urgent[send.to] = urgent.get(send.to, False) or send.urgent
    for to in sorted(by_address, key=lambda to: not urgent[to]):
        yield from _split(to, by_address[to])


def _answer_size(effect, sender):
    if not isinstance(effect, effects.Send) or effect.to != sender:
        return None
    return _size(effect.message)


def _split(to, queued):
    part = []
    room = MAX_BATCH_BYTES
    for message in queued:
        size = _size(message)
        if part and (size > room or len(part) == MAX_BATCH_MESSAGES):
            yield Batch(to, tuple(part))
            part = []
            room = MAX_BATCH_BYTES
        room -= size
        part.append(message)
    yield Batch(to, tuple(part))


def _size(message):
    return len(_encoder.encode(message))
