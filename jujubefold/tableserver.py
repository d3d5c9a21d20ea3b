"""Table service of the stand-in: `tableprotocol` over rows in memory."""

import collections
import hashlib

import msgspec

from jujubefold import decoding
from jujubefold import storelimit
from jujubefold import storereply
from jujubefold import table
from jujubefold import tableprotocol

# How long a transaction with the same client request token is idempotent.
TOKEN_LIFETIME_S = 600.0


class _RequestError(Exception):
    """The request gets an error response of the protocol."""

    def __init__(self, failure, status=400):
        super().__init__(failure.type)
        self.failure = failure
        self.status = status


class TableServer:
    """Handles the protocol's operations; callers must serialize calls.

    Args:
        clock: A `clock.Clock`, for the expiry of client request tokens.
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
                raise _request_error('UnknownOperationException', name)
            return operation(body)
        except _RequestError as error:
            return _reply(error.failure, error.status)
        except decoding.FAULTS as error:
            failure = _failure('SerializationException', str(error))
            return _reply(failure, 400)
        except ValueError as error:
            return _reply(_failure(tableprotocol.VALIDATION, str(error)), 400)

    def unavailable(self):
        """Return the reply for a service that is down."""
        failure = _failure(tableprotocol.UNAVAILABLE, 'the service is down')
        return _reply(failure, 503)

    def throttled(self):
        """Return the reply to a request over the service's capacity."""
        failure = _failure(
            tableprotocol.THROTTLED, 'request rate is over the capacity'
        )
        return _reply(failure, 400)

    def _transact_write(self, body):
        request = msgspec.json.decode(body, type=tableprotocol.TransactWrite)
        _check_size(body, request.transact_items)
        writes = tuple(
            tableprotocol.decode_write(item) for item in request.transact_items
        )
        if len({write.key for write in writes}) < len(writes):
            raise ValueError('a transaction contains two writes of one item')
        if self._is_repeated(request):
            return _reply({}, 200)
        failed = self._rows.failed_writes(writes)
        if failed:
            raise _RequestError(_cancellation(len(writes), failed))
        self._rows.apply(writes)
        self._remember_token(request)
        rows = sum(not isinstance(write, table.Check) for write in writes)
        return _reply({}, 200, rows)

    def _transact_get(self, body):
        request = msgspec.json.decode(body, type=tableprotocol.TransactGet)
        _check_size(body, request.transact_items)
        keys = [
            tableprotocol.decode_key(item.get.key)
            for item in request.transact_items
        ]
        rows = (self._rows.row(key) for key in keys)
        return _reply(
            tableprotocol.TransactGetResponse(
                tuple(
                    tableprotocol.GetResult(_optional_item(row))
                    for row in rows
                )
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
        response = tableprotocol.QueryResponse(
            tuple(_optional_item(row) for row in page),
            len(page),
            last and tableprotocol.encode_key(last),
        )
        return _reply(response, 200)

    def _is_repeated(self, request):
        token = request.client_request_token
        if len(token) > 36:
            raise ValueError('ClientRequestToken is longer than 36 characters')
        self._drop_expired_tokens()
        if not token or token not in self._tokens:
            return False
        if self._tokens[token][1] != _digest(request):
            raise _request_error(
                tableprotocol.MISMATCH,
                'ClientRequestToken was used for another transaction',
            )
        return True

    def _remember_token(self, request):
        if request.client_request_token:
            self._tokens[request.client_request_token] = (
                self._clock.monotonic(),
                _digest(request),
            )

    def _drop_expired_tokens(self):
        oldest = self._clock.monotonic() - TOKEN_LIFETIME_S
        while self._tokens:
            token, (stored_at, _) = next(iter(self._tokens.items()))
            if stored_at >= oldest:
                return
            del self._tokens[token]


def _check_size(body, items):
    if not 1 <= len(items) <= table.MAX_WRITES:
        raise ValueError(
            f'a transaction of {len(items)} items is not supported'
        )
    if len(body) > tableprotocol.MAX_TRANSACTION_BYTES:
        raise ValueError('transaction larger than 4 MB')
    for item in items:
        encoded = msgspec.json.encode(item)
        if len(encoded) > tableprotocol.MAX_ITEM_BYTES:
            raise ValueError('item larger than 400 KB')


def _query_range(request):
    names = request.expression_attribute_names
    values = request.expression_attribute_values
    if names.get('#t') != tableprotocol.PARTITION_KEY or ':t' not in values:
        raise ValueError('a query must name its partition')
    name = tableprotocol.decode_value(values[':t'])
    match request.key_condition_expression:
        case tableprotocol.QUERY_ALL_EXPRESSION:
            return name, ''
        case tableprotocol.QUERY_EXPRESSION if (
            names.get('#r') == tableprotocol.SORT_KEY and ':r' in values
        ):
            return name, tableprotocol.decode_value(values[':r'])
    raise ValueError('unsupported key condition')


def _optional_item(row):
    return row and tableprotocol.encode_row(row.key, row.values)


def _digest(request):
    items = msgspec.json.encode(request.transact_items)
    return hashlib.sha256(items).digest()


def _cancellation(count, failed):
    reasons = tuple(
        tableprotocol.CancellationReason(
            tableprotocol.CONDITION_FAILED if index in failed else 'None'
        )
        for index in range(count)
    )
    return tableprotocol.Failure(
        tableprotocol.ERROR_PREFIX + tableprotocol.CANCELED,
        'Transaction cancelled',
        reasons,
    )


def _request_error(name, message):
    return _RequestError(_failure(name, message))


def _failure(name, message):
    return tableprotocol.Failure(tableprotocol.ERROR_PREFIX + name, message)


def _reply(value, status, rows=0):
    return storereply.Reply(
        status,
        msgspec.json.encode(value),
        tableprotocol.CONTENT_TYPE,
        rows,
    )
