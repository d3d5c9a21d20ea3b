"""Store: the platform's store as a row feed, over its HTTP calls."""

import asyncio
import base64
import re
import urllib.parse

import expression
import msgspec

from jujubefold import bodymemory
from jujubefold import callclient
from jujubefold import decoding
from jujubefold import errors
from jujubefold.sidecar import rowfeed

WRITE = b'/api/rows-tx'
READ = b'/api/rows-get'
FEED = b'/api/rows-feed'
# For two feeds, a read, a write, and a connection that is being replaced.
CONNECTIONS = 6
ANSWER_BYTES = 16 * 1024 * 1024
# Statuses of the server's own failures after which nothing was written: it
# is unavailable, or its storage is full. After others it may have been.
_NOTHING_DONE = frozenset({503, 507})
_CONDITION_FAILED = 412
_CLIENT_ERRORS = range(400, 500)
_ERA = b'store-era'
# Bounded, so that a wrong value does not fence off all later answers.
_ERA_NUMBER = re.compile(rb'[1-9][0-9]{0,8}')
_MS = 1000


class _Row(msgspec.Struct):
    key: str
    # Missing on deleted rows.
    value: str = ''
    deleted: bool = False
    row_version: decoding.Count = 0


class _Rows(msgspec.Struct):
    rows: list[_Row]
    row_version: decoding.Count
    has_more: bool = False
    # The store's steady clock; missing in answers of older stores.
    now_s: float = 0.0


_decoder = msgspec.json.Decoder(_Rows)


class PlatformRowFeed(rowfeed.RowFeed):
    """Row feed over the platform's store.

    Args:
        options: `options.Store`.
        clock: A `clock.Clock`.
        record_call: Called with the operation, outcome and seconds of each
            call.
        event_log: An `eventlog.EventLog`.
    """

    def __init__(self, options, clock, record_call, event_log):
        self._options = options
        self._clock = clock
        self._record_call = record_call
        self._event_log = event_log
        self._invalid_era = b''
        self._pool = None

    async def read(self, table):
        rows = []
        start = ''
        cursor = None
        now = 0.0
        while True:
            query = {'table': table, 'part': '', 'limit': 500}
            if start:
                query['from'] = start
            result = await self._get('read', READ, query, 0.0)
            if result.is_error():
                return result
            page, era = result.ok
            rows.extend(self._rows(page))
            if cursor is None:
                # Changes made while later pages are read follow this one.
                cursor = rowfeed.Cursor(era, page.row_version)
                now = page.now_s
            if era != cursor.era:
                return expression.Error(_not_run('the era rose meanwhile'))
            if not page.has_more or not page.rows:
                return expression.Ok(
                    rowfeed.Rows(tuple(rows), cursor.version, era, now)
                )
            # The range includes its start, so the next page starts at the
            # smallest key after the last one of this page.
            start = page.rows[-1].key + '\0'

    async def get(self, table, key):
        # The range excludes its end, so it ends at the smallest key after
        # this one.
        query = {'table': table, 'part': '', 'from': key, 'to': key + '\0'}
        result = await self._get('get', READ, query, 0.0)
        if result.is_error():
            return result
        page, era = result.ok
        return expression.Ok(self._page_rows(page, era))

    async def changes(self, table, after, wait):
        query = {
            'table': table,
            'after': after,
            'wait_ms': int(wait * _MS),
        }
        result = await self._get('feed', FEED, query, wait)
        if result.is_error():
            return result
        page, era = result.ok
        return expression.Ok(self._page_rows(page, era))

    async def put(self, table, key, value):
        return await self._write({'puts': [_put(table, key, value)]})

    async def remove(self, table, key):
        entry = {'table': table, 'part': '', 'key': key}
        return await self._write({'remove': [entry]})

    async def transact(self, conditions, puts):
        expected = [
            {
                'table': condition.table,
                'part': '',
                'key': condition.key,
                'row_version': condition.version,
            }
            for condition in conditions
        ]
        entries = [_put(put.table, put.key, put.value) for put in puts]
        return await self._write({'expected_rev': expected, 'puts': entries})

    async def _get(self, operation, path, query, wait):
        target = path + b'?' + urllib.parse.urlencode(query).encode()
        answer = await self._call(operation, 'GET', target, b'', wait)
        if answer.is_error():
            return answer.map_error(lambda error: _not_run(error.reason))
        if answer.ok.status == 410:
            return expression.Error(
                rowfeed.HistoryCompacted('history was compacted')
            )
        if answer.ok.status != 200:
            return expression.Error(_not_run(f'status {answer.ok.status}'))
        page = decoding.decode(_decoder, b''.join(answer.ok.chunks), 'answer')
        if page.is_error():
            return expression.Error(_not_run(page.error.reason))
        return expression.Ok((page.ok, self._era(answer.ok)))

    def _page_rows(self, page, era):
        """Return the `rowfeed.Rows` of a page and its era."""
        return rowfeed.Rows(
            tuple(self._rows(page)), page.row_version, era, page.now_s
        )

    def _rows(self, page):
        """Yield a `rowfeed.Row` for each row of a page that is valid."""
        for item in page.rows:
            value = None
            if not item.deleted:
                try:
                    value = base64.b64decode(item.value, validate=True)
                except ValueError as error:
                    self._event_log.record(
                        'store.row_invalid', row=item.key, detail=str(error)
                    )
                    continue
            yield rowfeed.Row(item.key, value, item.row_version)

    def _era(self, answer):
        """Return the era in an answer's header; 0 if there is no valid one."""
        value = dict(answer.headers).get(_ERA)
        if value is None:
            return 0
        if _ERA_NUMBER.fullmatch(value):
            return int(value)
        if value != self._invalid_era:
            self._invalid_era = value
            self._event_log.record(
                'store.era_invalid', value=value[:40].decode('latin-1')
            )
        return 0

    async def _write(self, body):
        encoded = msgspec.json.encode(
            {'expected_rev': [], 'puts': [], 'remove': [], **body}
        )
        answer = await self._call('write', 'POST', WRITE, encoded, 0.0)
        if answer.is_error():
            return answer
        if answer.ok.status == 200:
            return expression.Ok(self._era(answer.ok))
        status = answer.ok.status
        if status == _CONDITION_FAILED:
            return expression.Error(rowfeed.Conflict('a row has changed'))
        if status in _CLIENT_ERRORS or status in _NOTHING_DONE:
            return expression.Error(_not_run(f'status {status}'))
        return expression.Error(errors.StoreOutcomeUnknown(f'status {status}'))

    async def _call(self, operation, method, target, body, wait):
        started_at = self._clock.monotonic()
        result = await self._exchange(method, target, body, wait)
        now = self._clock.monotonic()
        if isinstance(result, callclient.Failure):
            self._record_call(operation, result.kind.value, now - started_at)
            sent_nothing = not result.sent
            kind = (
                errors.StoreNotRun
                if sent_nothing
                else errors.StoreOutcomeUnknown
            )
            detail = result.detail or result.kind.value
            return expression.Error(kind(detail))
        self._record_call(operation, str(result.status), now - started_at)
        self._pool.answer_memory.release(result.memory)
        return expression.Ok(result)

    async def _exchange(self, method, target, body, wait):
        if self._pool is None:
            self._pool = callclient.Pool(
                self._options.address,
                CONNECTIONS,
                self._clock,
                bodymemory.Budget(ANSWER_BYTES),
                ANSWER_BYTES,
            )
        timeout = self._options.timeout
        connection = await self._pool.acquire(timeout)
        if isinstance(connection, callclient.Failure):
            return connection
        headers = [(b'host', self._options.address.encode())]
        if body:
            headers.append((b'content-type', b'application/json'))
        message = callclient.ClientRequest(
            method, target, headers, [body] if body else [], len(body)
        )
        deadline = self._clock.monotonic() + wait + timeout
        bounds = callclient.ExchangeLimits(deadline, wait + timeout)
        head = callclient.encode_head(message)
        return await self._exchange_within(
            connection, message, head, bounds, wait + timeout
        )

    async def _exchange_within(
        self, connection, message, head, bounds, seconds
    ):
        """Exchange a message; abort the connection after `seconds`."""
        timer = self._pool.loop.call_later(
            seconds, connection.abort, callclient.FailureKind.SILENT
        )
        try:
            return await connection.start(message, head, bounds)
        except asyncio.CancelledError:
            connection.abort()
            raise
        finally:
            timer.cancel()


def _put(table, key, value):
    return {
        'table': table,
        'part': '',
        'key': key,
        'value': base64.b64encode(value).decode(),
    }


def _not_run(reason):
    return errors.StoreNotRun(reason)
