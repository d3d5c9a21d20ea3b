"""Loopback network between machines: proxies that cut or reset links.

A cut is silent: nothing passes, connections stay open, and new ones hang. What
was sent meanwhile passes when the cut ends, unless its sender has closed.
"""

import asyncio
import socket

import standin_web as web

READ_BYTES = 65536


class Cut:
    """Whether one machine is cut off from all others."""

    def __init__(self):
        self._open = asyncio.Event()
        self._open.set()

    @property
    def active(self):
        return not self._open.is_set()

    def begin(self):
        self._open.clear()

    def end(self):
        self._open.set()

    async def wait(self):
        await self._open.wait()


class Proxy:
    """Forwards connections to one address of a machine.

    Args:
        target: `ip:port`.
        cuts: Each `Cut` by machine.
        machine: The machine that is reached through it; None for the store.
        sender: The machine that uses it; None if it is known only from what
            is sent first: a daemon begins with its name.
    """

    def __init__(self, target, cuts, machine=None, sender=None):
        self.address = ''
        self._target = target
        self._cuts = cuts
        self._machine = machine
        self._sender = sender
        self._socket = None
        self._connections = set()
        self._tasks = set()
        self._fillers = []
        self._accepting = None

    async def start(self):
        """Listen on a free loopback port."""
        self.address = web.free_address()
        self._socket = socket.socket()
        self._socket.bind(web.split(self.address))
        self._socket.listen(128)
        self._socket.setblocking(False)
        self._accepting = asyncio.ensure_future(self._accept())

    async def block(self):
        """Let new connections hang: the queue of the listener stays full."""
        self._accepting.cancel()
        self._socket.listen(0)
        loop = asyncio.get_running_loop()
        for _ in range(8):
            filler = socket.socket()
            filler.setblocking(False)
            self._fillers.append(filler)
            try:
                await asyncio.wait_for(
                    loop.sock_connect(filler, web.split(self.address)), 0.05
                )
            except TimeoutError:
                return
        raise RuntimeError('the queue of a listener cannot be filled here')

    def unblock(self):
        """Accept connections again."""
        names = set()
        for filler in self._fillers:
            names.add(filler.getsockname())
            filler.close()
        self._fillers.clear()
        self._socket.listen(128)
        self._accepting = asyncio.ensure_future(self._accept(names))

    def reset(self, share, rng, machine):
        """Reset a share of the open connections of one machine."""
        for sender, *writers in tuple(self._connections):
            if machine in (sender, self._machine) and rng.random() < share:
                for writer in writers:
                    web.reset(writer)

    def close(self):
        """Stop listening and forwarding."""
        self._accepting.cancel()
        self._socket.close()
        for task in tuple(self._tasks):
            task.cancel()

    async def _accept(self, ignored=frozenset()):
        loop = asyncio.get_running_loop()
        while True:
            sock, name = await loop.sock_accept(self._socket)
            if name in ignored:
                sock.close()
                continue
            task = asyncio.ensure_future(self._serve(sock))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _serve(self, sock):
        reader, writer = await asyncio.open_connection(sock=sock)
        try:
            await self._join(reader, writer)
        finally:
            writer.close()

    async def _join(self, reader, writer):
        sender, first = self._sender, b''
        if sender is None and self._machine is not None:
            try:
                first = await reader.read(READ_BYTES)
            except ConnectionError:
                return
            # Names of machines have the same length.
            sender = next(
                (name for name in self._cuts if name.encode() in first), None
            )
        cuts = [
            self._cuts[name]
            for name in (sender, self._machine)
            if name is not None
        ]
        for cut in cuts:
            await cut.wait()
        try:
            far_reader, far_writer = await asyncio.open_connection(
                *web.split(self._target)
            )
        except OSError:
            web.reset(writer)
            return
        if first:
            far_writer.write(first)
        entry = (sender, writer, far_writer)
        self._connections.add(entry)
        try:
            await asyncio.gather(
                _forward(reader, far_writer, cuts),
                _forward(far_reader, writer, cuts),
            )
        finally:
            self._connections.discard(entry)
            far_writer.close()


async def _forward(reader, writer, cuts):
    try:
        while data := await reader.read(READ_BYTES):
            for cut in cuts:
                await cut.wait()
            writer.write(data)
            await writer.drain()
    except (ConnectionError, RuntimeError):
        for cut in cuts:
            await cut.wait()
        web.reset(writer)
        return
    for cut in cuts:
        await cut.wait()
    writer.close()
