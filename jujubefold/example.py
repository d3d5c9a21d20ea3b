"""Example upstream: slots, draining, cold start, shedding and deadlines.

The request header `example-fault` makes it inject a fault: `crash` exits
before the response, `cut` closes after half of the response, `silent` never
responds, `shed` sheds the request, `delay:MS` delays the response,
`large:MEGABYTES` responds with a body of that size and `mirror` with the
request's body.
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
from jujubefold import callhandler
from jujubefold import calls
from jujubefold import callserver
from jujubefold import clock
from jujubefold import messages

FAULT = b'example-fault'
SHED = b'jujubefold-shed'
EXECUTIONS_PATH = '/_executions'
STATS_PATH = '/_stats'
HEALTH_PATH = '/health'
CRASH_EXIT_STATUS = 70
ANNOUNCE_TTL_S = 6.0
ANNOUNCE_TIMEOUT_S = 2.0
ANNOUNCE_POLL_S = 0.05
BODY_LIMIT_BYTES = 64 * 1024 * 1024
BODY_MEMORY_BYTES = 128 * 1024 * 1024
MEGABYTE = 1024 * 1024
DRAIN_GRACE_S = 30.0
DRAIN_POLL_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Behaviour:
    """How the upstream serves requests without an injected fault.

    Args:
        service: Service name it announces.
        slots: Requests that run at once; further ones are shed.
        work: Seconds that a request takes.
        cold_start: Seconds after the start during which requests take
            longer.
        cold_factor: Factor by which they take longer.
    """

    service: str = 'example'
    slots: int = 6
    work: float = 0.0
    cold_start: float = 0.0
    cold_factor: float = 10.0


class Stats(msgspec.Struct, frozen=True):
    """Counters of an upstream since its start.

    Args:
        executions: Requests executed.
        cancelled: Executions that were cancelled.
        most_running: Maximum of requests that ran at once.
        busy: Sum of the seconds for which each slot was in use.
    """

    executions: int
    cancelled: int
    most_running: int
    busy: float


class Upstream(callhandler.Handler):
    """HTTP upstream that counts executions by request id.

    Args:
        behaviour: A `Behaviour`.
        crash: Called for a `crash` fault; ends the process by default.
        journal: File descriptor to which the id of each request is written
            when it starts, one a line, so that counts survive a crash.
    """

    def __init__(self, behaviour, crash=None, journal=None):
        self.executions = collections.Counter()
        self.cancelled = 0
        self.busy = 0.0
        self.most_running = 0
        self.running = 0
        self.stopping = False
        self.draining = False
        self._behaviour = behaviour
        self._crash = crash or (lambda: os._exit(CRASH_EXIT_STATUS))
        self._journal = journal
        self._clock = clock.SystemClock()
        self._started = self._clock.monotonic()
        self._server = callserver.Server(
            self,
            self._clock,
            bodymemory.Budget(BODY_MEMORY_BYTES),
            bodymemory.Budget(BODY_MEMORY_BYTES),
        )

    async def start(self, bind):
        """Listen on `ip:port` and return the bound address."""
        return await self._server.start(bind)

    def drain(self):
        """Announce draining; requests that still arrive are served."""
        self.draining = True

    async def stop(self, grace=DRAIN_GRACE_S):
        """Wait at most `grace` seconds for running requests, and close."""
        self.stopping = True
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
        if self.draining:
            return messages.UpstreamState.DRAINING
        if self._is_cold():
            return messages.UpstreamState.WARMING
        return messages.UpstreamState.SERVING

    def body_limit(self, request):
        """Return the largest accepted request body, in bytes."""
        return BODY_LIMIT_BYTES

    def handle(self, exchange):
        """Respond to one request."""
        request = exchange.request
        if request.path == EXECUTIONS_PATH:
            _reply(exchange, 200, msgspec.json.encode(self.executions))
            return
        if request.path == STATS_PATH:
            _reply(exchange, 200, msgspec.json.encode(self._stats()))
            return
        if request.path == HEALTH_PATH:
            _reply(exchange, 503 if self.stopping else 200, b'{}')
            return
        fault = request.fields.get(FAULT, b'').decode('latin-1')
        full = self.running >= self._behaviour.slots
        if full or fault == 'shed' or self.stopping:
            _reply(
                exchange,
                503,
                b'{}',
                [(SHED, b'1'), (b'retry-after', b'1')],
            )
            return
        self._execute(exchange, fault)

    def _stats(self):
        return Stats(
            self.executions.total(),
            self.cancelled,
            self.most_running,
            self.busy,
        )

    def _execute(self, exchange, fault):
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        request_id = exchange.request.fields.get(
            calls.REQUEST_ID.encode(), b''
        )
        self.executions[request_id.decode('latin-1')] += 1
        if self._journal is not None:
            os.write(self._journal, request_id + b'\n')
        seconds = self._duration_s(fault)
        if not fault and not seconds:
            self.running -= 1
            _reply(exchange, 200, _echo(exchange.request))
            return
        task = asyncio.get_running_loop().create_task(
            self._respond_later(exchange, fault, seconds)
        )
        exchange.on_disconnect = task.cancel

    def _duration_s(self, fault):
        kind, _, amount = fault.partition(':')
        if kind == 'delay':
            return float(amount) / 1000
        if self._is_cold():
            return self._behaviour.work * self._behaviour.cold_factor
        return self._behaviour.work

    def _is_cold(self):
        age = self._clock.monotonic() - self._started
        return age < self._behaviour.cold_start

    async def _respond_later(self, exchange, fault, seconds):
        started = self._clock.monotonic()
        try:
            if fault == 'silent':
                await asyncio.get_running_loop().create_future()
            remaining = _remaining_s(exchange.request)
            await asyncio.sleep(min(seconds, remaining))
            if fault == 'crash':
                self._crash()
            elif fault == 'cut':
                exchange.reply_truncated(
                    _response(200, _echo(exchange.request))
                )
            elif fault.startswith('large:'):
                exchange.reply(_large(int(fault.partition(':')[2])))
            elif fault == 'mirror':
                exchange.reply(_mirror(exchange.request))
            elif seconds > remaining:
                _reply(exchange, 504, b'{"detail":"deadline"}')
            else:
                _reply(exchange, 200, _echo(exchange.request))
        except asyncio.CancelledError:
            self.cancelled += 1
        finally:
            self.running -= 1
            self.busy += self._clock.monotonic() - started


def _remaining_s(request):
    """Return the seconds until the request's deadline."""
    value = request.fields.get(calls.DEADLINE_MS.encode(), b'')
    return int(value) / 1000 if value.isdigit() else float('inf')


def _echo(request):
    """Return a response body that identifies the request."""
    echo = request.fields.get(b'example-echo', b'')
    return b'{"echo":"%b","size":%d,"path":"%b"}' % (
        echo,
        request.size,
        request.path.encode('latin-1'),
    )


def _response(status, body, headers=()):
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
    name = calls.REQUEST_ID.encode()
    request_id = exchange.request.fields.get(name)
    identity = () if request_id is None else ((name, request_id),)
    exchange.reply(_response(status, body, (*identity, *headers)))


class Announcer:
    """Announces the upstream to the daemon of this VM.

    Args:
        client: An `adminclient.AdminClient` of the daemon.
        upstream: The `Upstream`.
        behaviour: Its `Behaviour`.
        address: `ip:port` where it listens.
    """

    def __init__(self, client, upstream, behaviour, address):
        self._client = client
        self._upstream = upstream
        self._behaviour = behaviour
        self._address = address
        self._clock = clock.SystemClock()

    async def run(self):
        """Announce periodically and on state changes; retry on failures."""
        while True:
            await self.announce()
            state = self._upstream.current_state()
            renew_at = self._clock.monotonic() + ANNOUNCE_TTL_S / 3
            while self._is_current(state, renew_at):
                await asyncio.sleep(ANNOUNCE_POLL_S)

    def _is_current(self, state, renew_at):
        changed = self._upstream.current_state() is not state
        return not changed and self._clock.monotonic() < renew_at

    async def announce(self):
        """Announce once; return whether the daemon accepted it."""
        return await asyncio.to_thread(self._put_announcement)

    def _put_announcement(self):
        announcement = adminmodels.Announcement(
            service=self._behaviour.service,
            address=self._address,
            slots=self._behaviour.slots,
            state=self._upstream.current_state(),
            ttl=ANNOUNCE_TTL_S,
        )
        result = self._client.send('PUT', '/v1/upstream', None, announcement)
        return result.is_ok()


async def _wait_for_stop(loop, upstream, stop_requested):
    loop.add_signal_handler(signal.SIGUSR1, upstream.drain)
    await stop_requested.wait()
    upstream.drain()


async def _run(listen, behaviour, client, journal=None):
    upstream = Upstream(behaviour, journal=journal)
    address = await upstream.start(listen)
    stop_requested = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stop_requested.set)
    line = msgspec.json.encode(
        {'address': address, 'service': behaviour.service}
    )
    print(line.decode(), flush=True)
    if client:
        announcer = Announcer(client, upstream, behaviour, address)
        announce_task = loop.create_task(announcer.run())
    await _wait_for_stop(loop, upstream, stop_requested)
    if client:
        announce_task.cancel()
        await announcer.announce()
    await upstream.stop()


def _open_journal(path):
    if path is None:
        return None
    return os.open(path, os.O_WRONLY | os.O_CREAT | os.O_APPEND)


def serve(
    service: typing.Annotated[str, typer.Option(help='Service name.')],
    listen: typing.Annotated[
        str, typer.Option(help='ip:port to listen on; port 0 for any.')
    ] = '127.0.0.1:0',
    slots: typing.Annotated[
        int, typer.Option(help='Number of requests that run at once.')
    ] = 6,
    admin: typing.Annotated[
        str, typer.Option(help="URL of the daemon's operators' API.")
    ] = '',
    work_ms: typing.Annotated[
        float, typer.Option(help='Milliseconds that a request takes.')
    ] = 0.0,
    cold_start: typing.Annotated[
        float, typer.Option(help='Duration of the cold start in seconds.')
    ] = 0.0,
    ca: typing.Annotated[
        pathlib.Path | None, typer.Option(help='CA file of the daemon.')
    ] = None,
    cert: typing.Annotated[
        pathlib.Path | None, typer.Option(help='Client certificate.')
    ] = None,
    key: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help='Private key of the certificate.'),
    ] = None,
    journal: typing.Annotated[
        pathlib.Path | None,
        typer.Option(help='File to append the id of each request to.'),
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
    asyncio.run(_run(listen, behaviour, client, _open_journal(journal)))


def main():
    """Run the console program `jujubefold-upstream`."""
    sys.exit(typer.run(serve))


if __name__ == '__main__':
    main()
