"""Fake of the platform's store, with the documented calls."""

import asyncio
import base64
import json
import urllib.parse

from jujubefold import bodymemory
from jujubefold import callhandler
from jujubefold import callserver
from jujubefold import clock

# Rows per page. Less than the tests write, so that reads need several pages.
PAGE_ROWS = 3


class RowStore(callhandler.Handler):
    """In-memory store over HTTP, with faults on demand.

    Attributes:
        mode: `serve`, or a fault: `busy` and `many` refuse each call with
            status 503 and 429, `broken` fails them with status 500,
            `reset` drops its connection, `silent`
            never answers, and `lost` applies writes but drops the
            connection instead of answering them.
        after_read: Called after each answer with rows of a table.
        era: Text of the era in each answer; '' for none.
        now: Called for the clock in each answer about rows.
    """

    def __init__(self):
        self.version = 0
        self.rows = {}
        self.changes = []
        self.calls = []
        self.mode = 'serve'
        self.oldest = 0
        self.address = ''
        self.after_read = lambda: None
        self.era = ''
        self.now = lambda: 1.5
        self._server = None
        self._waiting = []

    async def start(self, bind):
        """Listen at `ip:port`."""
        self._server = callserver.Server(
            self,
            clock.SystemClock(),
            bodymemory.Budget(1 << 24),
            bodymemory.Budget(1 << 24),
        )
        self.address = await self._server.start(bind)

    async def close(self):
        """Stop listening and close all connections."""
        await self._server.close()

    def body_limit(self, request):
        """Return the maximum size of a request body in bytes."""
        return 1 << 20

    def put(self, table, key, value):
        """Write a row, as the operator does for the configuration."""
        encoded = base64.b64encode(value).decode()
        entry = {'table': table, 'key': key, 'value': encoded}
        self._write({'puts': [entry], 'remove': []})

    def value(self, table, key):
        """Return the bytes of a row, or None."""
        row = self.rows.get((table, key))
        return None if row is None else base64.b64decode(row['value'])

    def copy(self):
        """Return a copy of the rows, to be restored later."""
        return dict(self.rows), self.version

    def restore(self, copied):
        """Return to a copy, in a new era; calls that wait are cut."""
        rows, self.version = copied
        self.rows = dict(rows)
        self.era = str(int(self.era or 0) + 1)
        self.compact()
        while self._waiting:
            exchange, _ = self._waiting.pop()
            exchange.drop()

    def compact(self):
        """Discard the history of changes."""
        self.oldest = self.version
        self.changes.clear()

    def handle(self, exchange):
        """Answer one request."""
        request = exchange.request
        self.calls.append(request.path)
        if self.mode == 'busy':
            self._reply(exchange, 503, {})
        elif self.mode == 'many':
            self._reply(exchange, 429, {})
        elif self.mode == 'broken':
            self._reply(exchange, 500, {})
        elif self.mode == 'reset':
            exchange.drop()
        elif self.mode == 'silent':
            return
        elif request.path == '/api/rows-tx':
            body = json.loads(b''.join(request.chunks))
            if not all(map(self._holds, body['expected_rev'])):
                self._reply(exchange, 412, {})
                return
            self._write(body)
            if self.mode == 'lost':
                exchange.drop()
            else:
                self._reply(exchange, 200, {})
        else:
            query = dict(
                urllib.parse.parse_qsl(request.target.decode().split('?')[1])
            )
            if request.path == '/api/rows-get':
                self._answer_read(exchange, query)
            else:
                self._answer_feed(exchange, query)

    def _holds(self, condition):
        """Return whether a condition of a transaction holds."""
        row = self.rows.get((condition['table'], condition['key']))
        return condition['row_version'] == (row['row_version'] if row else 0)

    def _write(self, body):
        self.version += 1
        for entry in body['puts']:
            row = {
                'key': entry['key'],
                'value': entry['value'],
                'row_version': self.version,
            }
            self.rows[entry['table'], entry['key']] = row
            self._append_change(entry['table'], row)
        for entry in body['remove']:
            if self.rows.pop((entry['table'], entry['key']), None):
                self._append_change(
                    entry['table'], {'key': entry['key'], 'deleted': True}
                )
        for exchange, query in self._waiting[:]:
            self._waiting.remove((exchange, query))
            self._answer_feed(exchange, query)

    def _append_change(self, table, row):
        row = {**row, 'row_version': self.version}
        self.changes.append((self.version, table, row))

    def _answer_read(self, exchange, query):
        found = sorted(
            key
            for table, key in self.rows
            if table == query['table']
            and key >= query.get('from', '')
            and ('to' not in query or key < query['to'])
        )
        rows = [self.rows[query['table'], key] for key in found[:PAGE_ROWS]]
        self._reply(
            exchange, 200, {'rows': rows, 'has_more': len(found) > PAGE_ROWS}
        )
        self.after_read()

    def _answer_feed(self, exchange, query):
        after = int(query['after'])
        if after < self.oldest or after > self.version:
            self._reply(exchange, 410, {})
            return
        rows = [
            row
            for version, table, row in self.changes
            if version > after and table == query['table']
        ]
        if rows:
            self._reply(exchange, 200, {'rows': rows})
        else:
            self._waiting.append((exchange, query))
            asyncio.get_running_loop().call_later(
                int(query['wait_ms']) / 1000,
                self._answer_without_changes,
                exchange,
                query,
            )

    def _answer_without_changes(self, exchange, query):
        if (exchange, query) in self._waiting:
            self._waiting.remove((exchange, query))
            self._reply(exchange, 200, {'rows': []})

    def _reply(self, exchange, status, body):
        body = {**body, 'row_version': self.version, 'now_s': self.now()}
        encoded = json.dumps(body).encode()
        headers = [(b'Store-Era', self.era.encode())] if self.era else []
        exchange.reply(
            callserver.Answer(status, headers, [encoded], len(encoded))
        )
