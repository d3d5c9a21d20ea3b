"""Rollouts: the platform's orders for a new version, and their status."""

import expression
import msgspec

from jujubefold import decoding
from jujubefold import errors
from jujubefold.sidecar import rollout
from jujubefold.sidecar import rolloutcontroller

ORDERS_TABLE = 'op'
STATUS_TABLE = 'status'
KEY_PREFIX = 'rollout/'
MAX_DURATION_S = 30 * 86_400.0


class _Order(msgspec.Struct):
    service: str
    to: str
    duration_s: float


class _Status(msgspec.Struct, omit_defaults=True):
    state: str
    to: str
    reason: str = ''


_order_decoder = msgspec.json.Decoder(_Order)
_STATES = {
    rollout.Phase.COMPLETED: 'completed',
    rollout.Phase.ROLLED_BACK: 'rolled_back',
}


def key(service):
    """Return the key of a service's order and of its status."""
    return KEY_PREFIX + service


def service_of(row_key):
    """Return the service that a key of an order names; '' for other keys."""
    if not row_key.startswith(KEY_PREFIX):
        return ''
    return row_key.removeprefix(KEY_PREFIX)


def decode_order(row, era):
    """Return an order.

    Args:
        row: `rowfeed.Row` of `ORDERS_TABLE`, with a value.
        era: Era of the store in which it was read.

    Returns:
        `Ok(rollout.Order)` or `Error(errors.Invalid)`.
    """
    decoded = decoding.decode(_order_decoder, row.value, row.key)
    if decoded.is_error():
        return decoded
    found = decoded.ok
    if found.service != service_of(row.key):
        return _invalid(row, 'the key names another service')
    if not found.to:
        return _invalid(row, 'the version is empty')
    if not 0 < found.duration_s <= MAX_DURATION_S:
        return _invalid(
            row, f'the duration is not between 0 and {MAX_DURATION_S} seconds'
        )
    return expression.Ok(
        rollout.Order(
            rollout.OrderId(era, row.version),
            found.service,
            found.to,
            found.duration_s,
        )
    )


def read_orders(rows, era):
    """Return what `rolloutcontroller.Controller.set_orders` takes.

    Args:
        rows: All `rowfeed.Row` of `ORDERS_TABLE`; keys that name no order
            and rows without a value are skipped.
        era: Era of the store in which they were read.
    """
    found = []
    for row in rows:
        service = service_of(row.key)
        if not service or row.value is None:
            continue
        order = decode_order(row, era)
        found.append(
            rolloutcontroller.OrderRow(
                service,
                rollout.OrderId(era, row.version),
                order.ok if order.is_ok() else None,
                '' if order.is_ok() else order.error.reason,
            )
        )
    return tuple(found)


def status(record):
    """Return the value of the status row.

    Args:
        record: The `rollout.Record`.
    """
    return msgspec.json.encode(
        _Status(_STATES.get(record.phase, 'running'), record.to, record.reason)
    )


def _invalid(row, reason):
    return expression.Error(errors.Invalid(reason, row.key))
