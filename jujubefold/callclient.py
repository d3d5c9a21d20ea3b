"""HTTP/1.1 client of the call path: bounded connection pools.

An exchange ends with a complete answer or with a `Failure`, which states
whether any part of the request may have been sent. Callers derive from it
whether the request may have run.
"""

import asyncio
import collections
import dataclasses
import enum
import math
import re

import httptools

from jujubefold import calls
from jujubefold import callserver
from jujubefold import connecting
from jujubefold import eagertask
from jujubefold import httpheads
from jujubefold import tcpkeepalive
from jujubefold import trust

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 60.0
EXCESS_IDLE_TIMEOUT_S = 0.25
# Subtracted from a server's Keep-Alive timeout: the server counts from the
# last byte it sent, and closes on whole seconds.
KEEP_ALIVE_MARGIN_S = 1.0
# Limit on an answer's head, and on what follows a part of its body that is
# no body: framing of chunks, and trailers.
MAX_HEAD_BYTES = 64 * 1024
WRITE_BUFFER_BYTES = 256 * 1024
SINGLE_WRITE_BYTES = 64 * 1024

_METHODS_WITH_BODY = frozenset({'POST', 'PUT', 'PATCH'})
_INTERIM_STATUSES = range(100, 200)
_KEEP_ALIVE_TIMEOUT = re.compile(rb'timeout=(\d{1,6})')


class FailureKind(enum.StrEnum):
    """How an exchange ended without a complete answer.

    REFUSED: opening the connection failed. NOT_SENT: none was available in
    time. CUT: it was lost, or the answer was truncated or malformed. SILENT:
    no data was transferred within the stall timeout.
    """

    REFUSED = 'refused'
    NOT_SENT = 'not-sent'
    CUT = 'cut'
    SILENT = 'silent'
    DEADLINE = 'deadline'
    TOO_LARGE = 'too-large'
    CANCELLED = 'cancelled'


# Reason reported for a request that was sent and got no complete answer.
UNKNOWN_OUTCOME_REASONS = {
    FailureKind.CUT: calls.Reason.UPSTREAM_CUT,
    FailureKind.SILENT: calls.Reason.UPSTREAM_SILENT,
    FailureKind.DEADLINE: calls.Reason.DEADLINE,
    FailureKind.TOO_LARGE: calls.Reason.TOO_LARGE,
    FailureKind.CANCELLED: calls.Reason.CANCELLED,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """An exchange without a complete answer.

    Args:
        kind: A `FailureKind`.
        sent: Whether any byte may have reached the server.
        reused: Whether the connection had carried an exchange before.
        detail: Description for logs and problem documents.
    """

    kind: FailureKind
    sent: bool
    reused: bool = False
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ClientRequest:
    """A request to send.

    Args:
        method: HTTP method in upper case.
        target: Request target in origin form.
        headers: End-to-end header pairs, names in lower case.
        chunks: Body as a list of bytes, in order.
        size: Body length in bytes.
        echo_id: Request id that the answer is expected to repeat in the
            header `Pool.id_field`; None when that is not checked.
    """

    method: str
    target: bytes
    headers: list
    chunks: list
    size: int
    echo_id: bytes | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeLimits:
    """Time limits of one exchange.

    Args:
        deadline: Monotonic time in seconds at which it is aborted.
        stall_timeout: Seconds without data in either direction after which
            it is aborted.
    """

    deadline: float
    stall_timeout: float


def encode_head(request, extra=()):
    """Encode a request line and headers.

    Args:
        request: A `ClientRequest`.
        extra: Further header pairs, sent on this hop only.
    """
    parts = [b'%b %b HTTP/1.1\r\n' % (request.method.encode(), request.target)]
    for name, value in request.headers:
        parts.append(b'%b: %b\r\n' % (name, value))
    for name, value in extra:
        parts.append(b'%b: %b\r\n' % (name, value))
    if request.size or request.method in _METHODS_WITH_BODY:
        parts.append(b'content-length: %d\r\n' % request.size)
    parts.append(b'\r\n')
    return b''.join(parts)


class Connection(asyncio.Protocol):
    """One connection of a pool, carrying one exchange at a time.

    Args:
        pool: The `Pool` it belongs to.

    Attributes:
        idle_timeout: Seconds that it may be idle before it is closed.
        last_activity: Monotonic time in seconds of the last transfer, as of
            the sweep after it.
        active: Whether data was transferred since the last sweep.
    """

    def __init__(self, pool):
        self._pool = pool
        self._transport = None
        self._parser = httptools.HttpResponseParser(self)
        self._waiter = None
        self._method = ''
        self._headers = []
        self._answer = None
        # Received since the start of the answer or the last part of its body.
        self._received_bytes = 0
        self._unsent = collections.deque()
        self._writing_paused = False
        self._reused = False
        self._sent = False
        self._complete = False
        self._error = None
        self._must_close = False
        self._closed = False
        self._echo_id = None
        self._skipping_answer = False
        self._read_until_close = False
        self.idle_timeout = IDLE_TIMEOUT_S
        self.last_activity = 0.0
        self.active = False
        self.limits = None

    @property
    def usable(self):
        """Whether it can carry another exchange."""
        return not self._closed and not self._must_close

    @property
    def busy(self):
        """Whether an exchange is in progress."""
        return self._waiter is not None

    @property
    def waits_for_memory(self):
        """Whether reading is paused until the answer's memory is granted."""
        return self._answer is not None and self._answer.memory.pending > 0

    def start(self, request, head, limits, waiter=None):
        """Send a request.

        Args:
            request: A `ClientRequest`.
            head: The request's `encode_head`.
            limits: `ExchangeLimits`.
            waiter: Future or `eagertask.Waiter` that receives the result;
                None for a new future.

        Returns:
            `waiter`; its result is a `callserver.Answer` or a `Failure`.
        """
        if waiter is None:
            waiter = self._pool.loop.create_future()
        self._waiter = waiter
        self._method = request.method
        self._echo_id = request.echo_id
        self.limits = limits
        self._sent = False
        self.last_activity = self._pool.now
        if self._transport.is_closing():
            self._fail(FailureKind.NOT_SENT, 'connection was already closing')
            return waiter
        self._sent = True
        if request.size <= SINGLE_WRITE_BYTES:
            self._transport.write(b''.join((head, *request.chunks)))
        else:
            self._unsent.append(head)
            self._unsent.extend(request.chunks)
            self._flush()
        return waiter

    def abort(self, kind=FailureKind.CANCELLED, detail=''):
        """Close at once; an exchange in progress ends with a `Failure`."""
        self._transport.abort()
        self._fail(kind, detail)

    # asyncio.Protocol

    def connection_made(self, transport):
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        tcpkeepalive.enable(transport)

    def data_received(self, data):
        self.last_activity = self._pool.now
        self.active = True
        if self._waiter is None:
            # Unsolicited data must not be taken for the next answer.
            self.abort()
            return
        self._received_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as e:
            self._error = self._error or (FailureKind.CUT, f'bad answer: {e}')
        if self._received_bytes > MAX_HEAD_BYTES:
            self._error = self._error or (
                FailureKind.CUT,
                'answer headers, trailers or framing too large',
            )
        # Not from the parser's callbacks: the next exchange may start right
        # away, on this connection and its parser.
        if self._complete:
            self._finish()
        elif self._error is not None:
            self.abort(*self._error)

    def eof_received(self):
        if self._read_until_close and self._answer is not None:
            # No length was given: the answer ends with the connection.
            self._complete = True
            self._must_close = True
            self._finish()
        return False

    def connection_lost(self, exc):
        self._closed = True
        self._fail(FailureKind.CUT, 'connection lost before the answer ended')
        self._pool.discard(self)

    def pause_writing(self):
        self._writing_paused = True

    def resume_writing(self):
        self._writing_paused = False
        self.last_activity = self._pool.now
        self.active = True
        self._flush()

    # httptools callbacks

    def on_message_begin(self):
        self._headers = []
        if self._complete:
            # A second answer to the same request.
            self._must_close = True

    def on_header(self, name, value):
        if self._answer is None:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self):
        status = self._parser.get_status_code()
        if status in _INTERIM_STATUSES or self._complete:
            return
        fields = dict(self._headers)
        if self._is_stale(fields):
            self._skipping_answer = True
            self._must_close = True
            return
        if status not in httpheads.FINAL_STATUSES:
            self._error = FailureKind.CUT, f'bad answer: status {status}'
            return
        self._read_idle_timeout(fields)
        length = int(fields.get(b'content-length', 0))
        headers = httpheads.end_to_end_headers(self._headers)
        answer = callserver.Answer(status, headers, [], 0, reused=self._reused)
        self._answer = answer
        if self._method == 'HEAD':
            answer.size = length
            self._complete = True
            self._must_close |= not self._parser.should_keep_alive()
        elif length:
            self._reserve(length)
        else:
            self._read_until_close = (
                self._pool.close_delimited
                and httpheads.is_close_delimited(status, fields)
            )

    def _is_stale(self, fields):
        """Return whether an answer belongs to an earlier request."""
        if self._echo_id is None or self._pool.id_field is None:
            return False
        return fields.get(self._pool.id_field, self._echo_id) != self._echo_id

    def _read_idle_timeout(self, fields):
        match = _KEEP_ALIVE_TIMEOUT.search(fields.get(b'keep-alive', b''))
        if match is not None:
            timeout = int(match[1]) - KEEP_ALIVE_MARGIN_S
            self.idle_timeout = max(0.0, min(IDLE_TIMEOUT_S, timeout))

    def on_body(self, chunk):
        if self._skipping_answer:
            return
        answer = self._answer
        if answer is None or self._complete:
            self._must_close = True
            return
        answer.chunks.append(chunk)
        answer.size += len(chunk)
        self._received_bytes = 0
        excess = answer.size - answer.memory.size - answer.memory.pending
        if excess > 0:
            self._reserve(excess)

    def on_message_complete(self):
        if self._skipping_answer:
            self._skipping_answer = False
            return
        if self._answer is not None:
            self._complete = True
            # The parser resets this value after the callback.
            self._must_close |= not self._parser.should_keep_alive()

    def _reserve(self, size):
        answer = self._answer
        budget = self._pool.answer_memory
        if answer.memory.size + answer.memory.pending + size > min(
            self._pool.answer_limit, budget.limit
        ):
            self._error = (FailureKind.TOO_LARGE, 'answer body too large')
        elif answer.memory.pending:
            answer.memory.pending += size
        else:
            answer.memory.on_refused = self._memory_refused
            if not budget.reserve(answer.memory, size, self._memory_granted):
                self._transport.pause_reading()

    def _memory_granted(self):
        self.last_activity = self._pool.now
        self.active = True
        if self._closed:
            return
        self._transport.resume_reading()

    def _memory_refused(self):
        # Not at once: this may be called from the parser.
        self._pool.loop.call_soon(self._abort_waiting)

    def _abort_waiting(self):
        if self.waits_for_memory:
            self.abort(FailureKind.TOO_LARGE, 'no memory for the answer body')

    def _finish(self):
        waiter, self._waiter = self._waiter, None
        answer, self._answer = self._answer, None
        self._complete = False
        self._read_until_close = False
        if self._method == 'HEAD':
            # The old parser still expects a body, which HEAD never has.
            self._parser = httptools.HttpResponseParser(self)
        if self._unsent:
            # The server answered before it had read the whole request.
            self._unsent.clear()
            self._must_close = True
        self._received_bytes = 0
        self._reused = True
        if self._must_close:
            self._transport.close()
        self._pool.release(self)
        if not waiter.done():
            waiter.set_result(answer)

    def _fail(self, kind, detail):
        waiter, self._waiter = self._waiter, None
        answer, self._answer = self._answer, None
        self._unsent.clear()
        if answer is not None:
            self._pool.answer_memory.release(answer.memory)
        if waiter is None:
            return
        self._must_close = True
        self._pool.release(self)
        if not waiter.done():
            waiter.set_result(Failure(kind, self._sent, self._reused, detail))

    def _flush(self):
        while self._unsent and not self._writing_paused and not self._closed:
            self._transport.write(self._unsent.popleft())


async def exchange(connection, request, head, limits):
    """Send a request and wait for the result, within an eager task.

    Args:
        connection: A `Connection` from `Pool.take_idle` or `Pool.acquire`.
        request: A `ClientRequest`.
        head: The request's `encode_head`.
        limits: `ExchangeLimits`.

    Returns:
        A `callserver.Answer` or a `Failure`. When the task is cancelled,
        the connection is closed.
    """
    waiter = eagertask.Waiter()
    connection.start(request, head, limits, waiter)
    try:
        return await waiter
    except asyncio.CancelledError:
        connection.abort()
        raise


class Pool:
    """Connections to one destination, limited in number.

    Args:
        address: `ip:port`.
        max_connections: Limit on open connections.
        clock: A `clock.Clock`.
        answer_memory: `bodymemory.Budget` for buffered answer bodies.
        answer_limit: Largest answer body in bytes.
        tls: `ssl.SSLContext` or None.
        id_field: Lower-case name of the header in which answers repeat the
            request's id, or None when they don't.
        close_delimited: Whether answers without a length are accepted; they
            end with the connection.

    Attributes:
        max_idle: Limit on idle connections; None for no limit. Those above
            it are closed after `EXCESS_IDLE_TIMEOUT_S`.
    """

    def __init__(
        self,
        address,
        max_connections,
        clock,
        answer_memory,
        answer_limit,
        tls=None,
        id_field=None,
        close_delimited=False,
    ):
        self.max_idle = None
        self.id_field = id_field
        self.close_delimited = close_delimited
        self.address = address
        self.answer_memory = answer_memory
        self.answer_limit = answer_limit
        self.loop = asyncio.get_running_loop()
        # Updated by sweeps, so that exchanges need not read the clock.
        self.now = clock.monotonic()
        self._max_connections = max_connections
        self._clock = clock
        self._tls = tls
        self._idle = []
        self._open = set()
        self._connecting = 0
        self._retired = False
        self._waiters = collections.deque()

    @property
    def size(self):
        """Number of connections open or being opened."""
        return len(self._open) + self._connecting

    @property
    def busy(self):
        """Number of exchanges in progress."""
        return sum(connection.busy for connection in self._open)

    def take_idle(self, max_idle_time=math.inf):
        """Return an idle connection, or None.

        Args:
            max_idle_time: Seconds; connections idle for longer are closed.
        """
        # Sweeps may be rare while the pool is idle, and `now` out of date.
        self.now = self._clock.monotonic()
        while self._idle:
            connection = self._idle.pop()
            limit = min(max_idle_time, connection.idle_timeout)
            if self.now - connection.last_activity > limit:
                connection.abort()
            elif connection.usable:
                return connection
        return None

    async def acquire(self, timeout):
        """Return an idle or new connection.

        Args:
            timeout: Seconds.

        Returns:
            A `Connection`, or a `Failure` whose `sent` is False.
        """
        connection = self.take_idle()
        if connection is not None:
            return connection
        if self.size < self._max_connections:
            return await self._connect(min(timeout, CONNECT_TIMEOUT_S))
        waiter = self.loop.create_future()
        self._waiters.append(waiter)
        timer = self.loop.call_later(timeout, _time_out, waiter)
        try:
            return await waiter
        except asyncio.CancelledError:
            self._reclaim(waiter)
            raise
        finally:
            timer.cancel()
            if waiter in self._waiters:
                self._waiters.remove(waiter)

    def release(self, connection):
        """Return a connection to the pool after an exchange."""
        if not connection.usable:
            return
        if self._retired:
            connection.abort()
            return
        while self._waiters:
            waiter = self._waiters.popleft()
            if not waiter.done():
                waiter.set_result(connection)
                return
        self._idle.append(connection)

    def discard(self, connection):
        """Remove a closed connection."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        self._connect_for_waiter()

    def close_idle(self):
        """Close idle connections, because their path may be broken."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.abort()

    def sweep(self):
        """Abort exchanges over their limits and close idle connections.

        Returns:
            Number of exchanges that stalled; if there are any, all idle
            connections are closed too.
        """
        self.now = self._clock.monotonic()
        stalled = 0
        self._close_excess_idle()
        for connection in tuple(self._open):
            if connection.active:
                # `now` was out of date if this process was stalled.
                connection.active = False
                connection.last_activity = self.now
            waited = self.now - connection.last_activity
            if not connection.busy:
                if waited > connection.idle_timeout:
                    connection.abort()
            elif (
                waited > connection.limits.stall_timeout
                and not connection.waits_for_memory
            ):
                stalled += 1
                connection.abort(FailureKind.SILENT, 'no data transferred')
            elif self.now > connection.limits.deadline:
                connection.abort(FailureKind.DEADLINE, 'deadline passed')
        if stalled:
            self.close_idle()
        return stalled

    def retire(self):
        """Close idle connections now, and busy ones after their answer."""
        self._retired = True
        self.close_idle()

    def _close_excess_idle(self):
        if self.max_idle is None:
            return
        # The least recently used are first in the list.
        for item in self._idle[: max(0, len(self._idle) - self.max_idle)]:
            if self.now - item.last_activity > EXCESS_IDLE_TIMEOUT_S:
                item.abort()

    def close(self):
        """Close every connection."""
        for connection in tuple(self._open):
            connection.abort()

    async def _connect(self, timeout):
        host, _, port = self.address.rpartition(':')
        opening = self.loop.create_connection(
            lambda: Connection(self),
            host,
            int(port),
            ssl=self._tls,
            server_hostname=trust.DAEMON_NAME if self._tls else None,
        )
        self._connecting += 1
        try:
            _, connection = await connecting.open_within(opening, timeout)
        except TimeoutError:
            failure = Failure(
                FailureKind.NOT_SENT, False, detail='connecting timed out'
            )
        except OSError as error:
            failure = Failure(FailureKind.REFUSED, False, detail=str(error))
        else:
            failure = None
        finally:
            self._connecting -= 1
        if failure is not None:
            # Otherwise nobody opens a connection for the next waiter.
            self._connect_for_waiter()
            return failure
        connection.last_activity = self.now
        self._open.add(connection)
        return connection

    def _connect_for_waiter(self):
        """Open a connection for a waiter if the pool is below its limit."""
        if not self._waiters or self.size >= self._max_connections:
            return
        waiter = self._waiters.popleft()
        if not waiter.done():
            task = self.loop.create_task(self._connect(CONNECT_TIMEOUT_S))
            task.add_done_callback(lambda done: self._deliver(done, waiter))

    def _reclaim(self, waiter):
        """Release a connection given to a waiter that was cancelled."""
        if waiter.done() and not waiter.cancelled():
            result = waiter.result()
            if isinstance(result, Connection):
                self.release(result)

    def _deliver(self, task, waiter):
        result = task.result()
        if not waiter.done():
            waiter.set_result(result)
        elif isinstance(result, Connection):
            self.release(result)


def _time_out(waiter):
    if not waiter.done():
        waiter.set_result(
            Failure(FailureKind.NOT_SENT, False, detail='all connections busy')
        )
