"""HTTP client of the call path against upstreams that misbehave."""

import asyncio

import testtools

from jujubefold import bodymemory
from jujubefold import callclient
from jujubefold import callserver
from jujubefold import clock

OK = b'HTTP/1.1 200 OK\r\n'
WHOLE = OK + b'Content-Length: 2\r\n\r\nok'

# What an upstream sends before it closes, and how the exchange ends.
ENDINGS = (
    (b'', callclient.FailureKind.CUT),
    (b'HTTP/1.1 20', callclient.FailureKind.CUT),
    (OK, callclient.FailureKind.CUT),
    (OK + b'Content-Length: 5\r\n\r\nhell', callclient.FailureKind.CUT),
    (OK + b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n', 'cut'),
    (OK + b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n', 'cut'),
    # Without framing a cut answer looks like a whole one.
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
    (WHOLE, None),
    (OK + b'Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n', None),
    (b'HTTP/1.1 102 Processing\r\n\r\n' + WHOLE, None),
    (b'HTTP/1.1 100 Continue\r\n\r\n' * 3 + WHOLE, None),
    # A second answer that nobody asked for.
    (WHOLE + OK + b'Content-Length: 5\r\n\r\nother', None),
)


class Upstream:
    """Sends set bytes for each request; keeps or closes connections."""

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
        writer.close()


class TestPool(testtools.TestCase):
    def run_with(self, scenario, answer=WHOLE, close=True, bound=8):
        async def within():
            upstream = Upstream(answer, close)
            address = await upstream.start()
            paused = clock.PausedClock()
            pool = callclient.Pool(
                address, bound, paused, bodymemory.Budget(10_000), 1000
            )
            await asyncio.wait_for(scenario(upstream, pool, paused), 30)
            pool.close()

        asyncio.run(within())

    async def ask(self, pool, method='GET', progress=5.0, deadline=1e9):
        connection = await pool.acquire(5)
        if isinstance(connection, callclient.Failure):
            return connection
        message = callclient.OutboundRequest(
            method, b'/', [(b'host', b'a')], [], 0
        )
        head = callclient.encode_head(message)
        bounds = callclient.ExchangeLimits(deadline, progress)
        return await connection.start(message, head, bounds)

    def test_cut_answer_never_looks_whole(self):
        async def scenario(upstream, pool, _):
            result = await self.ask(pool)
            if how is None:
                self.assertEqual(b'ok', b''.join(result.chunks))
                pool.answer_memory.release(result.memory)
            else:
                self.assertIsInstance(result, callclient.Failure, answer)
                self.assertEqual(how, result.kind, answer[:60])
                self.assertTrue(result.sent)
            self.assertEqual(0, pool.answer_memory.used, answer[:60])

        for answer, how in ENDINGS:
            self.run_with(scenario, answer)

    def test_bytes_nobody_asked_for_reach_nobody(self):
        """Late and crossed answers die with their connection."""

        async def scenario(upstream, pool, _):
            self.assertEqual(200, (await self.ask(pool)).status)
            upstream.writers[0].write(OK + b'Content-Length: 4\r\n\r\nlate')
            while pool.size:
                await asyncio.sleep(0.005)
            result = await self.ask(pool)
            self.assertEqual([b'ok'], result.chunks)
            self.assertEqual(2, upstream.connections)

        self.run_with(scenario, close=False)

    def test_second_answer_at_once_is_dropped_with_its_connection(self):
        async def scenario(upstream, pool, _):
            for _ in range(3):
                result = await self.ask(pool)
                self.assertEqual(b'ok', b''.join(result.chunks))
            self.assertEqual(3, upstream.connections)

        self.run_with(scenario, WHOLE + WHOLE.replace(b'ok', b'no'), False)

    def test_silence_ends_the_exchange_and_purges_the_pool(self):
        async def scenario(upstream, pool, paused):
            spare = [await pool.acquire(5) for _ in range(3)]
            for connection in spare:
                pool.release(connection)
            asked = asyncio.ensure_future(self.ask(pool, progress=2.0))
            await asyncio.sleep(0.05)
            paused.advance(1.0)
            self.assertEqual(0, pool.sweep())
            self.assertEqual(3, pool.size)
            paused.advance(1.5)
            self.assertEqual(1, pool.sweep())
            self.assertEqual(callclient.FailureKind.SILENT, (await asked).kind)
            while pool.size:
                await asyncio.sleep(0.005)

        self.run_with(scenario, b'', False)

    def test_waiting_for_memory_is_not_silence(self):
        async def scenario(upstream, pool, paused):
            held = bodymemory.Reservation()
            pool.answer_memory.reserve(held, 9_999, None)
            asked = asyncio.ensure_future(self.ask(pool))
            while not upstream.connections:
                await asyncio.sleep(0.005)
            await asyncio.sleep(0.05)
            paused.advance(6.0)
            self.assertEqual(0, pool.sweep())
            pool.answer_memory.release(held)
            self.assertEqual([b'ok'], (await asked).chunks)

        self.run_with(scenario, close=False)

    def test_deadline_ends_the_exchange(self):
        async def scenario(upstream, pool, paused):
            until = paused.monotonic() + 1
            asked = asyncio.ensure_future(self.ask(pool, deadline=until))
            await asyncio.sleep(0.05)
            paused.advance(1.1)
            pool.sweep()
            self.assertEqual(
                callclient.FailureKind.DEADLINE, (await asked).kind
            )

        self.run_with(scenario, b'', False)

    def test_bound_holds_and_connections_are_reused(self):
        async def scenario(upstream, pool, _):
            results = await asyncio.gather(
                *(self.ask(pool) for _ in range(20))
            )
            self.assertEqual({200}, {result.status for result in results})
            self.assertLessEqual(upstream.connections, 2)

        self.run_with(scenario, close=False, bound=2)

    def test_cancelled_waiter_loses_no_connection(self):
        async def scenario(upstream, pool, _):
            held = await pool.acquire(5)
            waiting = asyncio.ensure_future(pool.acquire(5))
            await asyncio.sleep(0)
            pool.release(held)
            waiting.cancel()
            await asyncio.wait({waiting})
            self.assertTrue(waiting.cancelled())
            self.assertIs(held, await pool.acquire(5))

        self.run_with(scenario, close=False, bound=1)

    def test_lost_connection_makes_room_for_a_waiter(self):
        async def scenario(upstream, pool, _):
            held = await pool.acquire(5)
            waiting = asyncio.ensure_future(pool.acquire(5))
            await asyncio.sleep(0)
            held.abort()
            self.assertIsInstance(await waiting, callclient.Connection)

        self.run_with(scenario, close=False, bound=1)

    def test_refused_connection_was_provably_not_sent(self):
        async def scenario(upstream, pool, _):
            upstream._server.close()
            await asyncio.sleep(0.01)
            result = await self.ask(pool)
            self.assertEqual(callclient.FailureKind.REFUSED, result.kind)
            self.assertFalse(result.sent)

        self.run_with(scenario)

    def test_head_answer_has_no_body(self):
        async def scenario(upstream, pool, _):
            for _ in range(2):
                result = await self.ask(pool, 'HEAD')
                self.assertIsInstance(result, callserver.Answer)
                self.assertEqual((9, []), (result.size, result.chunks))
            self.assertEqual(1, upstream.connections)

        self.run_with(scenario, OK + b'Content-Length: 9\r\n\r\n', False)

    def test_hop_by_hop_headers_end_here(self):
        headers = [
            (b'connection', b'close, X-Mine'),
            (b'x-mine', b'1'),
            (b'te', b'trailers'),
            (b'upgrade', b'h2c'),
            (b'content-length', b'1'),
            (b'x-kept', b'2'),
        ]
        self.assertEqual(
            [(b'x-kept', b'2')], callclient.end_to_end_headers(headers)
        )
