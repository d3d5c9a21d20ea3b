"""A TCP relay whose open connections can go silent while new ones work."""

import asyncio
import contextlib
import threading

READ_BYTES = 65536
START_TIMEOUT_S = 5.0


class Relay:
    """Forwards to one address from a thread of its own.

    Args:
        target: `ip:port` of the other end.
    """

    def __init__(self, target):
        self.address = ''
        self._target = target.split(':')
        # Connections of an earlier generation forward nothing.
        self._generation = 0
        self._loop = asyncio.new_event_loop()
        self._tasks = set()
        ready = threading.Event()
        self._thread = threading.Thread(
            target=self._run, args=(ready,), daemon=True
        )
        self._thread.start()
        if not ready.wait(START_TIMEOUT_S):
            raise AssertionError('the relay does not listen')

    def blackhole(self):
        """Forward nothing more on the connections that are open now."""
        self._generation += 1

    def close(self):
        """Cut every connection and stop listening."""
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
        there, back = await asyncio.open_connection(host, int(port))
        born = self._generation
        await asyncio.gather(
            self._forward(reader, back, born),
            self._forward(there, writer, born),
        )

    async def _forward(self, reader, writer, born):
        with contextlib.suppress(ConnectionError):
            while data := await reader.read(READ_BYTES):
                if born != self._generation:
                    # Keeps the connection open without a sound.
                    await self._loop.create_future()
                writer.write(data)
                await writer.drain()
            if born == self._generation:
                writer.close()
