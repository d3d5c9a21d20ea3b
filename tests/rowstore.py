"""Stand-in of the platform's table, as its page describes it."""

import asyncio
import base64
import json
import urllib.parse

from jujubefold import bodymemory
from jujubefold import callserver
from jujubefold import clock

# Rows in a page of the stand-in, fewer than a table of the tests has.
PAGE = 3


class RowStore:
    """Rows in one event loop, with faults on demand."""

    def __init__(self):
        self.version = 0
        self.rows = {}
        self.changes = []
        self.calls = []
        self.mode = 'serve'
        self.oldest = 0
        self.address = ''
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
        """End everything."""
        await self._server.close()

    def body_limit(self, request):
        """Return the most bytes that a body may have."""
        return 1 << 20

    def put(self, table, key, value):
        """Write a row as the operator does."""
        encoded = base64.b64encode(value).decode()
        entry = {'table': table, 'key': key, 'value': encoded}
        self._write({'puts': [entry], 'remove': []})

    def compact(self):
        """Drop the history."""
        self.oldest = self.version
        self.changes.clear()

    def handle(self, exchange):
        """Serve one call."""
        request = exchange.request
        self.calls.append(request.path)
        if self.mode == 'busy':
            self._reply(exchange, 503, {})
        elif self.mode == 'many':
            self._reply(exchange, 429, {})
        elif self.mode == 'reset':
            exchange.drop()
        elif self.mode == 'silent':
            return
        elif request.path == '/api/rows-tx':
            self._write(json.loads(b''.join(request.chunks)))
            if self.mode == 'lost':
                exchange.drop()
            else:
                self._reply(exchange, 200, {})
        else:
            query = dict(
                urllib.parse.parse_qsl(request.target.decode().split('?')[1])
            )
            if request.path == '/api/rows-get':
                self._read(exchange, query)
            else:
                self._follow(exchange, query)

    def _write(self, body):
        self.version += 1
        for entry in body['puts']:
            row = {'key': entry['key'], 'value': entry['value']}
            self.rows[entry['table'], entry['key']] = row
            self._note(entry['table'], row)
        for entry in body['remove']:
            if self.rows.pop((entry['table'], entry['key']), None):
                self._note(
                    entry['table'], {'key': entry['key'], 'deleted': True}
                )
        for exchange, query in self._waiting[:]:
            self._waiting.remove((exchange, query))
            self._follow(exchange, query)

    def _note(self, table, row):
        row = {**row, 'row_version': self.version}
        self.changes.append((self.version, table, row))

    def _read(self, exchange, query):
        found = sorted(
            key
            for table, key in self.rows
            if table == query['table']
            and key >= query.get('from', '')
            and ('to' not in query or key < query['to'])
        )
        rows = [self.rows[query['table'], key] for key in found[:PAGE]]
        self._reply(
            exchange, 200, {'rows': rows, 'has_more': len(found) > PAGE}
        )

    def _follow(self, exchange, query):
        after = int(query['after'])
        if after < self.oldest:
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
                int(query['wait_ms']) / 1000, self._give_up, exchange, query
            )

    def _give_up(self, exchange, query):
        if (exchange, query) in self._waiting:
            self._waiting.remove((exchange, query))
            self._reply(exchange, 200, {'rows': []})

    def _reply(self, exchange, status, body):
        body = {**body, 'row_version': self.version, 'now_s': 1.5}
        encoded = json.dumps(body).encode()
        exchange.reply(callserver.Answer(status, [], [encoded], len(encoded)))
