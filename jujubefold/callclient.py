"""HTTP/1.1 client of the call path: bounded pools of connections.

Every way an exchange can end is a value that says what is provable: whether
the request was written at all, and whether the answer is whole.
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
from jujubefold import eagertask
from jujubefold import tcpkeepalive
from jujubefold import trust

CONNECT_TIMEOUT_S = 1.0
IDLE_TIMEOUT_S = 60.0
EXCESS_IDLE_S = 0.25
# The other end counts from its last byte, and closes on whole seconds.
KEEP_ALIVE_MARGIN_S = 1.0
MAX_HEAD_BYTES = 64 * 1024
WRITE_BUFFER_BYTES = 256 * 1024
JOINED_WRITE_BYTES = 64 * 1024

_HOP_BY_HOP = frozenset(
    {
        b'connection',
        b'keep-alive',
        b'proxy-authenticate',
        b'proxy-authorization',
        b'proxy-connection',
        b'te',
        b'trailer',
        b'transfer-encoding',
        b'upgrade',
        b'content-length',
        b'expect',
    }
)
_WITH_BODY = frozenset({'POST', 'PUT', 'PATCH'})
_INTERIM = range(100, 200)
_NO_BODY = frozenset({204, 304})
_KEEP_ALIVE = re.compile(rb'timeout=(\d{1,6})')


class FailureKind(enum.StrEnum):
    """How an exchange ended without a whole answer."""

    REFUSED = 'refused'
    NOT_SENT = 'not-sent'
    CUT = 'cut'
    SILENT = 'silent'
    DEADLINE = 'deadline'
    TOO_LARGE = 'too-large'
    CANCELLED = 'cancelled'


# What is told of a request that was sent and got no whole answer.
UNKNOWN_OUTCOME_REASONS = {
    FailureKind.CUT: calls.Reason.UPSTREAM_CUT,
    FailureKind.SILENT: calls.Reason.UPSTREAM_SILENT,
    FailureKind.DEADLINE: calls.Reason.DEADLINE,
    FailureKind.TOO_LARGE: calls.Reason.TOO_LARGE,
    FailureKind.CANCELLED: calls.Reason.CANCELLED,
}


@dataclasses.dataclass(frozen=True, slots=True)
class Failure:
    """An exchange without a whole answer.

    Args:
        kind: What was seen.
        sent: Whether any byte may have reached the other end.
        reused: Whether the connection had carried an exchange before.
        detail: One sentence for a person.
    """

    kind: FailureKind
    sent: bool
    reused: bool = False
    detail: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class OutboundRequest:
    """A request as it is passed on.

    Args:
        method: Upper case.
        target: Origin form.
        headers: End-to-end pairs, names in lower case.
        chunks: Body in order.
        size: Body length in bytes.
        name: Id that the answer echoes; b'' when it need not.
    """

    method: str
    target: bytes
    headers: list
    chunks: list
    size: int
    name: bytes = b''


@dataclasses.dataclass(frozen=True, slots=True)
class ExchangeLimits:
    """Bounds in time on one exchange.

    Args:
        deadline: Monotonic seconds at which it is given up.
        stall_timeout: Seconds without a byte in either direction.
    """

    deadline: float
    stall_timeout: float


def end_to_end_headers(headers, dropped=frozenset()):
    """Return the header pairs that a forwarder passes on.

    Args:
        headers: Pairs with names in lower case.
        dropped: Further names to leave out.
    """
    named = ()
    for name, value in headers:
        if name == b'connection':
            named = {item.strip() for item in value.lower().split(b',')}
            break
    return [
        pair
        for pair in headers
        if pair[0] not in _HOP_BY_HOP
        and pair[0] not in dropped
        and pair[0] not in named
    ]


def is_close_delimited(status, fields):
    """Return whether an answer's body ends with its connection.

    Args:
        status: HTTP status.
        fields: Headers by lower-case name.
    """
    if status in _NO_BODY:
        return False
    return not fields.keys() & {b'content-length', b'transfer-encoding'}


def encode_head(message, extra=()):
    """Return the head of a request on the wire.

    Args:
        message: A `OutboundRequest`.
        extra: Further header pairs for this hop.
    """
    parts = [b'%b %b HTTP/1.1\r\n' % (message.method.encode(), message.target)]
    for name, value in message.headers:
        parts.append(b'%b: %b\r\n' % (name, value))
    for name, value in extra:
        parts.append(b'%b: %b\r\n' % (name, value))
    if message.size or message.method in _WITH_BODY:
        parts.append(b'content-length: %d\r\n' % message.size)
    parts.append(b'\r\n')
    return b''.join(parts)


class Connection(asyncio.Protocol):
    """One connection of a pool, carrying one exchange at a time.

    Args:
        pool: The `Pool` it belongs to.
    """

    def __init__(self, pool):
        self._pool = pool
        self._transport = None
        self._parser = httptools.HttpResponseParser(self)
        self._done = None
        self._method = ''
        self._headers = []
        self._answer = None
        self._raw_bytes = 0
        self._out = collections.deque()
        self._writing_paused = False
        self._reused = False
        self._sent = False
        self._whole = False
        self._fault = None
        self._poisoned = False
        self._closed = False
        self._name = b''
        self._skipping = False
        self._to_end = False
        self.idle_limit = IDLE_TIMEOUT_S
        self.moved_at = 0.0
        self.bounds = None

    @property
    def usable(self):
        """Whether it can take another exchange."""
        return not self._closed and not self._poisoned

    @property
    def busy(self):
        """Whether an exchange is under way."""
        return self._done is not None

    @property
    def waits_for_memory(self):
        """Whether this end, not the other, holds the answer up."""
        return self._answer is not None and self._answer.memory.pending > 0

    def start(self, message, head, bounds, done=None):
        """Send a request.

        Args:
            message: A `OutboundRequest`.
            head: Its head as `encode_head` gave it.
            bounds: `ExchangeLimits` on the exchange.
            done: Where the result is set; None for a new future.

        Returns:
            `done`, of a `callserver.Answer` or a `Failure`.
        """
        if done is None:
            done = self._pool.loop.create_future()
        self._done = done
        self._method = message.method
        self._name = message.name
        self.bounds = bounds
        self._sent = False
        self.moved_at = self._pool.now
        if self._transport.is_closing():
            self._fail(FailureKind.NOT_SENT, 'connection was closing')
            return done
        self._sent = True
        if message.size <= JOINED_WRITE_BYTES:
            self._transport.write(b''.join((head, *message.chunks)))
        else:
            self._out.append(head)
            self._out.extend(message.chunks)
            self._flush()
        return done

    def abort(self, kind=FailureKind.CANCELLED, detail=''):
        """Close at once, ending the exchange under way."""
        self._transport.abort()
        self._fail(kind, detail)

    # asyncio.Protocol

    def connection_made(self, transport):
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        tcpkeepalive.enable(transport)

    def data_received(self, data):
        self.moved_at = self._pool.now
        if self._done is None:
            # Nothing was asked, so whatever this answers is not ours.
            self.abort()
            return
        self._raw_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as e:
            self._fault = self._fault or (FailureKind.CUT, f'malformed: {e}')
        if self._answer is None and self._raw_bytes > MAX_HEAD_BYTES:
            self._fault = (FailureKind.CUT, 'answer headers too large')
        # Only now: what runs next may use this connection and its parser.
        if self._whole:
            self._finish()
        elif self._fault is not None:
            self.abort(*self._fault)

    def eof_received(self):
        if self._to_end and self._answer is not None:
            # Without a length, the end of the connection ends the answer.
            self._whole = True
            self._poisoned = True
            self._finish()
        return False

    def connection_lost(self, exc):
        self._closed = True
        self._fail(FailureKind.CUT, 'connection lost')
        self._pool.discard(self)

    def pause_writing(self):
        self._writing_paused = True

    def resume_writing(self):
        self._writing_paused = False
        self.moved_at = self._pool.now
        self._flush()

    # httptools callbacks

    def on_message_begin(self):
        self._headers = []
        if self._whole:
            # A second answer to one request.
            self._poisoned = True

    def on_header(self, name, value):
        if self._answer is None:
            self._headers.append((name.lower(), value))

    def on_headers_complete(self):
        status = self._parser.get_status_code()
        if status in _INTERIM or self._whole:
            return
        fields = dict(self._headers)
        if self._is_surplus(fields):
            self._skipping = True
            self._poisoned = True
            return
        self._note_idle_limit(fields)
        length = int(fields.get(b'content-length', 0))
        headers = end_to_end_headers(self._headers)
        answer = callserver.Answer(status, headers, [], 0)
        self._answer = answer
        if self._method == 'HEAD':
            answer.size = length
            self._whole = True
            self._poisoned |= not self._parser.should_keep_alive()
        elif length:
            self._reserve(length)
        else:
            self._to_end = self._pool.close_delimited and is_close_delimited(
                status, fields
            )

    def _is_surplus(self, fields):
        """Return whether an answer belongs to an earlier request."""
        if not self._name or self._pool.echo is None:
            return False
        return fields.get(self._pool.echo, self._name) != self._name

    def _note_idle_limit(self, fields):
        found = _KEEP_ALIVE.search(fields.get(b'keep-alive', b''))
        if found is not None:
            stated = int(found[1]) - KEEP_ALIVE_MARGIN_S
            self.idle_limit = max(0.0, min(IDLE_TIMEOUT_S, stated))

    def on_body(self, piece):
        if self._skipping:
            return
        answer = self._answer
        if answer is None or self._whole:
            self._poisoned = True
            return
        answer.chunks.append(piece)
        answer.size += len(piece)
        over = answer.size - answer.memory.size - answer.memory.pending
        if over > 0:
            self._reserve(over)

    def on_message_complete(self):
        if self._skipping:
            self._skipping = False
            return
        if self._answer is not None:
            self._whole = True
            # Within the callback: the parser forgets it right after.
            self._poisoned |= not self._parser.should_keep_alive()

    def _reserve(self, more):
        answer = self._answer
        budget = self._pool.answer_memory
        if answer.memory.size + answer.memory.pending + more > min(
            self._pool.answer_limit, budget.limit
        ):
            self._fault = (FailureKind.TOO_LARGE, 'answer too large to buffer')
        elif answer.memory.pending:
            answer.memory.pending += more
        elif not budget.reserve(answer.memory, more, self._granted):
            self._transport.pause_reading()

    def _granted(self):
        self.moved_at = self._pool.now
        if self._closed:
            return
        self._transport.resume_reading()

    def _finish(self):
        done, self._done = self._done, None
        answer, self._answer = self._answer, None
        self._whole = False
        self._to_end = False
        if self._method == 'HEAD':
            # The parser waits for a body that never comes.
            self._parser = httptools.HttpResponseParser(self)
        if self._out:
            # Answered before it read the whole request.
            self._out.clear()
            self._poisoned = True
        self._raw_bytes = 0
        self._reused = True
        if self._poisoned:
            self._transport.close()
        self._pool.release(self)
        if not done.done():
            done.set_result(answer)

    def _fail(self, kind, detail):
        done, self._done = self._done, None
        answer, self._answer = self._answer, None
        self._out.clear()
        if answer is not None:
            self._pool.answer_memory.release(answer.memory)
        if done is None:
            return
        self._poisoned = True
        self._pool.release(self)
        if not done.done():
            done.set_result(Failure(kind, self._sent, self._reused, detail))

    def _flush(self):
        while self._out and not self._writing_paused and not self._closed:
            self._transport.write(self._out.popleft())


async def exchange(connection, message, head, bounds):
    """Send a request and wait for its end, in an eager task.

    Args:
        connection: A `Connection` from `Pool.take_idle` or `Pool.acquire`.
        message: A `OutboundRequest`.
        head: What `encode_head` made of it.
        bounds: `ExchangeLimits`.

    Returns:
        A `callserver.Answer` or a `Failure`. When the task is cancelled,
        the connection is closed.
    """
    waiter = eagertask.Waiter()
    connection.start(message, head, bounds, waiter)
    try:
        return await waiter
    except asyncio.CancelledError:
        connection.abort()
        raise


class Pool:
    """Connections to one destination, never more than a bound.

    Args:
        address: `ip:port`.
        bound: Most connections open at once.
        clock: A `clock.Clock`.
        answer_memory: `bodymemory.Budget` that answers are buffered in.
        answer_limit: Largest answer body in bytes.
        tls: `ssl.SSLContext` or None.

        echo: Lower-case name of the header in which answers repeat a
            request's id, or None when they don't.
        close_delimited: Whether an answer may end with its connection.

    Attributes:
        max_idle: Most connections kept open while idle; None for all.
    """

    def __init__(
        self,
        address,
        bound,
        clock,
        answer_memory,
        answer_limit,
        tls=None,
        echo=None,
        close_delimited=False,
    ):
        self.max_idle = None
        self.echo = echo
        self.close_delimited = close_delimited
        self.address = address
        self.answer_memory = answer_memory
        self.answer_limit = answer_limit
        self.loop = asyncio.get_running_loop()
        # Coarse time, so that no exchange pays for reading the clock.
        self.now = clock.monotonic()
        self._bound = bound
        self._clock = clock
        self._tls = tls
        self._idle = []
        self._open = set()
        self._connecting = 0
        self._retired = False
        self._waiting = collections.deque()

    @property
    def size(self):
        """How many connections are open or being opened."""
        return len(self._open) + self._connecting

    @property
    def busy(self):
        """How many exchanges are under way."""
        return sum(connection.busy for connection in self._open)

    def take_idle(self, rested=math.inf):
        """Return an idle connection, or None.

        Args:
            rested: Seconds; one that was idle for longer is closed instead.
        """
        # Sweeps may be far apart before the first exchange after a rest.
        self.now = self._clock.monotonic()
        while self._idle:
            connection = self._idle.pop()
            limit = min(rested, connection.idle_limit)
            if self.now - connection.moved_at > limit:
                connection.abort()
            elif connection.usable:
                return connection
        return None

    async def acquire(self, timeout):
        """Return an idle or new connection.

        Args:
            timeout: Seconds.

        Returns:
            A `Connection`, or a `Failure` that was provably not sent.
        """
        connection = self.take_idle()
        if connection is not None:
            return connection
        if self.size < self._bound:
            return await self._connect(min(timeout, CONNECT_TIMEOUT_S))
        waiter = self.loop.create_future()
        self._waiting.append(waiter)
        timer = self.loop.call_later(timeout, _give_up, waiter)
        try:
            return await waiter
        except asyncio.CancelledError:
            self._give_back(waiter)
            raise
        finally:
            timer.cancel()
            if waiter in self._waiting:
                self._waiting.remove(waiter)

    def release(self, connection):
        """Take back a connection whose exchange has ended."""
        if not connection.usable:
            return
        if self._retired:
            connection.abort()
            return
        while self._waiting:
            waiter = self._waiting.popleft()
            if not waiter.done():
                waiter.set_result(connection)
                return
        self._idle.append(connection)

    def discard(self, connection):
        """Forget a connection."""
        self._open.discard(connection)
        if connection in self._idle:
            self._idle.remove(connection)
        self._replace()

    def close_idle(self):
        """Close idle connections: the path they use may be lost."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.abort()

    def sweep(self):
        """End exchanges out of time, and connections idle for long.

        Returns:
            How many connections had gone silent; the idle ones to the same
            destination were then closed too.
        """
        self.now = self._clock.monotonic()
        silent = 0
        self._close_excess_idle()
        for connection in tuple(self._open):
            waited = self.now - connection.moved_at
            if not connection.busy:
                if waited > connection.idle_limit:
                    connection.abort()
            elif (
                waited > connection.bounds.stall_timeout
                and not connection.waits_for_memory
            ):
                silent += 1
                connection.abort(FailureKind.SILENT, 'no progress')
            elif self.now > connection.bounds.deadline:
                connection.abort(FailureKind.DEADLINE, 'deadline passed')
        if silent:
            self.close_idle()
        return silent

    def retire(self):
        """Close idle connections now, and busy ones behind their answer."""
        self._retired = True
        self.close_idle()

    def _close_excess_idle(self):
        if self.max_idle is None:
            return
        # The first in the list were used longest ago.
        for connection in self._idle[
            : max(0, len(self._idle) - self.max_idle)
        ]:
            if self.now - connection.moved_at > EXCESS_IDLE_S:
                connection.abort()

    def close(self):
        """Close every connection."""
        for connection in tuple(self._open):
            connection.abort()

    async def _connect(self, timeout):
        host, _, port = self.address.rpartition(':')
        self._connecting += 1
        try:
            _, connection = await asyncio.wait_for(
                self.loop.create_connection(
                    lambda: Connection(self),
                    host,
                    int(port),
                    ssl=self._tls,
                    server_hostname=trust.DAEMON_NAME if self._tls else None,
                ),
                timeout,
            )
        except TimeoutError:
            return Failure(
                FailureKind.NOT_SENT, False, detail='connect timed out'
            )
        except OSError as error:
            return Failure(FailureKind.REFUSED, False, detail=str(error))
        finally:
            self._connecting -= 1
        connection.moved_at = self.now
        self._open.add(connection)
        return connection

    def _replace(self):
        """Let a waiter open the connection that a lost one made room for."""
        if not self._waiting or self.size >= self._bound:
            return
        waiter = self._waiting.popleft()
        if not waiter.done():
            task = self.loop.create_task(self._connect(CONNECT_TIMEOUT_S))
            task.add_done_callback(lambda done: self._hand_over(done, waiter))

    def _give_back(self, waiter):
        """Keep what a cancelled waiter was handed in the same instant."""
        if waiter.done() and not waiter.cancelled():
            found = waiter.result()
            if isinstance(found, Connection):
                self.release(found)

    def _hand_over(self, task, waiter):
        found = task.result()
        if not waiter.done():
            waiter.set_result(found)
        elif isinstance(found, Connection):
            self.release(found)


def _give_up(waiter):
    if not waiter.done():
        waiter.set_result(
            Failure(FailureKind.NOT_SENT, False, detail='pool exhausted')
        )
