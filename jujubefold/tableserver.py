"""The stand-in's table service: `tableprotocol` over rows in memory."""

import collections
import hashlib

import msgspec

from jujubefold import storelimit
from jujubefold import storereply
from jujubefold import table
from jujubefold import tableprotocol

# How long a client request token makes a repeat idempotent.
TOKEN_LIFE_S = 600.0


class _Refused(Exception):
    """A request is answered with an error of the protocol."""

    def __init__(self, failure, status=400):
        super().__init__(failure.type)
        self.failure = failure
        self.status = status


class TableServer:
    """Answers the protocol's operations; calls must not overlap.

    Args:
        clock: A `clock.Clock` that tokens age by.
    """

    def __init__(self, clock):
        self._clock = clock
        self._rows = table.MemoryRows()
        self._tokens = collections.OrderedDict()
        self._operations = {
            tableprotocol.TRANSACT_WRITE: self._transact_write,
            tableprotocol.TRANSACT_GET: self._transact_get,
            tableprotocol.QUERY: self._query,
        }

    def operation(self, environ):
        """Return `(operation name, storelimit.Kind)` of a request."""
        target = environ.get('HTTP_X_AMZ_TARGET', '')
        name = target.removeprefix(tableprotocol.TARGET_PREFIX)
        if name == tableprotocol.TRANSACT_WRITE:
            return name, storelimit.Kind.WRITE
        return name, storelimit.Kind.READ

    def handle(self, environ, body):
        """Return the `storereply.Reply` to a request."""
        try:
            name, _ = self.operation(environ)
            operation = self._operations.get(name)
            if environ['REQUEST_METHOD'] != 'POST' or operation is None:
                raise _refused('UnknownOperationException', name)
            return operation(body)
        except _Refused as refused:
            return _reply(refused.failure, refused.status)
        except msgspec.DecodeError as error:
            failure = _failure('SerializationException', str(error))
            return _reply(failure, 400)
        except ValueError as error:
            return _reply(_failure(tableprotocol.VALIDATION, str(error)), 400)

    def unavailable(self):
        """Return the reply of a service that is down."""
        failure = _failure(tableprotocol.UNAVAILABLE, 'the service is down')
        return _reply(failure, 503)

    def throttled(self):
        """Return the reply to a request over the service's capacity."""
        failure = _failure(tableprotocol.THROTTLED, 'over capacity')
        return _reply(failure, 400)

    def _transact_write(self, body):
        request = msgspec.json.decode(body, type=tableprotocol.TransactWrite)
        _check_size(body, request.transact_items)
        writes = tuple(
            tableprotocol.write(item) for item in request.transact_items
        )
        if len({write.key for write in writes}) < len(writes):
            raise ValueError('a transaction touches an item twice')
        if self._seen(request):
            return _reply({}, 200)
        failed = self._rows.failed_writes(writes)
        if failed:
            raise _Refused(_cancelled(len(writes), failed))
        self._rows.apply(writes)
        self._note(request)
        rows = sum(not isinstance(write, table.Check) for write in writes)
        return _reply({}, 200, rows)

    def _transact_get(self, body):
        request = msgspec.json.decode(body, type=tableprotocol.TransactGet)
        _check_size(body, request.transact_items)
        keys = [
            tableprotocol.key(item.get.key) for item in request.transact_items
        ]
        rows = (self._rows.row(key) for key in keys)
        return _reply(
            tableprotocol.TransactGetAnswer(
                tuple(tableprotocol.Found(_item(row)) for row in rows)
            ),
            200,
        )

    def _query(self, body):
        request = msgspec.json.decode(body, type=tableprotocol.Query)
        name, after = _query_range(request)
        if not 1 <= request.limit:
            raise ValueError('limit must be at least 1')
        rows = self._rows.page(name, after, request.limit + 1)
        page = rows[: request.limit]
        last = page[-1].key if len(rows) > request.limit else None
        answer = tableprotocol.QueryAnswer(
            tuple(_item(row) for row in page),
            len(page),
            last and tableprotocol.key_item(last),
        )
        return _reply(answer, 200)

    def _seen(self, request):
        token = request.client_request_token
        if len(token) > 36:
            raise ValueError('a token has at most 36 characters')
        self._forget_tokens()
        if not token or token not in self._tokens:
            return False
        if self._tokens[token][1] != _digest(request):
            raise _refused(tableprotocol.MISMATCH, 'token reused')
        return True

    def _note(self, request):
        if request.client_request_token:
            self._tokens[request.client_request_token] = (
                self._clock.monotonic(),
                _digest(request),
            )

    def _forget_tokens(self):
        oldest = self._clock.monotonic() - TOKEN_LIFE_S
        while self._tokens:
            token, (noted, _) = next(iter(self._tokens.items()))
            if noted >= oldest:
                return
            del self._tokens[token]


def _check_size(body, items):
    if not 1 <= len(items) <= table.MAX_WRITES:
        raise ValueError(f'{len(items)} items in a transaction')
    if len(body) > tableprotocol.MAX_TRANSACTION_BYTES:
        raise ValueError('transaction larger than 4 MB')
    for item in items:
        encoded = msgspec.json.encode(item)
        if len(encoded) > tableprotocol.MAX_ITEM_BYTES:
            raise ValueError('item larger than 400 KB')


def _query_range(request):
    names = request.expression_attribute_names
    values = request.expression_attribute_values
    if names.get('#t') != tableprotocol.PARTITION or ':t' not in values:
        raise ValueError('a query names its partition')
    name = tableprotocol.value(values[':t'])
    match request.key_condition_expression:
        case tableprotocol.QUERY_ALL_EXPRESSION:
            return name, ''
        case tableprotocol.QUERY_EXPRESSION if (
            names.get('#r') == tableprotocol.SORT and ':r' in values
        ):
            return name, tableprotocol.value(values[':r'])
    raise ValueError('key condition outside the subset')


def _item(row):
    return row and tableprotocol.row_item(row.key, row.values)


def _digest(request):
    items = msgspec.json.encode(request.transact_items)
    return hashlib.sha256(items).digest()


def _cancelled(count, failed):
    reasons = tuple(
        tableprotocol.Reason(
            tableprotocol.CONDITION_FAILED if index in failed else 'None'
        )
        for index in range(count)
    )
    return tableprotocol.Failure(
        tableprotocol.ERROR_PREFIX + tableprotocol.CANCELED,
        'Transaction cancelled',
        reasons,
    )


def _refused(name, message):
    return _Refused(_failure(name, message))


def _failure(name, message):
    return tableprotocol.Failure(tableprotocol.ERROR_PREFIX + name, message)


def _reply(value, status, rows=0):
    return storereply.Reply(
        status,
        msgspec.json.encode(value),
        tableprotocol.CONTENT_TYPE,
        rows,
    )
