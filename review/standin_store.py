"""Stand-in for the platform's store: rows, transactions and the feed."""

import asyncio
import base64
import json
import time
import urllib.parse

import standin_web as web

ROUTE_COLUMNS = [
    'name',
    'host',
    'prefix',
    'kind',
    'timeout_s',
    'target_latency_s',
    'priority',
    'service',
    'max_attempts',
]


def configuration(version, routes, services):
    """Return the bytes of the operator's row.

    Args:
        routes: Dicts by column.
        services: Names.
    """
    return json.dumps(
        {
            'version': version,
            'routes': {
                'columns': ROUTE_COLUMNS,
                'rows': [[r.get(c) for c in ROUTE_COLUMNS] for r in routes],
            },
            'services': {
                'columns': ['name', 'health_path', 'max_connections'],
                'rows': [[name, '/health', 120] for name in services],
            },
            'limits': {
                'max_header_bytes': 16384,
                'max_body_bytes': 1 << 20,
                'header_timeout_s': 3,
                'idle_timeout_s': 15,
            },
        }
    ).encode()


class Store:
    """Linearizable rows over HTTP.

    Attributes:
        down: Whether each call gets 503: nothing was done.
    """

    def __init__(self):
        self.address = ''
        self.down = False
        self._version = 0
        self._rows = {}
        self._changes = []
        self._changed = asyncio.Event()
        self._server = None

    async def start(self):
        """Listen on a free loopback port."""
        self.address = web.free_address()
        self._server = await asyncio.start_server(
            self._serve, *web.split(self.address)
        )

    def put(self, table, key, value):
        """Write a row, as the operator does."""
        encoded = base64.b64encode(value).decode()
        self._apply({'puts': [{'table': table, 'key': key, 'value': encoded}]})

    async def _serve(self, reader, writer):
        try:
            while True:
                message = await web.read(reader)
                status, body = await self._answer(message)
                body = {
                    **body,
                    'row_version': self._version,
                    'now_s': time.monotonic(),
                }
                writer.write(
                    web.answer(
                        status,
                        json.dumps(body).encode(),
                        [('Content-Type', 'application/json')],
                    )
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            writer.close()

    async def _answer(self, message):
        path, _, query = message.first[1].partition('?')
        query = dict(urllib.parse.parse_qsl(query))
        await asyncio.sleep(0.004)
        if self.down:
            return '503 Service Unavailable', {}
        if path == '/api/rows-tx':
            return self._transact(json.loads(message.body))
        if path == '/api/rows-get':
            return '200 OK', self._read(query)
        if path == '/api/rows-feed':
            return '200 OK', await self._feed(query)
        return '404 Not Found', {}

    def _transact(self, body):
        for item in body.get('expected_rev', ()):
            row = self._rows.get((item['table'], item['key']))
            if item['row_version'] != (row['row_version'] if row else 0):
                return '412 Precondition Failed', {'rows': []}
        self._apply(body)
        return '200 OK', {}

    def _apply(self, body):
        self._version += 1
        for item in body.get('puts', ()):
            row = {
                'table': item['table'],
                'part': '',
                'key': item['key'],
                'value': item['value'],
                'row_version': self._version,
            }
            self._rows[item['table'], item['key']] = row
            self._changes.append((self._version, row))
        for item in body.get('remove', ()):
            if self._rows.pop((item['table'], item['key']), None):
                row = {
                    'table': item['table'],
                    'part': '',
                    'key': item['key'],
                    'deleted': True,
                    'row_version': self._version,
                }
                self._changes.append((self._version, row))
        self._changed.set()
        self._changed = asyncio.Event()

    def _read(self, query):
        found = sorted(
            key
            for table, key in self._rows
            if table == query['table']
            and key >= query.get('from', '')
            and ('to' not in query or key < query['to'])
        )
        limit = int(query.get('limit', 500))
        rows = [self._rows[query['table'], key] for key in found[:limit]]
        return {'rows': rows, 'has_more': len(found) > limit}

    async def _feed(self, query):
        deadline = time.monotonic() + int(query.get('wait_ms', 0)) / 1000
        after = int(query['after'])
        while True:
            rows = [
                row
                for version, row in self._changes
                if version > after and row['table'] == query['table']
            ]
            left = deadline - time.monotonic()
            if rows or left <= 0 or self.down:
                return {'rows': rows}
            changed = self._changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                continue
