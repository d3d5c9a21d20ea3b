"""Loopback TCP proxies that inject delays, stalls, one-way cuts and resets."""

import asyncio
import contextlib
import dataclasses

from tests import sidecars

READ_BYTES = 65536


@dataclasses.dataclass(slots=True)
class LinkState:
    """How a proxy treats the bytes it forwards.

    Args:
        delay: Seconds by which each chunk is delayed.
        to_target: Whether bytes from the client are forwarded.
        to_client: Whether bytes from the target are forwarded.
    """

    delay: float = 0.0
    to_target: bool = True
    to_client: bool = True


class Proxy:
    """Forwards TCP connections to one address.

    Args:
        target: Address to connect to, `ip:port`.
    """

    def __init__(self, target):
        self.address = ''
        self.link = LinkState()
        self._target = target
        self._server = None
        self._tasks = set()
        self._writers = set()
        # Connections accepted in an earlier generation are stalled.
        self._generation = 0

    async def start(self):
        """Listen on a free loopback port, kept in `address`."""
        self.address = f'{sidecars.LOOPBACK}:{sidecars.free_port()}'
        host, _, port = self.address.rpartition(':')
        self._server = await asyncio.start_server(
            self._accept, host, int(port)
        )

    def silence(self):
        """Stall the connections that are open now, without closing them."""
        self._generation += 1

    def reset(self):
        """Reset the connections that are open now."""
        for writer in tuple(self._writers):
            sidecars.reset_connection(writer)

    def close(self):
        """Stop listening and cancel all forwarding."""
        self._server.close()
        for task in tuple(self._tasks):
            task.cancel()

    async def _accept(self, reader, writer):
        host, _, port = self._target.rpartition(':')
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            sidecars.reset_connection(writer)
            return
        generation = self._generation
        self._writers.update((writer, target_writer))
        for pair, direction in (
            ((reader, target_writer), 'to_target'),
            ((target_reader, writer), 'to_client'),
        ):
            task = asyncio.ensure_future(
                self._forward(*pair, direction, generation)
            )
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _forward(self, reader, writer, direction, generation):
        with contextlib.suppress(ConnectionError, RuntimeError):
            while data := await reader.read(READ_BYTES):
                await self._wait(direction, generation)
                writer.write(data)
                await writer.drain()
        self._writers.discard(writer)
        if generation == self._generation:
            writer.close()

    async def _wait(self, direction, generation):
        await asyncio.sleep(self.link.delay)
        while generation != self._generation or not getattr(
            self.link, direction
        ):
            await asyncio.sleep(0.05)
