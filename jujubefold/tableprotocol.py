"""Wire format of the table service: a subset of DynamoDB's JSON protocol.

One DynamoDB table holds all rows: its partition key is the table name of a
`table.Key` and its sort key the row name, so that a query returns rows in
the order of their names.
"""

import base64

import msgspec

from jujubefold import table

CONTENT_TYPE = 'application/x-amz-json-1.0'
TARGET_HEADER = 'X-Amz-Target'
TARGET_PREFIX = 'DynamoDB_20120810.'
ERROR_PREFIX = 'com.amazonaws.dynamodb.v20120810#'
STORE_TABLE = 'jujubefold'
PARTITION_KEY = '_table'
SORT_KEY = '_row'
MAX_ITEM_BYTES = 400 * 1024
MAX_TRANSACTION_BYTES = 4 * 1024 * 1024

TRANSACT_WRITE = 'TransactWriteItems'
TRANSACT_GET = 'TransactGetItems'
QUERY = 'Query'

CONDITION_FAILED = 'ConditionalCheckFailed'
CONFLICT = 'TransactionConflict'
CANCELED = 'TransactionCanceledException'
MISMATCH = 'IdempotentParameterMismatchException'
THROTTLED = 'ProvisionedThroughputExceededException'
UNAVAILABLE = 'ServiceUnavailable'
VALIDATION = 'ValidationException'

ABSENT_EXPRESSION = 'attribute_not_exists(#f)'
EQUALS_EXPRESSION = '#f = :v'
QUERY_EXPRESSION = '#t = :t AND #r > :r'
QUERY_ALL_EXPRESSION = '#t = :t'

Item = dict[str, dict[str, str]]


class Message(
    msgspec.Struct, frozen=True, rename='pascal', omit_defaults=True
):
    """Base of all protocol messages and their parts."""


class Conditional(Message, frozen=True):
    """Condition fields that every kind of write has."""

    condition_expression: str = ''
    expression_attribute_names: dict[str, str] = {}
    expression_attribute_values: Item = {}


class PutItem(Conditional, frozen=True):
    """A write that replaces an item."""

    table_name: str = ''
    item: Item = {}


class KeyedItem(Conditional, frozen=True):
    """A read, delete or check of the item with a key."""

    table_name: str = ''
    key: Item = {}


class WriteItem(Message, frozen=True):
    """One write of a transaction; exactly one field is set."""

    put: PutItem | None = None
    delete: KeyedItem | None = None
    condition_check: KeyedItem | None = None


class TransactWrite(Message, frozen=True):
    """Request of `TransactWriteItems`."""

    transact_items: tuple[WriteItem, ...]
    client_request_token: str = ''


class GetItem(Message, frozen=True):
    """One read of a transaction."""

    get: KeyedItem


class TransactGet(Message, frozen=True):
    """Request of `TransactGetItems`."""

    transact_items: tuple[GetItem, ...]


class GetResult(Message, frozen=True):
    """Result of one read; `item` is None if there is no such item."""

    item: Item | None = None


class TransactGetResponse(Message, frozen=True):
    """Response of `TransactGetItems`."""

    responses: tuple[GetResult, ...]


class Query(Message, frozen=True):
    """Request of `Query`."""

    table_name: str
    key_condition_expression: str
    expression_attribute_names: dict[str, str]
    expression_attribute_values: Item
    limit: int = 100
    consistent_read: bool = False


class QueryResponse(Message, frozen=True):
    """Response of `Query`."""

    items: tuple[Item, ...]
    count: int = 0
    last_evaluated_key: Item | None = None


class CancellationReason(Message, frozen=True):
    """Why one write of a cancelled transaction failed."""

    code: str = 'None'
    message: str | None = None


class Failure(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of every error response."""

    type: str = msgspec.field(name='__type', default='')
    message: str = ''
    cancellation_reasons: tuple[CancellationReason, ...] = msgspec.field(
        name='CancellationReasons', default=()
    )

    @property
    def name(self):
        """Error name without its namespace."""
        return self.type.rpartition('#')[2]


def encode_value(value):
    """Encode a `table.Value` as an attribute value."""
    if isinstance(value, bytes):
        return {'B': base64.b64encode(value).decode('ascii')}
    if isinstance(value, int):
        return {'N': str(value)}
    return {'S': value}


def decode_value(attribute):
    """Decode an attribute value to a `table.Value`.

    Raises:
        ValueError: Its type is not one of S, N and B.
    """
    match attribute:
        case {'S': text}:
            return text
        case {'N': digits}:
            return int(digits)
        case {'B': encoded}:
            return base64.b64decode(encoded, validate=True)
    raise ValueError(f'unsupported attribute types {sorted(attribute)}')


def encode_key(key):
    """Encode a `table.Key` as key attributes."""
    return {PARTITION_KEY: {'S': key.table}, SORT_KEY: {'S': key.row}}


def decode_key(item):
    """Decode the `table.Key` of an item.

    Raises:
        ValueError: A key attribute is missing, empty or not a string.
    """
    match item:
        case {
            '_table': {'S': str() as name},
            '_row': {'S': str() as row},
        } if name and row:
            return table.Key(name, row)
    raise ValueError('key attributes are missing, empty or not strings')


def encode_row(key, values):
    """Encode a row as an item."""
    fields = {name: encode_value(field) for name, field in values.items()}
    return fields | encode_key(key)


def decode_row(item):
    """Decode an item to a `table.Row`.

    Raises:
        ValueError: Its key or an attribute type is invalid.
    """
    fields = {
        name: decode_value(field)
        for name, field in item.items()
        if name not in (PARTITION_KEY, SORT_KEY)
    }
    return table.Row(decode_key(item), fields)


def encode_write(write):
    """Encode a `table.Write`."""
    condition = _encode_condition(write.condition)
    match write:
        case table.Put():
            item = encode_row(write.key, write.values)
            return WriteItem(
                put=PutItem(table_name=STORE_TABLE, item=item, **condition)
            )
        case table.Delete():
            return WriteItem(delete=_keyed_item(write.key, condition))
        case table.Check():
            return WriteItem(condition_check=_keyed_item(write.key, condition))


def decode_write(item):
    """Decode a `WriteItem` to a `table.Write`.

    Raises:
        ValueError: It is malformed or outside the supported subset.
    """
    match item:
        case WriteItem(
            put=PutItem() as put, delete=None, condition_check=None
        ):
            row = decode_row(put.item)
            return table.Put(row.key, row.values, _decode_condition(put))
        case WriteItem(
            put=None, delete=KeyedItem() as keyed, condition_check=None
        ):
            return table.Delete(
                decode_key(keyed.key), _decode_condition(keyed)
            )
        case WriteItem(
            put=None, delete=None, condition_check=KeyedItem() as keyed
        ):
            return table.Check(decode_key(keyed.key), _decode_condition(keyed))
    raise ValueError('a write must be one of Put, Delete and ConditionCheck')


def _keyed_item(key, condition):
    return KeyedItem(table_name=STORE_TABLE, key=encode_key(key), **condition)


def _encode_condition(condition):
    match condition:
        case table.Absent():
            return {
                'condition_expression': ABSENT_EXPRESSION,
                'expression_attribute_names': {'#f': SORT_KEY},
            }
        case table.Equals(field=field, value=expected):
            return {
                'condition_expression': EQUALS_EXPRESSION,
                'expression_attribute_names': {'#f': field},
                'expression_attribute_values': {':v': encode_value(expected)},
            }
    return {}


def _decode_condition(item):
    names = item.expression_attribute_names
    values = item.expression_attribute_values
    match item.condition_expression:
        case '':
            return table.Always()
        case 'attribute_not_exists(#f)' if names.get('#f') == SORT_KEY:
            return table.Absent()
        case '#f = :v' if '#f' in names and ':v' in values:
            return table.Equals(names['#f'], decode_value(values[':v']))
    raise ValueError(f'unsupported condition {item.condition_expression!r}')
