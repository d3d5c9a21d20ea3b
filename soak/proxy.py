"""Loopback proxies that delay, silence, cut one way or reset connections."""

import asyncio
import contextlib
import dataclasses

from tests import sidecars

READ_BYTES = 65536


@dataclasses.dataclass(slots=True)
class Weather:
    """What a proxy does to bytes now.

    Args:
        delay: Seconds that each piece waits.
        there: Whether bytes go from the side that connected.
        back: Whether bytes go to it.
    """

    delay: float = 0.0
    there: bool = True
    back: bool = True


class Proxy:
    """Forwards connections to one address.

    Args:
        target: `ip:port`.
    """

    def __init__(self, target):
        self.address = ''
        self.weather = Weather()
        self._target = target
        self._server = None
        self._tasks = set()
        self._writers = set()
        # Connections of an earlier generation forward nothing any more.
        self._generation = 0

    async def start(self):
        """Listen."""
        self.address = f'{sidecars.LOOPBACK}:{sidecars.free_port()}'
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(
            self._accept, host, int(port)
        )

    def silence(self):
        """Forward nothing on the connections that are open now."""
        self._generation += 1

    def reset(self):
        """Reset the connections that are open now."""
        for writer in tuple(self._writers):
            sidecars.reset_connection(writer)

    def close(self):
        """End everything."""
        self._server.close()
        for task in tuple(self._tasks):
            task.cancel()

    async def _accept(self, reader, writer):
        host, _, port = self._target.rpartition(':')
        try:
            there, back = await asyncio.open_connection(host, int(port))
        except OSError:
            sidecars.reset_connection(writer)
            return
        born = self._generation
        self._writers.update((writer, back))
        for pair, name in (
            ((reader, back), 'there'),
            ((there, writer), 'back'),
        ):
            task = asyncio.ensure_future(self._forward(*pair, name, born))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(self, reader, writer, name, born):
        with contextlib.suppress(ConnectionError, RuntimeError):
            while data := await reader.read(READ_BYTES):
                await self._wait(name, born)
                writer.write(data)
                await writer.drain()
        self._writers.discard(writer)
        if born == self._generation:
            writer.close()

    async def _wait(self, name, born):
        await asyncio.sleep(self.weather.delay)
        while born != self._generation or not getattr(self.weather, name):
            await asyncio.sleep(0.05)
