"""Example upstream: slots, drain, cold start, shed, deadlines, cancel.

Faults on demand, named by the header `example-fault`: `crash` before it
answers, `cut` the answer half way, go `silent`, `shed`, `delay:MS`,
`large:MEGABYTES`, `mirror` the request's body.
"""

import asyncio
import collections
import dataclasses
import os
import pathlib
import signal
import sys
import typing

import msgspec
import typer

from jujubefold import adminclient
from jujubefold import adminmodels
from jujubefold import bodymemory
from jujubefold import calls
from jujubefold import callserver
from jujubefold import clock
from jujubefold import messages

FAULT = b'example-fault'
SHED = b'jujubefold-shed'
EXECUTIONS_PATH = '/_executions'
STATS_PATH = '/_stats'
HEALTH_PATH = '/health'
CRASH_STATUS = 70
ANNOUNCE_TTL_S = 6.0
ANNOUNCE_TIMEOUT_S = 2.0
ANNOUNCE_POLL_S = 0.05
BODY_LIMIT_BYTES = 64 * 1024 * 1024
MEMORY_BYTES = 128 * 1024 * 1024
MEGABYTE = 1024 * 1024
DRAIN_GRACE_S = 30.0
DRAIN_POLL_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Behaviour:
    """How the upstream works when no fault is asked for.

    Args:
        service: Service name it announces.
        slots: Requests that run at once; more are shed.
        work: Seconds that a request takes.
        cold_start: Seconds after its start in which work takes longer.
        cold_factor: How much longer.
    """

    service: str = 'example'
    slots: int = 6
    work: float = 0.0
    cold_start: float = 0.0
    cold_factor: float = 10.0


class Stats(msgspec.Struct, frozen=True):
    """What an upstream counted since its start.

    Args:
        busy: Seconds of all slots in use, added up.
        most_running: Most requests that ran at once.
    """

    executions: int
    cancelled: int
    most_running: int
    busy: float


class Upstream:
    """Counts what runs, by request id.

    Args:
        behaviour: A `Behaviour`.
        crash: Called for a `crash` fault; ends the process by default.
        journal: File descriptor that gets the id of each request that
            begins, a line each, so that a count outlives the process.
    """

    def __init__(self, behaviour, crash=None, journal=None):
        self.executions = collections.Counter()
        self.cancelled = 0
        self.busy = 0.0
        self.most_running = 0
        self.running = 0
        self.draining = False
        self.leaving = False
        self._behaviour = behaviour
        self._crash = crash or (lambda: os._exit(CRASH_STATUS))
        self._journal = journal
        self._clock = clock.SystemClock()
        self._started = self._clock.monotonic()
        self._server = callserver.Server(
            self,
            self._clock,
            bodymemory.Budget(MEMORY_BYTES),
            bodymemory.Budget(MEMORY_BYTES),
        )

    async def start(self, bind):
        """Listen on `ip:port` and return the bound address."""
        return await self._server.start(bind)

    def drain(self):
        """Say that it is leaving; what is sent all the same still runs."""
        self.leaving = True

    async def stop(self, grace=DRAIN_GRACE_S):
        """Finish what runs, for at most `grace` seconds, and close."""
        self.draining = True
        self._server.drain()
        until = self._clock.monotonic() + grace
        while self.running and self._clock.monotonic() < until:
            await asyncio.sleep(DRAIN_POLL_S)
        await self._server.close()

    async def kill(self):
        """Close every connection and the listener at once."""
        await self._server.close()

    def current_state(self):
        """Return the state to announce."""
        if self.leaving:
            return messages.UpstreamState.DRAINING
        if self._is_cold():
            return messages.UpstreamState.WARMING
        return messages.UpstreamState.SERVING

    def body_limit(self, request):
        """Return the largest request body taken."""
        return BODY_LIMIT_BYTES

    def handle(self, exchange):
        """Answer one request."""
        request = exchange.request
        if request.path == EXECUTIONS_PATH:
            _reply(exchange, 200, msgspec.json.encode(self.executions))
            return
        if request.path == STATS_PATH:
            _reply(exchange, 200, msgspec.json.encode(self._stats()))
            return
        if request.path == HEALTH_PATH:
            _reply(exchange, 503 if self.draining else 200, b'{}')
            return
        fault = request.fields.get(FAULT, b'').decode('latin-1')
        full = self.running >= self._behaviour.slots
        if full or fault == 'shed' or self.draining:
            _reply(
                exchange,
                503,
                b'{}',
                [(SHED, b'1'), (b'retry-after', b'1')],
            )
            return
        self._begin(exchange, fault)

    def _stats(self):
        return Stats(
            self.executions.total(),
            self.cancelled,
            self.most_running,
            self.busy,
        )

    def _begin(self, exchange, fault):
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        name = exchange.request.fields.get(calls.REQUEST_ID.encode(), b'')
        self.executions[name.decode('latin-1')] += 1
        if self._journal is not None:
            os.write(self._journal, name + b'\n')
        seconds = self._seconds(fault)
        if not fault and not seconds:
            self.running -= 1
            _reply(exchange, 200, _echo(exchange.request))
            return
        task = asyncio.get_running_loop().create_task(
            self._work(exchange, fault, seconds)
        )
        exchange.on_disconnect = task.cancel

    def _seconds(self, fault):
        kind, _, amount = fault.partition(':')
        if kind == 'delay':
            return float(amount) / 1000
        if self._is_cold():
            return self._behaviour.work * self._behaviour.cold_factor
        return self._behaviour.work

    def _is_cold(self):
        age = self._clock.monotonic() - self._started
        return age < self._behaviour.cold_start

    async def _work(self, exchange, fault, seconds):
        began = self._clock.monotonic()
        try:
            if fault == 'silent':
                await asyncio.get_running_loop().create_future()
            left = _left(exchange.request)
            await asyncio.sleep(min(seconds, left))
            if fault == 'crash':
                self._crash()
            elif fault == 'cut':
                exchange.reply_truncated(_answer(200, _echo(exchange.request)))
            elif fault.startswith('large:'):
                exchange.reply(_large(int(fault.partition(':')[2])))
            elif fault == 'mirror':
                exchange.reply(_mirror(exchange.request))
            elif seconds > left:
                _reply(exchange, 504, b'{"detail":"deadline"}')
            else:
                _reply(exchange, 200, _echo(exchange.request))
        except asyncio.CancelledError:
            self.cancelled += 1
        finally:
            self.running -= 1
            self.busy += self._clock.monotonic() - began


def _left(request):
    """Return the seconds that the caller still waits."""
    value = request.fields.get(calls.DEADLINE_MS.encode(), b'')
    return int(value) / 1000 if value.isdigit() else float('inf')


def _echo(request):
    """Return a body that only this request's answer has."""
    name = request.fields.get(b'example-echo', b'')
    return b'{"echo":"%b","size":%d,"path":"%b"}' % (
        name,
        request.size,
        request.path.encode('latin-1'),
    )


def _answer(status, body, headers=()):
    return callserver.Answer(
        status,
        [(b'content-type', b'application/json'), *headers],
        [body],
        len(body),
    )


def _mirror(request):
    return callserver.Answer(200, [], list(request.chunks), request.size)


def _large(megabytes):
    piece = bytes(MEGABYTE)
    return callserver.Answer(
        200, [], [piece] * megabytes, megabytes * MEGABYTE
    )


def _reply(exchange, status, body, headers=()):
    exchange.reply(_answer(status, body, headers))


class Announcer:
    """Tells the daemon of this VM about the upstream.

    Args:
        client: An `adminclient.AdminClient` of the daemon.
        upstream: The `Upstream`.
        behaviour: Its `Behaviour`.
        address: Where it listens.
    """

    def __init__(self, client, upstream, behaviour, address):
        self._client = client
        self._upstream = upstream
        self._behaviour = behaviour
        self._address = address
        self._clock = clock.SystemClock()

    async def run(self):
        """Announce until cancelled; a daemon that is away is retried."""
        while True:
            await self.announce()
            told = self._upstream.current_state()
            until = self._clock.monotonic() + ANNOUNCE_TTL_S / 3
            while self._holds(told, until):
                await asyncio.sleep(ANNOUNCE_POLL_S)

    def _holds(self, told, until):
        changed = self._upstream.current_state() is not told
        return not changed and self._clock.monotonic() < until

    async def announce(self):
        """Announce once; returns whether the daemon took it."""
        return await asyncio.to_thread(self._put)

    def _put(self):
        announcement = adminmodels.Announcement(
            service=self._behaviour.service,
            address=self._address,
            slots=self._behaviour.slots,
            state=self._upstream.current_state(),
            ttl=ANNOUNCE_TTL_S,
        )
        result = self._client.send('PUT', '/v1/upstream', None, announcement)
        return result.is_ok()


async def _until_stopped(loop, upstream, stopping):
    loop.add_signal_handler(signal.SIGUSR1, upstream.drain)
    await stopping.wait()
    upstream.drain()


async def _run(listen, behaviour, client, journal=None):
    upstream = Upstream(behaviour, journal=journal)
    address = await upstream.start(listen)
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    line = msgspec.json.encode(
        {'address': address, 'service': behaviour.service}
    )
    print(line.decode(), flush=True)
    if client:
        announcer = Announcer(client, upstream, behaviour, address)
        announcing = loop.create_task(announcer.run())
    await _until_stopped(loop, upstream, stopping)
    if client:
        announcing.cancel()
        await announcer.announce()
    await upstream.stop()


def _journal(path):
    if path is None:
        return None
    return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)


def serve(
    service: typing.Annotated[str, typer.Option(help='Service name.')],
    listen: typing.Annotated[
        str, typer.Option(help='ip:port to listen on; port 0 for any.')
    ] = '127.0.0.1:0',
    slots: typing.Annotated[
        int, typer.Option(help='Requests that run at once.')
    ] = 6,
    admin: typing.Annotated[
        str, typer.Option(help="URL of the daemon's operators' API.")
    ] = '',
    work_ms: typing.Annotated[
        float, typer.Option(help='Milliseconds that a request takes.')
    ] = 0.0,
    cold_start: typing.Annotated[
        float, typer.Option(help='Seconds of cold start.')
    ] = 0.0,
    ca: typing.Annotated[
        pathlib.Path | None, typer.Option(help='CA file of the daemon.')
    ] = None,
    cert: typing.Annotated[
        pathlib.Path | None, typer.Option(help='Own certificate.')
    ] = None,
    key: typing.Annotated[
        pathlib.Path | None, typer.Option(help='Own private key.')
    ] = None,
    journal: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help='File that gets the id of each request.'),
    ] = None,
):
    """Run the example upstream until SIGTERM."""
    behaviour = Behaviour(
        service=service,
        slots=slots,
        work=work_ms / 1000,
        cold_start=cold_start,
    )
    client = None
    if admin:
        client = adminclient.AdminClient(
            admin.rpartition('/')[2],
            ANNOUNCE_TIMEOUT_S,
            **adminclient.tls_options(ca, cert, key),
        )
    asyncio.run(_run(listen, behaviour, client, _journal(journal)))


def main():
    """Run the console program `jujubefold-upstream`."""
    sys.exit(typer.run(serve))


if __name__ == '__main__':
    main()
