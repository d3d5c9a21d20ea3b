"""Relay: forwards TCP connections and can blackhole those already open."""

import asyncio
import contextlib
import threading

READ_BYTES = 65536
START_TIMEOUT_S = 5.0


class Relay:
    """Forwards connections to one address, in its own thread.

    Args:
        target: `ip:port` to connect to.
    """

    def __init__(self, target):
        self.address = ''
        self._target = target.split(':')
        # Connections opened in an earlier generation are blackholed.
        self._generation = 0
        self._loop = asyncio.new_event_loop()
        self._tasks = set()
        ready = threading.Event()
        self._thread = threading.Thread(
            target=self._run, args=(ready,), daemon=True
        )
        self._thread.start()
        if not ready.wait(START_TIMEOUT_S):
            raise AssertionError('the relay did not start listening in time')

    def blackhole(self):
        """Stop forwarding on the connections that are open now.

        They stay open, as after a network failure; new connections work.
        """
        self._generation += 1

    def close(self):
        """Close every connection and stop listening."""
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()

    def _run(self, ready):
        asyncio.set_event_loop(self._loop)
        server = self._loop.run_until_complete(
            asyncio.start_server(self._accept, '127.0.0.1', 0)
        )
        host, port = server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'
        ready.set()
        self._loop.run_forever()
        server.close()
        for task in asyncio.all_tasks(self._loop):
            task.cancel()
        self._loop.run_until_complete(asyncio.sleep(0))
        self._loop.close()

    async def _accept(self, reader, writer):
        host, port = self._target
        target_reader, target_writer = await asyncio.open_connection(
            host, int(port)
        )
        generation = self._generation
        await asyncio.gather(
            self._forward(reader, target_writer, generation),
            self._forward(target_reader, writer, generation),
        )

    async def _forward(self, reader, writer, generation):
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(READ_BYTES):
                if generation != self._generation:
                    # Never completes: the connection stays open, unread.
                    await self._loop.create_future()
                writer.write(data)
                await writer.drain()
            if generation == self._generation:
                writer.close()
