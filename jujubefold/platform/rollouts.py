"""Rollouts: the platform's rows with orders and their status."""

import math

import expression
import msgspec

from jujubefold import errors
from jujubefold.sidecar import rollout

TABLE = 'op'
KEY_PREFIX = 'rollout/'
STATUS_TABLE = 'status'


class _Order(msgspec.Struct):
    service: str
    to: str
    duration_s: float


_decoder = msgspec.json.Decoder(_Order)


def decode_order(row, era):
    """Decode an order.

    Args:
        row: A `rowfeed.Row`.
        era: Era of the store in which it was read.

    Returns:
        `Ok(rollout.Order)` or `Error(errors.Invalid)`.
    """
    try:
        order = _decoder.decode(row.value)
    except (msgspec.DecodeError, UnicodeError) as error:
        return expression.Error(errors.Invalid(str(error), row.key))
    if row.key != KEY_PREFIX + order.service:
        return _invalid(row, 'the service differs from the key')
    if not order.to:
        return _invalid(row, 'the version is empty')
    if not 0 < order.duration_s < math.inf:
        return _invalid(row, 'the duration must be positive')
    return expression.Ok(
        rollout.Order(
            rollout.OrderId(era, row.version),
            order.service,
            order.to,
            order.duration_s,
        )
    )


def _invalid(row, reason):
    return expression.Error(errors.Invalid(reason, row.key))
