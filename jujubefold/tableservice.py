"""Client of the platform's table service (DynamoDB subset)."""

import hashlib

import expression
import msgspec

from jujubefold import decoding
from jujubefold import errors
from jujubefold import storeclient
from jujubefold import storelimit
from jujubefold import table
from jujubefold import tableprotocol

# Errors that the service returns before a transaction has any effect.
_ERRORS_BEFORE_EFFECT = frozenset(
    {
        tableprotocol.MISMATCH,
        tableprotocol.THROTTLED,
        tableprotocol.UNAVAILABLE,
        tableprotocol.VALIDATION,
        'AccessDeniedException',
        'LimitExceededException',
        'RequestLimitExceeded',
        'ResourceNotFoundException',
        'SerializationException',
        'ThrottlingException',
        'UnknownOperationException',
    }
)
_TOKEN_HEX_DIGITS = 32

_READ_DECODER = msgspec.json.Decoder(tableprotocol.TransactGetResponse)
_QUERY_DECODER = msgspec.json.Decoder(tableprotocol.QueryResponse)
_FAILURE_DECODER = msgspec.json.Decoder(tableprotocol.Failure)


class TableService(table.Table):
    """Rows in the platform's table service.

    A write with a token is sent once more with the same token when its
    response was lost and the retry budget allows; no other write is
    repeated.

    Args:
        url: Base URL of the service.
        clock: A `clock.Clock`.
        timeout: Seconds for one call.
        limiter: A `storelimit.StoreLimiter`.
    """

    def __init__(self, url, clock, timeout, limiter):
        self._url = url.rstrip('/') + '/'
        self._client = storeclient.StoreClient(clock, timeout, limiter)

    async def transact(self, writes, token=''):
        table.check_writes(writes)
        body = tableprotocol.TransactWrite(
            tuple(tableprotocol.encode_write(write) for write in writes),
            _request_token(token),
        )
        request = self._request(
            tableprotocol.TRANSACT_WRITE, storelimit.Kind.WRITE, body
        )
        if token:
            return await self._client.call_idempotent(
                request, _transact_result
            )
        return await self._client.call(request, _transact_result)

    async def read(self, keys):
        rows = ()
        for start in range(0, len(keys), table.MAX_WRITES):
            page = await self._read(keys[start : start + table.MAX_WRITES])
            if page.is_error():
                return page
            rows += page.ok
        return expression.Ok(rows)

    async def scan(self, table, after='', limit=100):
        rows = ()
        while len(rows) < limit:
            page = await self._page(table, after, limit - len(rows))
            if page.is_error():
                return page
            found, more = page.ok
            rows += found
            if not more:
                break
            after = rows[-1].key.row
        return expression.Ok(rows)

    def close(self):
        """Close connections to the service."""
        self._client.close()

    async def _read(self, keys):
        body = tableprotocol.TransactGet(
            tuple(
                tableprotocol.GetItem(
                    tableprotocol.KeyedItem(
                        table_name=tableprotocol.STORE_TABLE,
                        key=tableprotocol.encode_key(key),
                    )
                )
                for key in keys
            )
        )
        request = self._request(
            tableprotocol.TRANSACT_GET, storelimit.Kind.READ, body
        )
        return await self._client.call(request, _read_result)

    async def _page(self, table, after, limit):
        body = _query_message(table, after, limit)
        request = self._request(
            tableprotocol.QUERY, storelimit.Kind.READ, body
        )
        return await self._client.call(request, _query_result)

    def _request(self, operation, kind, body):
        return storeclient.Request(
            operation,
            kind,
            'POST',
            self._url,
            {
                'Content-Type': tableprotocol.CONTENT_TYPE,
                tableprotocol.TARGET_HEADER: (
                    tableprotocol.TARGET_PREFIX + operation
                ),
            },
            msgspec.json.encode(body),
        )


def _request_token(token):
    if not token:
        return ''
    digest = hashlib.sha256(token.encode()).hexdigest()
    return digest[:_TOKEN_HEX_DIGITS]


def _query_message(name, after, limit):
    names = {'#t': tableprotocol.PARTITION_KEY}
    values = {':t': {'S': name}}
    expression_text = tableprotocol.QUERY_ALL_EXPRESSION
    if after:
        names['#r'] = tableprotocol.SORT_KEY
        values[':r'] = {'S': after}
        expression_text = tableprotocol.QUERY_EXPRESSION
    return tableprotocol.Query(
        tableprotocol.STORE_TABLE,
        expression_text,
        names,
        values,
        limit,
        consistent_read=True,
    )


def _transact_result(response):
    if response.status == 200:
        return expression.Ok(None)
    return expression.Error(_failure(response))


def _read_result(response):
    if response.status != 200:
        return expression.Error(_failure(response))
    found = decoding.decode(_READ_DECODER, response.body, 'answer')
    return found.bind(
        lambda answer: _rows(item.item for item in answer.responses)
    ).map_error(_unreadable)


def _query_result(response):
    if response.status != 200:
        return expression.Error(_failure(response))
    found = decoding.decode(_QUERY_DECODER, response.body, 'answer')
    return found.bind(
        lambda answer: _rows(answer.items).map(
            lambda rows: (rows, bool(answer.last_evaluated_key))
        )
    ).map_error(_unreadable)


def _rows(items):
    """Return `Ok` of a `table.Row` or None for each item.

    A row of another writer may have attributes that this product never
    writes; then the result is `Error(errors.Invalid)`.
    """
    try:
        return expression.Ok(
            tuple(
                None if item is None else tableprotocol.decode_row(item)
                for item in items
            )
        )
    except ValueError as error:
        return expression.Error(errors.Invalid(str(error), 'row'))


def _unreadable(invalid):
    return errors.StoreNotRun(f'{invalid.where}: {invalid.reason}')


def _failure(response):
    decoded = decoding.decode(_FAILURE_DECODER, response.body, 'answer')
    if decoded.is_error():
        # A proxy in between responded instead of the service.
        return errors.StoreOutcomeUnknown(
            f'HTTP {response.status} without an error document'
        )
    failure = decoded.ok
    reason = f'{failure.name}: {failure.message}'
    if failure.name == tableprotocol.CANCELED:
        return _cancellation(failure, reason)
    if failure.name in _ERRORS_BEFORE_EFFECT:
        return errors.StoreNotRun(reason)
    return errors.StoreOutcomeUnknown(reason)


def _cancellation(failure, reason):
    failed = tuple(
        index
        for index, item in enumerate(failure.cancellation_reasons)
        if item.code == tableprotocol.CONDITION_FAILED
    )
    if failed:
        return errors.ConditionFailed(reason, failed)
    return errors.StoreNotRun(reason)
