"""Batching: groups outgoing messages into envelopes of bounded size."""

import dataclasses

import msgspec

from jujubefold import effects
from jujubefold import messages

# Leaves room for the envelope's own fields within the receiver's limit.
MAX_BATCH_BYTES = messages.MAX_ENVELOPE_BYTES - 4096
MAX_BATCH_MESSAGES = 256

_encoder = msgspec.msgpack.Encoder()


@dataclasses.dataclass(frozen=True, slots=True)
class Batch:
    """Messages that one envelope carries to one address.

    Args:
        to: Peer address.
        messages: Tuple of `messages.Message`, in sending order.
    """

    to: str
    messages: tuple[messages.Message, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class SplitEffects:
    """Effects of one received envelope, split by how they are carried out.

    Args:
        answer: Messages for the envelope that answers the exchange.
        remaining: All other effects, in order.
    """

    answer: tuple[messages.Message, ...]
    remaining: tuple[effects.Effect, ...]


def split_answer(produced, sender):
    """Separate the messages that can answer the exchange being handled.

    Args:
        produced: Iterable of `effects.Effect`.
        sender: Peer address that sent the envelope.

    Returns:
        A `SplitEffects`, whose answer is no larger than one batch.
    """
    answer = []
    remaining = []
    free_bytes = MAX_BATCH_BYTES
    for effect in produced:
        size = _answer_size(effect, sender)
        if (
            size is None
            or size > free_bytes
            or len(answer) == MAX_BATCH_MESSAGES
        ):
            remaining.append(effect)
        else:
            free_bytes -= size
            answer.append(effect.message)
    return SplitEffects(tuple(answer), tuple(remaining))


def batch_sends(sends):
    """Group sends by address into batches of bounded size.

    Addresses with an urgent message come first.

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


def _split(to, pending):
    batch = []
    free_bytes = MAX_BATCH_BYTES
    for message in pending:
        size = _size(message)
        if batch and (size > free_bytes or len(batch) == MAX_BATCH_MESSAGES):
            yield Batch(to, tuple(batch))
            batch = []
            free_bytes = MAX_BATCH_BYTES
        free_bytes -= size
        batch.append(message)
    yield Batch(to, tuple(batch))


def _size(message):
    return len(_encoder.encode(message))
