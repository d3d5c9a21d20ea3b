"""The stand-in: its faults as clients see them, and its console program."""

import asyncio
import json
import signal
import subprocess
import sys

import msgspec
import testtools
import urllib3

from jujubefold import clock
from jujubefold import errors
from jujubefold import objectservice
from jujubefold import standin
from jujubefold import storeclient
from jujubefold import table
from jujubefold import tableprotocol
from jujubefold import tableservice
from tests import test_table

DONE = type(None)
NOT_RUN = errors.StoreNotRun
UNKNOWN = errors.StoreUnknown
TIMEOUT_S = 0.5
SLOWER_S = 1.5

# Fault; what a write, a write with a token and a read are told; how often
# the write and the write with a token took effect.
FAULTS = (
    ('none', DONE, DONE, DONE, 1, 1),
    ('down', NOT_RUN, NOT_RUN, NOT_RUN, 0, 0),
    ('closed', UNKNOWN, DONE, NOT_RUN, 0, 1),
    ('slow', UNKNOWN, UNKNOWN, NOT_RUN, 1, 1),
    ('answer-lost', UNKNOWN, DONE, NOT_RUN, 1, 1),
)


class PlatformCase(testtools.TestCase):
    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.platform = standin.Platform()
        cls.platform.start()
        cls.addClassCleanup(cls.platform.stop)

    def setUp(self):
        super().setUp()
        self.addCleanup(self.platform.fault, 'table', 'none')
        self.addCleanup(self.platform.fault, 'objects', 'none')

    def services(self, timeout=TIMEOUT_S, served=None):
        served = served or self.platform
        for make, url in (
            (tableservice.TableService, served.table_url),
            (objectservice.ObjectService, served.objects_url),
        ):
            service = make(
                url,
                clock.SystemClock(),
                timeout,
                test_table.new_unlimited_limiter(),
            )
            self.addCleanup(service.close)
            yield service


def told(result):
    """Return the type of a result's failure, or of None."""
    return DONE if result.is_ok() else type(result.error)


class TestFaults(PlatformCase):
    def test_table_outcomes(self):
        for mode, *expected in FAULTS:
            rows, _ = self.services()
            self.assertEqual(expected, self.outcomes(rows, mode), mode)

    def outcomes(self, rows, mode):
        plain = table.Key(mode, 'plain')
        tokened = table.Key(mode, 'tokened')
        found = []
        for call in (
            lambda: rows.transact([table.Put(plain, {})]),
            lambda: rows.transact(
                [table.Put(tokened, {}, table.Absent())], token=mode
            ),
            lambda: rows.read([plain]),
        ):
            self.platform.fault('table', mode, SLOWER_S, count=1)
            found.append(told(asyncio.run(call())))
        self.platform.fault('table', 'none')
        for key in (plain, tokened):
            found.append(self.landed(rows, key))
        return found

    def landed(self, rows, key):
        async def look():
            # A slow write may land after its client gave up.
            for _ in range(100):
                row = (await rows.read([key])).ok[0]
                if row is not None or not self.is_expected(key):
                    return row is not None
                await asyncio.sleep(0.05)
            return False

        return int(asyncio.run(look()))

    def is_expected(self, key):
        plain, tokened = dict((f[0], f[4:]) for f in FAULTS)[key.table]
        return plain if key.row == 'plain' else tokened

    def test_object_outcomes(self):
        cases = (
            ('down', NOT_RUN, NOT_RUN, NOT_RUN),
            ('closed', DONE, UNKNOWN, NOT_RUN),
            ('slow', UNKNOWN, UNKNOWN, NOT_RUN),
            ('answer-lost', DONE, UNKNOWN, NOT_RUN),
        )
        for mode, *expected in cases:
            # New limits for each, so that no circuit opens in between.
            _, blobs = self.services()
            found = []
            for call in (
                blobs.put(mode.encode()),
                blobs.delete('0' * 64),
                blobs.get('1' * 64),
            ):
                self.platform.fault('objects', mode, SLOWER_S, count=1)
                found.append(told(asyncio.run(call)))
            self.assertEqual(expected, found, mode)

    def test_nobody_listens(self):
        served = standin.Platform()
        served.start()
        rows, blobs = self.services(served=served)
        served.stop()
        put = table.Put(table.Key('a', 'b'), {})
        for call in (rows.transact([put]), blobs.put(b''), blobs.list_blobs()):
            self.assertEqual(NOT_RUN, told(asyncio.run(call)))

    def test_capacity(self):
        served = standin.Platform(writes_per_second=1.0)
        served.start()
        self.addCleanup(served.stop)
        rows, _ = self.services(10.0, served)

        async def burst():
            return await asyncio.gather(
                *(
                    rows.transact([table.Put(table.Key('a', str(n)), {})])
                    for n in range(20)
                )
            )

        results = [told(result) for result in asyncio.run(burst())]
        self.assertIn(NOT_RUN, results)
        self.assertEqual({DONE, NOT_RUN}, set(results))

    def test_counts(self):
        rows, _ = self.services()
        before = self.platform.counts()['table']
        puts = [table.Put(table.Key('c', str(n)), {}) for n in range(3)]
        asyncio.run(rows.transact(puts))
        asyncio.run(rows.read([puts[0].key]))
        after = self.platform.counts()['table']
        self.assertEqual(1, after.writes - before.writes)
        self.assertEqual(1, after.reads - before.reads)
        self.assertEqual(3, after.rows_written - before.rows_written)


class TestSilentConnections(testtools.TestCase):
    ABSENT = b'<Error><Code>NoSuchKey</Code></Error>'

    async def answer_once(self, reader, writer):
        """Answer the first request of a connection and no other."""
        await reader.readuntil(b'\r\n\r\n')
        # Answered in pairs, so that two calls need two connections.
        await self.both.wait()
        head = b'HTTP/1.1 404 Not Found\r\nContent-Length: %d\r\n\r\n'
        writer.write(head % len(self.ABSENT) + self.ABSENT)
        await reader.read()
        writer.close()

    def test_one_silent_connection_empties_the_pool(self):
        async def main():
            self.both = asyncio.Barrier(2)
            server = await asyncio.start_server(
                self.answer_once, '127.0.0.1', 0
            )
            port = server.sockets[0].getsockname()[1]
            blobs = objectservice.ObjectService(
                f'http://127.0.0.1:{port}/objects',
                clock.SystemClock(),
                TIMEOUT_S,
                test_table.new_unlimited_limiter(),
            )
            self.addCleanup(blobs.close)
            found = []
            for clients in (2, 1, 2):
                calls = [blobs.get('0' * 64) for _ in range(clients)]
                found += await asyncio.gather(*calls)
            server.close()
            return [told(result) for result in found]

        expected = [DONE, DONE, NOT_RUN, DONE, DONE]
        self.assertEqual(expected, asyncio.run(main()))


class TestProtocol(PlatformCase):
    def setUp(self):
        super().setUp()
        self.http = urllib3.PoolManager(retries=False)

    def request(self, method, path, body=b'', **headers):
        url = f'http://{self.platform.address}{path}'
        return self.http.request(method, url, body=body, headers=headers)

    def test_bad_table_requests(self):
        item = {'Put': {'Item': {'_table': {'S': 't'}, '_row': {'S': 'r'}}}}
        condition = {**item['Put'], 'ConditionExpression': 'size(x) > :y'}
        cases = (
            ('TransactWriteItems', b'{', 'SerializationException'),
            ('TransactWriteItems', b'{}', 'SerializationException'),
            ('DropTable', b'{}', 'UnknownOperationException'),
            ('TransactWriteItems', {'TransactItems': []}, None),
            ('TransactWriteItems', {'TransactItems': [{}]}, None),
            ('TransactWriteItems', {'TransactItems': [item, item]}, None),
            ('TransactWriteItems', {'TransactItems': [item] * 101}, None),
            (
                'TransactWriteItems',
                {'TransactItems': [{'Put': condition}]},
                None,
            ),
            (
                'TransactWriteItems',
                {'TransactItems': [{'Put': {'Item': {'_row': {'S': ''}}}}]},
                None,
            ),
            (
                'TransactWriteItems',
                {'TransactItems': [item], 'ClientRequestToken': 'x' * 37},
                None,
            ),
        )
        for operation, body, expected in cases:
            encoded = body if isinstance(body, bytes) else json.dumps(body)
            target = tableprotocol.TARGET_PREFIX + operation
            answer = self.request(
                'POST', '/', encoded, **{'X-Amz-Target': target}
            )
            failure = msgspec.json.decode(
                answer.data, type=tableprotocol.Failure
            )
            self.assertEqual(400, answer.status, body)
            self.assertEqual(expected or 'ValidationException', failure.name)

    def test_bad_object_requests(self):
        cases = (
            ('GET', '/other/key', {}, 404, b'NoSuchBucket'),
            ('GET', '/objects/key', {}, 404, b'NoSuchKey'),
            ('GET', '/objects', {}, 400, b'InvalidArgument'),
            ('PUT', '/objects/k', {'If-None-Match': 'x'}, 400, b'Invalid'),
            ('POST', '/objects/k', {}, 405, b'MethodNotAllowed'),
        )
        for method, path, headers, status, code in cases:
            answer = self.request(method, path, **headers)
            self.assertEqual(status, answer.status, path)
            self.assertIn(code, answer.data)

    def test_faults_over_http(self):
        good = {'service': 'objects', 'mode': 'down', 'count': 1}
        cases = (
            (good, 200),
            ({**good, 'mode': 'melted'}, 400),
            ({**good, 'count': 0}, 400),
            ({**good, 'colour': 'red'}, 400),
        )
        for body, status in cases:
            answer = self.request('PUT', '/_faults', json.dumps(body))
            self.assertEqual(status, answer.status, body)
        statuses = [self.request('GET', '/objects/k').status for _ in '12']
        self.assertEqual([503, 404], statuses)
        self.assertIn(b'"rows_written"', self.request('GET', '/_counts').data)
        self.assertEqual(404, self.request('GET', '/_other').status)

    def test_what_error_answers_prove(self):
        cancelled = {
            '__type': 'x#TransactionCanceledException',
            'CancellationReasons': [
                {'Code': 'None'},
                {'Code': 'TransactionConflict'},
            ],
        }
        refused = dict(cancelled)
        refused['CancellationReasons'] = [
            {'Code': 'TransactionConflict'},
            {'Code': 'ConditionalCheckFailed', 'Message': 'no'},
        ]
        cases = (
            # Something between us and the service answered in its place.
            (503, '<html>busy</html>', UNKNOWN),
            (503, '', UNKNOWN),
            (502, '{"a": 1}', UNKNOWN),
            (500, '{"__type": "x#InternalServerError"}', UNKNOWN),
            (400, '{"__type": "x#TransactionInProgressException"}', UNKNOWN),
            (400, '{"__type": "x#ThrottlingException"}', NOT_RUN),
            (503, '{"__type": "x#ServiceUnavailable"}', NOT_RUN),
            (400, json.dumps(cancelled), NOT_RUN),
            (400, json.dumps(refused), errors.ConditionFailed),
        )
        for status, body, expected in cases:
            answer = storeclient.Response(status, {}, body.encode())
            found = tableservice._transacted(answer)
            self.assertEqual(expected, told(found), body)
        self.assertEqual((1,), found.error.failed)


class TestProgram(testtools.TestCase):
    def test_prints_address_and_ends_on_sigterm(self):
        process = subprocess.Popen(
            [sys.executable, '-m', 'jujubefold.standin'],
            stdout=subprocess.PIPE,
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.kill)
        bound = json.loads(process.stdout.readline())
        answer = urllib3.request('GET', f'http://{bound["address"]}/_counts')
        self.assertEqual(200, answer.status)
        process.send_signal(signal.SIGTERM)
        self.assertEqual(0, process.wait(timeout=30))

    def test_bad_address(self):
        for listen in ('nowhere', '127.0.0.1:99999', ':1'):
            ended = subprocess.run(
                [
                    sys.executable,
                    '-m',
                    'jujubefold.standin',
                    '--listen',
                    listen,
                ],
                capture_output=True,
                timeout=60,
            )
            self.assertEqual((2, b''), (ended.returncode, ended.stdout))
            self.assertIn(b'ip:port', ended.stderr)
