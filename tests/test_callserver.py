"""Tests of the call path's HTTP server, over real sockets."""

import asyncio
import re

import hypothesis
from hypothesis import strategies
import testtools

from jujubefold import bodymemory
from jujubefold import callhandler
from jujubefold import callpipeline
from jujubefold import callserver
from jujubefold import clock

BODY_LIMIT = 1000
# Heads of requests, without the empty line that ends them.
GET_HEAD = b'GET / HTTP/1.1\r\nHost: a\r\n'
CHUNKED_POST_HEAD = (
    b'POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n'
)

# Invalid requests, and the status of the answer that rejects each.
REJECTED = (
    (b'nonsense\r\n\r\n', 400),
    (b'GET / HTTP/1.1\r\n\r\n', 400),
    (GET_HEAD + b'Host: b\r\n\r\n', 400),
    (b'GET /\r\n\r\n', 505),
    (b'GET / HTTP/2.0\r\nHost: a\r\n\r\n', 505),
    (b'TRACE / HTTP/1.1\r\nHost: a\r\n\r\n', 501),
    (b'CONNECT a:1 HTTP/1.1\r\nHost: a\r\n\r\n', 501),
    (GET_HEAD + b'Connection: upgrade\r\nUpgrade: websocket\r\n\r\n', 501),
    (GET_HEAD + b'Expect: miracles\r\n\r\n', 417),
    (GET_HEAD + b'X: a\r\n folded\r\n\r\n', 400),
    (GET_HEAD + b'X : a\r\n\r\n', 400),
    (GET_HEAD + b'X: a\0b\r\n\r\n', 400),
    (GET_HEAD + b'X: a\nY: b\r\n\r\n', 400),
    (GET_HEAD + b'Content-Length: 1\r\nContent-Length: 1\r\n\r\nx', 400),
    (GET_HEAD + b'Content-Length: 1, 1\r\n\r\nx', 400),
    (GET_HEAD + b'Content-Length: -1\r\n\r\n', 400),
    (GET_HEAD + b'Content-Length: +1\r\n\r\nx', 400),
    (CHUNKED_POST_HEAD + b'Content-Length: 5\r\n\r\n0\r\n\r\n', 400),
    (
        GET_HEAD + b'Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n',
        400,
    ),
    (CHUNKED_POST_HEAD + b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n', 400),
    (GET_HEAD + b'Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n', 501),
    (GET_HEAD + b'Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n', 501),
    (CHUNKED_POST_HEAD.replace(b'1.1', b'1.0') + b'\r\n0\r\n\r\n', 400),
    (CHUNKED_POST_HEAD + b'\r\nzz\r\n', 400),
    (CHUNKED_POST_HEAD + b'\r\n3 \r\nabc\r\n0\r\n\r\n', 400),
    (CHUNKED_POST_HEAD + b'\r\nfffffffffffffffff\r\n', 400),
    (CHUNKED_POST_HEAD + b'\r\n3\r\nabcX', 400),
    (CHUNKED_POST_HEAD + b'\r\n1;' + b'x' * 600_000, 400),
    (CHUNKED_POST_HEAD + b'\r\n3e9\r\n' + b'x' * 1001, 413),
    (GET_HEAD + b'Content-Length: 1001\r\n\r\n', 413),
    (b'GET /' + b'a' * 9000 + b' HTTP/1.1\r\nHost: a\r\n\r\n', 414),
    (b'GET /' + b'a' * 40_000, 414),
    (GET_HEAD + b'X: ' + b'a' * 40_000, 431),
    (GET_HEAD + b'X: a\r\n' * 200 + b'\r\n', 431),
    (b'GET /a#b HTTP/1.1\r\nHost: a\r\n\r\n', 400),
    (b'GET /a/../b HTTP/1.1\r\nHost: a\r\n\r\n', 400),
    (b'GET /a/%2E%2e/b HTTP/1.1\r\nHost: a\r\n\r\n', 400),
    (b'GET /a%2f..%2fb HTTP/1.1\r\nHost: a\r\n\r\n', 400),
    (b'GET a HTTP/1.1\r\nHost: a\r\n\r\n', 400),
    (GET_HEAD + b'Idempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n', 400),
)


class Handler(callhandler.Handler):
    """Answers with method, target and body, at once or on request."""

    def __init__(self):
        self.handled = []
        self.held = []
        self.hold = False
        self.overlapping = False
        self.disconnects = 0
        self.status = 200
        self.extra = b''

    def body_limit(self, request):
        return BODY_LIMIT

    def may_overlap(self, request):
        return self.overlapping and request.method == 'GET'

    def handle(self, exchange):
        self.handled.append(exchange.request)
        exchange.on_disconnect = self._on_disconnect
        if self.hold:
            self.held.append(exchange)
        else:
            self.answer(exchange)

    def answer(self, exchange):
        request = exchange.request
        body = b'%b %b %b' % (
            request.method.encode(),
            request.target,
            b''.join(request.chunks),
        )
        chunks = [body, self.extra]
        size = len(body) + len(self.extra)
        exchange.reply(callserver.Answer(self.status, [], chunks, size))

    def _on_disconnect(self):
        self.disconnects += 1


class RunningServer:
    """Runs a server on a paused clock for the duration of a test."""

    def __init__(self, memory=1 << 20):
        self.clock = clock.PausedClock()
        self.handler = Handler()
        self.requests = bodymemory.Budget(memory)
        self.server = callserver.Server(
            self.handler, self.clock, self.requests, bodymemory.Budget(1 << 24)
        )

    async def __aenter__(self):
        self.address = await self.server.start('127.0.0.1:0')
        return self

    async def __aexit__(self, *_):
        await self.server.close()

    async def connect(self):
        host, _, port = self.address.rpartition(':')
        return await asyncio.open_connection(host, int(port))

    async def send_raw(self, data, close=False):
        """Send bytes and return all bytes received until the end."""
        reader, writer = await self.connect()
        writer.write(data)
        if close:
            writer.close()
        try:
            return await asyncio.wait_for(reader.read(), 10)
        except ConnectionError:
            return b''
        finally:
            writer.close()

    async def until(self, condition):
        for _ in range(1000):
            if condition():
                return
            await asyncio.sleep(0.005)
        raise AssertionError('condition not met within 5 s')

    def advance_time(self, seconds):
        for _ in range(int(seconds / callserver.SWEEP_INTERVAL_S)):
            self.clock.advance(callserver.SWEEP_INTERVAL_S)
            self.server.sweep()


async def _read_answer(reader, method='GET'):
    head = await reader.readuntil(b'\r\n\r\n')
    status = int(head.split()[1])
    length = int(re.search(rb'content-length: (\d+)', head)[1])
    body = b'' if method == 'HEAD' else await reader.readexactly(length)
    return status, head, body


class TestServer(testtools.TestCase):
    def run_with(self, scenario, **extra):
        async def main():
            async with RunningServer(**extra) as running:
                await scenario(running)

        asyncio.run(main())

    def test_protocol_violations_are_rejected_and_closed(self):
        async def scenario(running):
            for data, status in REJECTED:
                answer = await running.send_raw(data)
                self.assertEqual(
                    b'HTTP/1.1 %d' % status, answer[:12], data[:90]
                )
                self.assertIn(b'jujubefold-outcome: did-not-run', answer)
                self.assertIn(b'connection: close', answer)
            self.assertEqual([], running.handler.handled)

        self.run_with(scenario)

    def test_smuggled_request_is_not_served(self):
        async def scenario(running):
            smuggled = b'GET /hidden HTTP/1.1\r\nHost: a\r\n\r\n'
            for data, _ in REJECTED:
                await running.send_raw(data + smuggled)
            targets = [request.target for request in running.handler.handled]
            self.assertNotIn(b'/hidden', targets)

        self.run_with(scenario)

    def test_accepted_request_targets(self):
        forms = (
            (b'GET http://b/x HTTP/1.1\r\nHost: a\r\n', b'GET /x '),
            (b'OPTIONS * HTTP/1.1\r\nHost: a\r\n', b'OPTIONS * '),
            (b'GET /a.b?c=../d HTTP/1.1\r\nHost: a\r\n', b'GET /a.b?c=../d '),
            (b'GET / HTTP/1.0\r\n', b'GET / '),
        )

        async def scenario(running):
            for head, body in forms:
                answer = await running.send_raw(
                    head + b'Connection: close\r\n\r\n'
                )
                self.assertEqual(body, answer.partition(b'\r\n\r\n')[2])
            self.assertEqual('b', running.handler.handled[0].host)

        self.run_with(scenario)

    def test_trailers_are_dropped(self):
        async def scenario(running):
            body = b'1;e=f\r\nx\r\n0\r\nHost: z\r\n\r\n'
            await running.send_raw(
                CHUNKED_POST_HEAD + b'Connection: close\r\n\r\n' + body
            )
            request = running.handler.handled[0]
            self.assertEqual('a', request.host)
            self.assertEqual([b'x'], request.chunks)
            self.assertNotIn((b'host', b'z'), request.headers)

        self.run_with(scenario)

    def test_truncated_upload_is_not_handled(self):
        uploads = (
            GET_HEAD + b'Content-Length: 5\r\n\r\nhell',
            CHUNKED_POST_HEAD + b'\r\n3\r\nabc\r\n',
            CHUNKED_POST_HEAD + b'\r\n3\r\nabc\r\n0\r\n',
            GET_HEAD,
        )

        async def scenario(running):
            for data in uploads:
                await running.send_raw(data, close=True)
            await running.until(lambda: not running.server.connections)
            self.assertEqual([], running.handler.handled)
            self.assertEqual(0, running.requests.used)

        self.run_with(scenario)

    def test_expect_continue_and_head_and_bodiless_statuses(self):
        async def scenario(running):
            reader, writer = await running.connect()
            head = b'Expect: 100-continue\r\nContent-Length: 2\r\n\r\n'
            writer.write(GET_HEAD.replace(b'GET', b'POST') + head)
            interim = await reader.readuntil(b'\r\n\r\n')
            self.assertEqual(b'HTTP/1.1 100 Continue\r\n\r\n', interim)
            writer.write(b'ok')
            self.assertEqual(b'POST / ok', (await _read_answer(reader))[2])
            writer.write(GET_HEAD.replace(b'GET', b'HEAD') + b'\r\n')
            self.assertEqual(200, (await _read_answer(reader, 'HEAD'))[0])
            running.handler.status = 204
            writer.write(GET_HEAD + b'\r\n')
            answer = await reader.readuntil(b'\r\n\r\n')
            self.assertNotIn(b'content-length', answer)
            running.handler.status = 200
            writer.write(GET_HEAD + b'\r\n')
            self.assertEqual(b'GET / ', (await _read_answer(reader))[2])
            writer.close()

        self.run_with(scenario)

    def test_slow_callers_are_rejected_or_closed(self):
        timeouts = callserver.Timeouts()
        cases = (
            (b'GET / HTTP/1.1\r\nHo', timeouts.head, b'HTTP/1.1 408'),
            (GET_HEAD + b'Content-Length: 9\r\n\r\nx', timeouts.body, b'HTTP'),
            (b'', timeouts.idle, b''),
        )

        async def scenario(running):
            for data, timeout, expected in cases:
                reader, writer = await running.connect()
                writer.write(data)
                await running.until(lambda: running.server.connections)
                await asyncio.sleep(0.05)
                running.advance_time(timeout - 1)
                self.assertEqual(1, running.server.connections)
                running.advance_time(2)
                answer = await asyncio.wait_for(reader.read(), 10)
                self.assertEqual(expected, answer[: len(expected)])
                writer.close()
                await running.until(lambda: not running.server.connections)
            self.assertEqual([], running.handler.handled)

        self.run_with(scenario)

    def test_slowly_sent_headers_do_not_extend_the_timeout(self):
        async def scenario(running):
            reader, writer = await running.connect()
            writer.write(GET_HEAD)
            for _ in range(12):
                writer.write(b'X: y\r\n')
                await asyncio.sleep(0.01)
                running.advance_time(1)
            answer = await asyncio.wait_for(reader.read(), 10)
            self.assertEqual(b'HTTP/1.1 408', answer[:12])
            writer.close()

        self.run_with(scenario)

    def test_caller_that_does_not_read_is_closed(self):
        async def scenario(running):
            running.handler.extra = bytes(8 << 20)
            _, writer = await running.connect()
            writer.write(GET_HEAD + b'\r\n')
            await running.until(lambda: running.handler.handled)
            await asyncio.sleep(0.05)
            running.advance_time(callserver.Timeouts().write + 1)
            await running.until(lambda: not running.server.connections)
            writer.close()

        self.run_with(scenario)

    def test_body_waits_for_memory_until_a_timeout(self):
        async def scenario(running):
            running.handler.hold = True
            post = GET_HEAD.replace(b'GET', b'POST')
            body = b'Content-Length: 600\r\n\r\n' + bytes(600)
            first, first_writer = await running.connect()
            first_writer.write(post + body)
            await running.until(lambda: running.handler.held)
            second, second_writer = await running.connect()
            second_writer.write(post + body)
            await running.until(lambda: running.server.connections == 2)
            await asyncio.sleep(0.05)
            self.assertEqual(1, len(running.handler.handled))
            running.handler.answer(running.handler.held.pop())
            await running.until(lambda: running.handler.held)
            third, third_writer = await running.connect()
            third_writer.write(post + body)
            await asyncio.sleep(0.05)
            running.advance_time(callserver.Timeouts().memory + 1)
            answer = await asyncio.wait_for(third.read(), 10)
            self.assertEqual(b'HTTP/1.1 503', answer[:12])
            self.assertIn(b'retry-after: 1', answer)
            self.assertEqual(2, len(running.handler.handled))
            running.handler.answer(running.handler.held.pop())
            await _read_answer(second)
            for writer in (first_writer, second_writer, third_writer):
                writer.close()
            await running.until(lambda: not running.server.connections)
            self.assertEqual(0, running.requests.used)

        self.run_with(scenario, memory=1000)

    def test_waiting_daemons_are_sent_processing_answers(self):
        async def scenario(running):
            running.server.heartbeat = True
            running.handler.hold = True
            post = GET_HEAD.replace(b'GET', b'POST')
            reader, writer = await running.connect()
            writer.write(post + b'Content-Length: 600\r\n\r\n' + bytes(600))
            await running.until(lambda: running.handler.held)
            waiting, waiting_writer = await running.connect()
            waiting_writer.write(post + b'Content-Length: 600\r\n\r\n')
            await running.until(lambda: running.server.connections == 2)
            await asyncio.sleep(0.05)
            running.advance_time(1.0)
            for end in (reader, waiting):
                head = await asyncio.wait_for(end.readuntil(b'\r\n\r\n'), 10)
                self.assertEqual(b'HTTP/1.1 102 Processing\r\n\r\n', head)
            writer.close()
            waiting_writer.close()

        self.run_with(scenario, memory=1000)

    def test_disconnect_of_the_caller_is_reported(self):
        async def scenario(running):
            running.handler.hold = True
            _, writer = await running.connect()
            writer.write(GET_HEAD + b'\r\n')
            await running.until(lambda: running.handler.held)
            writer.close()
            await running.until(lambda: running.handler.disconnects)
            running.handler.answer(running.handler.held.pop())

        self.run_with(scenario)

    def test_drain_completes_requests_and_closes_connections(self):
        async def scenario(running):
            running.handler.hold = True
            reader, writer = await running.connect()
            idle, idle_writer = await running.connect()
            writer.write(GET_HEAD + b'\r\n')
            await running.until(lambda: running.handler.held)
            running.server.drain()
            idle_writer.write(GET_HEAD + b'\r\n')
            await running.until(lambda: len(running.handler.held) == 2)
            late_exchange = running.handler.held.pop()
            self.assertTrue(late_exchange.request.during_drain)
            running.handler.answer(late_exchange)
            answer = await asyncio.wait_for(idle.read(), 10)
            self.assertIn(b'connection: close', answer)
            self.assertFalse(running.handler.handled[0].during_drain)
            running.handler.answer(running.handler.held.pop())
            answer = await asyncio.wait_for(reader.read(), 10)
            self.assertIn(b'connection: close', answer)
            self.assertTrue(answer.endswith(b'GET / '))
            writer.close()
            idle_writer.close()

        self.run_with(scenario)

    @hypothesis.settings(derandomize=True, max_examples=40, deadline=None)
    @hypothesis.given(
        sizes=strategies.lists(
            strategies.integers(0, 900), min_size=1, max_size=30
        ),
        chunk_size=strategies.integers(1, 3000),
        rng=strategies.randoms(use_true_random=False),
    )
    def test_pipelined_answers_match_their_requests(
        self, sizes, chunk_size, rng
    ):
        async def scenario(running):
            running.handler.hold = True
            data = b''.join(
                b'POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n%b'
                % (index, size, bytes([97 + index % 26]) * size)
                for index, size in enumerate(sizes)
            )
            reader, writer = await running.connect()
            for start in range(0, len(data), chunk_size):
                writer.write(data[start : start + chunk_size])
                if rng.random() < 0.2:
                    await asyncio.sleep(0)
            for index, size in enumerate(sizes):
                await running.until(lambda: running.handler.held)
                self.assertEqual(1, len(running.handler.held))
                running.handler.answer(running.handler.held.pop())
                body = (await _read_answer(reader))[2]
                letter = bytes([97 + index % 26])
                self.assertEqual(b'POST /%d %b' % (index, letter * size), body)
            writer.close()

        self.run_with(scenario, memory=2000)


class TestPipelining(testtools.TestCase):
    """Requests that a caller sends before it has read an answer."""

    def run_with(self, scenario):
        async def main():
            async with RunningServer() as running:
                running.handler.hold = True
                running.handler.overlapping = True
                async with asyncio.timeout(30):
                    await scenario(running)

        asyncio.run(main())

    async def start(self, running, *requests):
        """Send requests in one write; return reader and writer."""
        reader, writer = await running.connect()
        writer.write(b''.join(requests))
        await running.until(lambda: running.handler.held)
        # Whatever may be served beside the first one is handled with it.
        await asyncio.sleep(0.02)
        return reader, writer

    def test_overlapping_requests_are_answered_in_order(self):
        async def scenario(running):
            reader, writer = await self.start(
                running, *(get(f'/{number}') for number in range(4))
            )
            self.assertEqual(4, len(running.handler.held))
            for exchange in reversed(running.handler.held):
                running.handler.answer(exchange)
            for number in range(4):
                body = (await _read_answer(reader))[2]
                self.assertEqual(b'GET /%d ' % number, body)
            writer.close()

        self.run_with(scenario)

    def test_answer_that_cannot_be_sent_ends_its_connection(self):
        """Guards against the next answer being taken for a missing one."""

        async def scenario(running):
            reader, writer = await self.start(running, get('/1'), get('/2'))
            first, second = running.handler.held
            running.handler.answer(second)
            running.handler.status = 600
            running.handler.answer(first)
            received = await asyncio.wait_for(reader.read(), 5)
            self.assertEqual(b'', received)
            writer.close()

        self.run_with(scenario)

    def test_request_that_must_not_repeat_waits_for_those_before_it(self):
        async def scenario(running):
            post = b'POST /w HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx'
            reader, writer = await self.start(
                running, get('/1'), post, get('/2')
            )
            held = running.handler.held
            self.assertEqual(['/1'], [item.request.path for item in held])
            running.handler.answer(held.pop())
            self.assertEqual(['/w'], [item.request.path for item in held])
            running.handler.answer(held.pop())
            self.assertEqual(['/2'], [item.request.path for item in held])
            running.handler.answer(held.pop())
            for expected in (b'GET /1 ', b'POST /w x', b'GET /2 '):
                self.assertEqual(expected, (await _read_answer(reader))[2])
            writer.close()

        self.run_with(scenario)

    def test_number_of_overlapping_requests_is_limited(self):
        async def scenario(running):
            count = 3 * callpipeline.MAX_OVERLAPPING
            reader, writer = await self.start(
                running, *(get(f'/{number}') for number in range(count))
            )
            for number in range(count):
                await running.until(lambda: running.handler.held)
                self.assertGreaterEqual(
                    callpipeline.MAX_OVERLAPPING, len(running.handler.held)
                )
                running.handler.answer(running.handler.held.pop(0))
                body = (await _read_answer(reader))[2]
                self.assertEqual(b'GET /%d ' % number, body)
            writer.close()

        self.run_with(scenario)

    def test_answers_behind_a_slow_one_take_limited_memory(self):
        async def scenario(running):
            running.handler.extra = bytes(callpipeline.MAX_HELD_BYTES)
            reader, writer = await self.start(
                running, get('/1'), get('/2'), get('/3'), get('/4')
            )
            first, second, third, fourth = running.handler.held
            running.handler.answer(second)
            running.handler.answer(third)
            writer.write(get('/5'))
            await asyncio.sleep(0.05)
            self.assertEqual(4, len(running.handler.handled))
            running.handler.answer(first)
            for number in (1, 2, 3):
                body = (await _read_answer(reader))[2]
                self.assertEqual(b'GET /%d ' % number, body.rstrip(b'\0'))
            await running.until(lambda: len(running.handler.handled) == 5)
            writer.close()

        self.run_with(scenario)

    def test_requests_behind_a_closing_answer_are_cancelled(self):
        async def scenario(running):
            closing = get('/1', b'Connection: close\r\n')
            reader, writer = await self.start(
                running, get('/0'), get('/1'), closing
            )
            first, second, last = running.handler.held
            running.handler.answer(second)
            first.reply(callserver.Answer(200, [], [b'bye'], 3, close=True))
            received = await asyncio.wait_for(reader.read(), 10)
            self.assertEqual(1, received.count(b'HTTP/1.1'))
            self.assertIn(b'connection: close', received)
            self.assertEqual(1, running.handler.disconnects)
            running.handler.answer(last)
            writer.close()

        self.run_with(scenario)

    def test_disconnect_ends_all_overlapping_requests(self):
        async def scenario(running):
            _, writer = await self.start(running, get('/1'), get('/2'))
            running.handler.answer(running.handler.held[1])
            writer.transport.abort()
            await running.until(lambda: running.handler.disconnects)
            self.assertEqual(1, running.handler.disconnects)

        self.run_with(scenario)

    def test_requests_received_before_a_drain_are_answered(self):
        async def scenario(running):
            reader, writer = await self.start(running, get('/1'), get('/2'))
            running.server.drain()
            for exchange in tuple(running.handler.held):
                running.handler.answer(exchange)
            self.assertNotIn(b'close', (await _read_answer(reader))[1])
            _, head, body = await _read_answer(reader)
            self.assertIn(b'connection: close', head)
            self.assertEqual(b'GET /2 ', body)
            self.assertEqual(b'', await reader.read())
            writer.close()

        self.run_with(scenario)


def get(path, extra=b''):
    """Return a whole GET request."""
    return b'GET %b HTTP/1.1\r\nHost: a\r\n%b\r\n' % (path.encode(), extra)
