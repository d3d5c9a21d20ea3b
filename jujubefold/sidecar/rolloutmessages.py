"""Rollout messages: encoding of what daemons tell each other of rollouts.

Bodies are compressed: most of a report is names of fields and empty buckets.
"""

import expression
import msgspec

from jujubefold import decoding
from jujubefold import errors
from jujubefold.sidecar import distribution
from jujubefold.sidecar import rollout


class StateEntry(msgspec.Struct, frozen=True):
    """What a daemon knows of the rollouts of one service.

    Args:
        state: The newest `rollout.State`.
        age_ms: Milliseconds since it was new to the sender.
        settled: As in `rolloutstates.Entry`.
        barred: As in `rolloutstates.Entry`.
        confirmed: As in `rolloutstates.Entry`.
    """

    state: rollout.State
    age_ms: int
    settled: str = ''
    barred: tuple[str, ...] = ()
    confirmed: bool = True


class States(msgspec.Struct, frozen=True):
    """What a daemon knows of rollouts; body of `frames.RolloutState`.

    Args:
        entries: Each `StateEntry` that is new, or all.
        orders_read: Whether the sender knows all orders, and names all.
    """

    entries: tuple[StateEntry, ...]
    orders_read: bool = False


_encoder = msgspec.msgpack.Encoder()
_report_decoder = msgspec.msgpack.Decoder(rollout.GateReport)
_states_decoder = msgspec.msgpack.Decoder(States)


def encode(value):
    """Return the body of a message that carries a `msgspec.Struct`."""
    return distribution.compress(_encoder.encode(value))


def decode_report(body):
    """Return `Ok(rollout.GateReport)` or `Error(errors.Invalid)`.

    Args:
        body: Body of a `frames.RolloutReport`.
    """
    result = _decode(_report_decoder, body)
    if result.is_ok() and any(
        len(item.durations) != rollout.BUCKETS for item in result.ok.routes
    ):
        return expression.Error(
            errors.Invalid('the number of buckets is wrong', 'durations')
        )
    return result


def decode_states(body):
    """Return `Ok(States)` or `Error(errors.Invalid)`.

    Args:
        body: Body of a `frames.RolloutState`.
    """
    return _decode(_states_decoder, body)


def _decode(decoder, body):
    try:
        plain = distribution.decompress(body)
    except ValueError as error:
        return expression.Error(errors.Invalid(str(error), 'body'))
    return decoding.decode(decoder, plain, 'body')
