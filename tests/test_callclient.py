"""Tests of the call path's HTTP client, against faulty upstreams."""

import asyncio
import time
from unittest import mock

import testtools

from jujubefold import bodymemory
from jujubefold import callclient
from jujubefold import callserver
from jujubefold import clock
from jujubefold import httpheads

OK = b'HTTP/1.1 200 OK\r\n'
COMPLETE = OK + b'Content-Length: 2\r\n\r\nok'

# Bytes that an upstream sends before it closes the connection, and the kind
# of failure that results; None for a complete answer.
ENDINGS = (
    (b'', callclient.FailureKind.CUT),
    (b'HTTP/1.1 20', callclient.FailureKind.CUT),
    (OK, callclient.FailureKind.CUT),
    (OK + b'Content-Length: 5\r\n\r\nhell', callclient.FailureKind.CUT),
    (OK + b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n', 'cut'),
    (OK + b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n', 'cut'),
    # Without a length, a truncated answer looks like a complete one.
    (OK + b'\r\nok', callclient.FailureKind.CUT),
    (b'HTTP/1.0 200 OK\r\n\r\nok', callclient.FailureKind.CUT),
    (b'nonsense\r\n\r\n', callclient.FailureKind.CUT),
    (OK + b'Content-Length: 2\r\nContent-Length: 3\r\n\r\nok', 'cut'),
    (
        OK + b'Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nok',
        callclient.FailureKind.CUT,
    ),
    (OK + b'X: ' + b'y' * 70_000, callclient.FailureKind.CUT),
    (OK + b'Content-Length: 2000\r\n\r\n', callclient.FailureKind.TOO_LARGE),
    (
        OK + b'Transfer-Encoding: chunked\r\n\r\n7d0\r\n' + bytes(2000),
        callclient.FailureKind.TOO_LARGE,
    ),
    (b'HTTP/1.1 101 Switching Protocols\r\n\r\n', callclient.FailureKind.CUT),
    # Statuses that HTTP does not have.
    (COMPLETE.replace(b'200', b'600'), callclient.FailureKind.CUT),
    (COMPLETE.replace(b'200', b'999'), callclient.FailureKind.CUT),
    (COMPLETE.replace(b'200', b'099'), callclient.FailureKind.CUT),
    (COMPLETE.replace(b'200', b'000'), callclient.FailureKind.CUT),
    (COMPLETE, None),
    (OK + b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n', None),
    (b'HTTP/1.1 102 Processing\r\n\r\n' + COMPLETE, None),
    (b'HTTP/1.1 100 Continue\r\n\r\n' * 3 + COMPLETE, None),
    # A second answer to the same request.
    (COMPLETE + OK + b'Content-Length: 5\r\n\r\nother', None),
)


class Upstream:
    """Answers each request with fixed bytes; may close the connection."""

    def __init__(self, answer, close=True):
        self.answer = answer
        self.close = close
        self.connections = 0
        self.writers = []

    async def start(self):
        server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        self._server = server
        name = server.sockets[0].getsockname()
        return f'{name[0]}:{name[1]}'

    async def _serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        try:
            while await reader.readuntil(b'\r\n\r\n'):
                writer.write(self.answer)
                if self.close:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class TestPool(testtools.TestCase):
    def run_with(
        self, scenario, answer=COMPLETE, close=True, max_connections=8
    ):
        async def main():
            upstream = Upstream(answer, close)
            address = await upstream.start()
            paused = clock.PausedClock()
            pool = callclient.Pool(
                address,
                max_connections,
                paused,
                bodymemory.Budget(10_000),
                1000,
            )
            await asyncio.wait_for(scenario(upstream, pool, paused), 30)
            pool.close()

        asyncio.run(main())

    async def send(self, pool, method='GET', stall_timeout=5.0, deadline=1e9):
        connection = await pool.acquire(5)
        if isinstance(connection, callclient.Failure):
            return connection
        request = callclient.ClientRequest(
            method, b'/', [(b'host', b'a')], [], 0
        )
        head = callclient.encode_head(request)
        limits = callclient.ExchangeLimits(deadline, stall_timeout)
        return await connection.start(request, head, limits)

    def test_only_complete_answers_succeed(self):
        async def scenario(upstream, pool, _):
            result = await self.send(pool)
            if kind is None:
                self.assertEqual(b'ok', b''.join(result.chunks))
                pool.answer_memory.release(result.memory)
            else:
                self.assertIsInstance(result, callclient.Failure, answer)
                self.assertEqual(kind, result.kind, answer[:60])
                self.assertTrue(result.sent)
            self.assertEqual(0, pool.answer_memory.used, answer[:60])

        for answer, kind in ENDINGS:
            self.run_with(scenario, answer)

    def test_unsolicited_answer_closes_the_connection(self):
        """An unsolicited answer must not be returned for a later request."""

        async def scenario(upstream, pool, _):
            self.assertEqual(200, (await self.send(pool)).status)
            upstream.writers[0].write(OK + b'Content-Length: 4\r\n\r\nlate')
            while pool.size:
                await asyncio.sleep(0.005)
            result = await self.send(pool)
            self.assertEqual([b'ok'], result.chunks)
            self.assertEqual(2, upstream.connections)

        self.run_with(scenario, close=False)

    def test_second_answer_to_a_request_closes_the_connection(self):
        async def scenario(upstream, pool, _):
            for _ in range(3):
                result = await self.send(pool)
                self.assertEqual(b'ok', b''.join(result.chunks))
            self.assertEqual(3, upstream.connections)

        self.run_with(
            scenario, COMPLETE + COMPLETE.replace(b'ok', b'no'), False
        )

    def test_stalled_exchange_fails_and_closes_idle_connections(self):
        async def scenario(upstream, pool, paused):
            idle = [await pool.acquire(5) for _ in range(3)]
            for connection in idle:
                pool.release(connection)
            pending = asyncio.ensure_future(self.send(pool, stall_timeout=2.0))
            await asyncio.sleep(0.05)
            paused.advance(1.0)
            self.assertEqual(0, pool.sweep())
            self.assertEqual(3, pool.size)
            paused.advance(1.5)
            self.assertEqual(1, pool.sweep())
            self.assertEqual(
                callclient.FailureKind.SILENT, (await pending).kind
            )
            while pool.size:
                await asyncio.sleep(0.005)

        self.run_with(scenario, b'', False)

    def test_stall_of_the_own_process_is_not_that_of_the_server(self):
        # Data that is read after the stall was dated before it, so that all
        # connections to a daemon were cut at once.
        async def scenario(upstream, pool, paused):
            sending = asyncio.ensure_future(self.send(pool, stall_timeout=2.0))
            while not upstream.writers:
                await asyncio.sleep(0.01)
            paused.advance(3.0)
            upstream.writers[0].write(b'o')
            await asyncio.sleep(0.05)
            self.assertEqual(0, pool.sweep())
            paused.advance(1.9)
            self.assertEqual(0, pool.sweep())
            paused.advance(0.2)
            self.assertEqual(1, pool.sweep())
            self.assertEqual('silent', (await sending).kind)

        self.run_with(
            scenario, OK + b'Content-Length: 3\r\n\r\no', close=False
        )

    def test_waiting_for_memory_is_not_a_stall(self):
        async def scenario(upstream, pool, paused):
            held = bodymemory.Reservation()
            pool.answer_memory.reserve(held, 9_999, None)
            pending = asyncio.ensure_future(self.send(pool))
            while not upstream.connections:
                await asyncio.sleep(0.005)
            await asyncio.sleep(0.05)
            paused.advance(6.0)
            self.assertEqual(0, pool.sweep())
            pool.answer_memory.release(held)
            self.assertEqual([b'ok'], (await pending).chunks)

        self.run_with(scenario, close=False)

    def test_exchange_fails_at_its_deadline(self):
        async def scenario(upstream, pool, paused):
            deadline = paused.monotonic() + 1
            pending = asyncio.ensure_future(self.send(pool, deadline=deadline))
            await asyncio.sleep(0.05)
            paused.advance(1.1)
            pool.sweep()
            self.assertEqual(
                callclient.FailureKind.DEADLINE, (await pending).kind
            )

        self.run_with(scenario, b'', False)

    def test_connections_are_limited_and_reused(self):
        async def scenario(upstream, pool, _):
            results = await asyncio.gather(
                *(self.send(pool) for _ in range(20))
            )
            self.assertEqual({200}, {result.status for result in results})
            self.assertLessEqual(upstream.connections, 2)

        self.run_with(scenario, close=False, max_connections=2)

    def test_connection_given_to_a_cancelled_waiter_is_released(self):
        async def scenario(upstream, pool, _):
            held = await pool.acquire(5)
            waiting = asyncio.ensure_future(pool.acquire(5))
            await asyncio.sleep(0)
            pool.release(held)
            waiting.cancel()
            await asyncio.wait({waiting})
            self.assertTrue(waiting.cancelled())
            self.assertIs(held, await pool.acquire(5))

        self.run_with(scenario, close=False, max_connections=1)

    def test_waiter_gets_a_replacement_for_a_lost_connection(self):
        async def scenario(upstream, pool, _):
            held = await pool.acquire(5)
            waiting = asyncio.ensure_future(pool.acquire(5))
            await asyncio.sleep(0)
            held.abort()
            self.assertIsInstance(await waiting, callclient.Connection)

        self.run_with(scenario, close=False, max_connections=1)

    def test_refused_connection_reports_the_request_as_not_sent(self):
        async def scenario(upstream, pool, _):
            upstream._server.close()
            await asyncio.sleep(0.01)
            result = await self.send(pool)
            self.assertEqual(callclient.FailureKind.REFUSED, result.kind)
            self.assertFalse(result.sent)

        self.run_with(scenario)

    def test_stall_of_the_own_loop_is_no_connect_timeout(self):
        # An entry daemon that was stopped for over a second while it opened
        # connections answered that the other daemon could not be reached.
        async def scenario(upstream, pool, _):
            loop = asyncio.get_running_loop()
            for _ in range(5):
                connecting = asyncio.ensure_future(pool.acquire(5))
                await asyncio.sleep(0)
                loop.call_soon(time.sleep, 0.25)
                connection = await connecting
                self.assertIsInstance(connection, callclient.Connection)

        with mock.patch.object(callclient, 'CONNECT_TIMEOUT_S', 0.2):
            self.run_with(scenario, close=False)

    def test_connect_timeout_ends_though_nobody_answers(self):
        async def scenario(upstream, pool, _):
            with mock.patch.object(
                pool.loop, 'create_connection', lambda *a, **k: never()
            ):
                began = pool.loop.time()
                result = await pool.acquire(0.2)
            self.assertEqual(callclient.FailureKind.NOT_SENT, result.kind)
            self.assertLess(pool.loop.time() - began, 1.0)
            self.assertEqual(0, pool.size)

        async def never():
            await asyncio.Event().wait()

        self.run_with(scenario)

    def test_waiters_are_served_after_a_failed_connect(self):
        # One failed replacement left the other waiters without a connection
        # until their deadlines, though the pool was empty.
        async def scenario(upstream, pool, _):
            held = await pool.acquire(5)
            waiting = [
                asyncio.ensure_future(pool.acquire(5)) for _ in range(3)
            ]
            await asyncio.sleep(0)
            upstream._server.close()
            held.abort()
            results = await asyncio.wait_for(asyncio.gather(*waiting), 2)
            self.assertEqual(
                ['refused'] * 3, [str(item.kind) for item in results]
            )

        self.run_with(scenario, close=False, max_connections=1)

    def test_head_answer_has_no_body(self):
        async def scenario(upstream, pool, _):
            for _ in range(2):
                result = await self.send(pool, 'HEAD')
                self.assertIsInstance(result, callserver.Answer)
                self.assertEqual((9, []), (result.size, result.chunks))
            self.assertEqual(1, upstream.connections)

        self.run_with(scenario, OK + b'Content-Length: 9\r\n\r\n', False)

    def test_hop_by_hop_headers_are_removed(self):
        headers = [
            (b'connection', b'close, X-Mine'),
            (b'x-mine', b'1'),
            (b'te', b'trailers'),
            (b'upgrade', b'h2c'),
            (b'content-length', b'1'),
            (b'x-kept', b'2'),
        ]
        self.assertEqual(
            [(b'x-kept', b'2')], httpheads.end_to_end_headers(headers)
        )
