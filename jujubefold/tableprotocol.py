"""Wire forms of the table service: a subset of DynamoDB's JSON protocol.

One DynamoDB table holds all rows: its partition key is our table name and
its sort key our row name, so that a query returns rows in name order.
"""

import base64

import msgspec

from jujubefold import table

CONTENT_TYPE = 'application/x-amz-json-1.0'
TARGET_HEADER = 'X-Amz-Target'
TARGET_PREFIX = 'DynamoDB_20120810.'
ERROR_PREFIX = 'com.amazonaws.dynamodb.v20120810#'
STORE_TABLE = 'jujubefold'
PARTITION = '_table'
SORT = '_row'
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


class Shape(msgspec.Struct, frozen=True, rename='pascal', omit_defaults=True):
    """Base of all wire forms."""


class Conditional(Shape, frozen=True):
    """Fields of a condition, in each kind of write."""

    condition_expression: str = ''
    expression_attribute_names: dict[str, str] = {}
    expression_attribute_values: Item = {}


class PutItem(Conditional, frozen=True):
    """Replace an item."""

    table_name: str = ''
    item: Item = {}


class KeyedItem(Conditional, frozen=True):
    """Delete or check an item."""

    table_name: str = ''
    key: Item = {}


class WriteItem(Shape, frozen=True):
    """One write of a transaction; exactly one field is set."""

    put: PutItem | None = None
    delete: KeyedItem | None = None
    condition_check: KeyedItem | None = None


class TransactWrite(Shape, frozen=True):
    """Request of `TransactWriteItems`."""

    transact_items: tuple[WriteItem, ...]
    client_request_token: str = ''


class GetItem(Shape, frozen=True):
    """One read of a transaction."""

    get: KeyedItem


class TransactGet(Shape, frozen=True):
    """Request of `TransactGetItems`."""

    transact_items: tuple[GetItem, ...]


class Found(Shape, frozen=True):
    """An item that was read; empty when there is none."""

    item: Item | None = None


class TransactGetAnswer(Shape, frozen=True):
    """Answer of `TransactGetItems`."""

    responses: tuple[Found, ...]


class Query(Shape, frozen=True):
    """Request of `Query`."""

    table_name: str
    key_condition_expression: str
    expression_attribute_names: dict[str, str]
    expression_attribute_values: Item
    limit: int = 100
    consistent_read: bool = False


class QueryAnswer(Shape, frozen=True):
    """Answer of `Query`."""

    items: tuple[Item, ...]
    count: int = 0
    last_evaluated_key: Item | None = None


class Reason(Shape, frozen=True):
    """Why one write of a cancelled transaction failed."""

    code: str = 'None'
    message: str | None = None


class Failure(msgspec.Struct, frozen=True, omit_defaults=True):
    """Body of every error answer."""

    type: str = msgspec.field(name='__type', default='')
    message: str = ''
    cancellation_reasons: tuple[Reason, ...] = msgspec.field(
        name='CancellationReasons', default=()
    )

    @property
    def name(self):
        """Error name without its namespace."""
        return self.type.rpartition('#')[2]


def attribute(value):
    """Return the attribute value of a `table.Value`."""
    if isinstance(value, bytes):
        return {'B': base64.b64encode(value).decode('ascii')}
    if isinstance(value, int):
        return {'N': str(value)}
    return {'S': value}


def value(attribute):
    """Return the `table.Value` of an attribute value.

    Raises:
        ValueError: It is of no type that is stored here.
    """
    match attribute:
        case {'S': text}:
            return text
        case {'N': digits}:
            return int(digits)
        case {'B': encoded}:
            return base64.b64decode(encoded, validate=True)
    raise ValueError(f'attribute types {sorted(attribute)}')


def key_item(key):
    """Return the key attributes of a `table.Key`."""
    return {PARTITION: {'S': key.table}, SORT: {'S': key.row}}


def key(item):
    """Return the `table.Key` of an item.

    Raises:
        ValueError: A key attribute is missing or no text.
    """
    match item:
        case {
            '_table': {'S': str() as name},
            '_row': {'S': str() as row},
        } if name and row:
            return table.Key(name, row)
    raise ValueError('key attributes are missing')


def row_item(key, values):
    """Return the item of a row."""
    fields = {name: attribute(field) for name, field in values.items()}
    return fields | key_item(key)


def row(item):
    """Return the `table.Row` of an item.

    Raises:
        ValueError: The item is not one of ours.
    """
    fields = {
        name: value(field)
        for name, field in item.items()
        if name not in (PARTITION, SORT)
    }
    return table.Row(key(item), fields)


def write_item(write):
    """Return the wire form of a `table.Write`."""
    names = _condition(write.condition)
    match write:
        case table.Put():
            item = row_item(write.key, write.values)
            return WriteItem(
                put=PutItem(table_name=STORE_TABLE, item=item, **names)
            )
        case table.Delete():
            return WriteItem(delete=_keyed(write.key, names))
        case table.Check():
            return WriteItem(condition_check=_keyed(write.key, names))


def write(item):
    """Return the `table.Write` of a wire form.

    Raises:
        ValueError: It is malformed or outside the subset.
    """
    match item:
        case WriteItem(
            put=PutItem() as put, delete=None, condition_check=None
        ):
            found = row(put.item)
            return table.Put(found.key, found.values, _condition_of(put))
        case WriteItem(
            put=None, delete=KeyedItem() as keyed, condition_check=None
        ):
            return table.Delete(key(keyed.key), _condition_of(keyed))
        case WriteItem(
            put=None, delete=None, condition_check=KeyedItem() as keyed
        ):
            return table.Check(key(keyed.key), _condition_of(keyed))
    raise ValueError('a write needs exactly one of its kinds')


def _keyed(key, names):
    return KeyedItem(table_name=STORE_TABLE, key=key_item(key), **names)


def _condition(condition):
    match condition:
        case table.Absent():
            return {
                'condition_expression': ABSENT_EXPRESSION,
                'expression_attribute_names': {'#f': SORT},
            }
        case table.Equals(field=field, value=expected):
            return {
                'condition_expression': EQUALS_EXPRESSION,
                'expression_attribute_names': {'#f': field},
                'expression_attribute_values': {':v': attribute(expected)},
            }
    return {}


def _condition_of(item):
    names = item.expression_attribute_names
    values = item.expression_attribute_values
    match item.condition_expression:
        case '':
            return table.Always()
        case 'attribute_not_exists(#f)' if names.get('#f') == SORT:
            return table.Absent()
        case '#f = :v' if '#f' in names and ':v' in values:
            return table.Equals(names['#f'], value(values[':v']))
    raise ValueError(f'condition {item.condition_expression!r}')
