"""Tenant rows: decodes the configuration's table of tenants.

Messages name a key by its tenant and its position, never by the key.
"""

import math

import expression
import msgspec

from jujubefold import errors
from jujubefold.sidecar import tenants

# Ranks are sent to other daemons as numbers of at most 64 bits.
MAX_PRIORITY = 2**31 - 1


class _Table(msgspec.Struct):
    columns: list[str]
    rows: list[list[object]]


class _Row(msgspec.Struct):
    name: str
    api_keys: list[str] = []
    priority: int | None = None
    rate_per_s: float = 0.0
    burst: float = 0.0


_decoder = msgspec.json.Decoder(_Table)


class Decoder:
    """Decodes tables of tenants, and reuses the one before."""

    def __init__(self):
        self._body = b''
        self._keys = None

    def decode(self, body):
        """Decode a table.

        Args:
            body: JSON bytes of the table; empty if there is none.

        Returns:
            `Ok` of a `tenants.KeyTable`, or of None without a table, or
                `Error(errors.Invalid)`.

        Raises:
            msgspec.DecodeError: The table has the wrong form.
        """
        if body != self._body:
            keys = _key_table(body) if body else expression.Ok(None)
            if keys.is_error():
                return keys
            self._body, self._keys = body, keys.ok
        return expression.Ok(self._keys)


def _key_table(body):
    table = _decoder.decode(body)
    keys = tenants.KeyTable()
    for index, values in enumerate(table.rows):
        try:
            row = _row(table.columns, values)
        except msgspec.ValidationError as error:
            return expression.Error(
                errors.Invalid(str(error), f'tenants.{index}')
            )
        fault = next(_faults(row, keys), None)
        if fault is None:
            tenant = tenants.Tenant(
                row.name, row.priority, row.rate_per_s, row.burst
            )
            shared = keys.add(tenant, [key.encode() for key in row.api_keys])
            if shared is not None:
                fault = (f'api_keys[{shared}]', 'another tenant has this key')
        if fault is not None:
            column, reason = fault
            where = f'tenants.{row.name or index}.{column}'
            return expression.Error(errors.Invalid(reason, where))
    return expression.Ok(keys)


def _row(columns, values):
    return msgspec.convert(
        {
            name: value
            for name, value in zip(columns, values, strict=False)
            if value is not None
        },
        _Row,
    )


def _faults(row, keys):
    """Yield the column and the reason for each wrong value of a row."""
    if not _is_header_text(row.name):
        yield 'name', 'a name needs characters that a header can carry'
    if row.name in keys.tenants:
        yield 'name', 'another tenant has this name'
    for index, key in enumerate(row.api_keys):
        if not _is_header_text(key):
            yield (
                f'api_keys[{index}]',
                'a key needs characters that a header can carry',
            )
    if row.priority is not None and not 0 <= row.priority <= MAX_PRIORITY:
        yield 'priority', f'a priority must be between 0 and {MAX_PRIORITY}'
    for column in ('rate_per_s', 'burst'):
        if not 0 <= getattr(row, column) < math.inf:
            yield column, 'a limit must be finite and not negative'


def _is_header_text(text):
    """Return whether a header's value can be this text."""
    return bool(text) and text.isprintable() and text == text.strip()
