"""HTTP/1.1 server of the call path: whole requests in, whole answers out.

Parsing is httptools'. What that library lets through and a forwarder must
not (see `httpheads.head_error`) is refused here.
"""

import asyncio
import collections
import dataclasses
import functools

import httptools

from jujubefold import bodymemory
from jujubefold import callexchange
from jujubefold import calls
from jujubefold import errors
from jujubefold import httpheads
from jujubefold import problems
from jujubefold import trust

MAX_HEAD_BYTES = 32 * 1024
MAX_TARGET_BYTES = 8 * 1024
MAX_FRAMING_BYTES = 64 * 1024
FRAMING_FACTOR = 16
MAX_PIPELINED = 8
WRITE_BUFFER_BYTES = 256 * 1024
JOINED_WRITE_BYTES = 64 * 1024
SWEEP_INTERVAL_S = 0.25
LINGER_S = 1.0
HEARTBEAT_S = 0.4
MEMORY_RETRY_S = 1.0

_PROCESSING = b'HTTP/1.1 102 Processing\r\n\r\n'
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


@dataclasses.dataclass(frozen=True, slots=True)
class Timeouts:
    """Bounds in seconds on what a caller may take.

    Args:
        head: From the first byte of a request to the end of its headers.
        body: Between two pieces of a request body.
        write: Between two pieces of an answer taken by the caller.
        idle: Between two requests.
        memory: Waiting for memory to buffer a body.
    """

    head: float = 10.0
    body: float = 10.0
    write: float = 30.0
    idle: float = 75.0
    memory: float = 10.0


@dataclasses.dataclass(slots=True, eq=False)
class Session:
    """What a handler remembers of one connection.

    Args:
        last_attempt_id: Whatever the handler put here.
    """

    last_attempt_id: object = None


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """One whole request.

    Args:
        target: Request target in origin form, as sent.
        path: Target without the query.
        host: Lower case, without port; '' when an HTTP/1.0 caller sent none.
        headers: Pairs in order, names in lower case; no trailers.
        fields: The same by name.
        chunks: Body in order.
        size: Body length in bytes.
        peer: Address of the sender, `ip:port`.
        session: The connection's `Session`.
        during_drain: Whether its headers came after the server began to drain.
    """

    method: str
    target: bytes
    path: str
    host: str
    headers: list
    fields: dict
    peer: str
    session: Session
    during_drain: bool = False
    keep_alive: bool = True
    chunks: list = dataclasses.field(default_factory=list)
    size: int = 0
    memory: bodymemory.Reservation = dataclasses.field(
        default_factory=bodymemory.Reservation
    )


@dataclasses.dataclass(slots=True, eq=False)
class Answer:
    """One whole answer.

    Args:
        headers: Pairs in order, names in lower case, without framing.
        chunks: Body in order.
        size: Body length; for HEAD the length that GET would have.
        close: Close the connection behind it.
    """

    status: int
    headers: list
    chunks: list
    size: int
    close: bool = False
    memory: bodymemory.Reservation = dataclasses.field(
        default_factory=bodymemory.Reservation
    )


def refusal_answer(refusal, subject=None, status=None, close=False):
    """Return the answer for a refusal.

    Args:
        refusal: A `calls.Refusal`.
        subject: A `problems.RequestContext`, or None for nothing known.
        status: HTTP status when the reason alone does not give it.
    """
    code, headers, body = problems.encode(
        refusal, subject or problems.RequestContext(), status
    )
    return Answer(code, headers, [body], len(body), close)


class _Refused(Exception):
    """Leaves the parser's callbacks with an answer for the caller."""

    def __init__(self, answer):
        super().__init__()
        self.answer = answer


def bad_request(detail, status=400):
    """Return the answer to a request that breaks the protocol."""
    return _closing_answer(calls.Reason.MALFORMED, detail, status)


def _too_large(detail, status=413):
    return _closing_answer(calls.Reason.TOO_LARGE, detail, status)


def _closing_answer(reason, detail, status):
    refusal = calls.Refusal(errors.Ran.DID_NOT_RUN, reason, detail=detail)
    return refusal_answer(refusal, status=status, close=True)


class Connection(asyncio.Protocol):
    """One caller's connection.

    Args:
        server: The `Server` it belongs to.
    """

    def __init__(self, server):
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport = None
        self._peer = ''
        self._session = Session()
        # Whole requests, and answers to what could not be parsed.
        self._queue = collections.deque()
        self._current = None
        self._out = collections.deque()
        self._sending = None
        self._advancing = False
        self._writing_paused = False
        self._reading_paused = False
        self._waits = 0
        self._broken = False
        self._closed = False
        self._linger_until = None
        self._moved_at = server.now
        self._reset()

    def _reset(self):
        self._target = b''
        self._headers = []
        self._request = None
        self._started = False
        self._raw_bytes = 0
        self._head_bytes = 0
        self._head_sweeps = 0

    @property
    def idle(self):
        """Whether no request is under way."""
        return (
            self._current is None
            and self._sending is None
            and not self._started
            and not self._queue
        )

    # asyncio.Protocol

    def connection_made(self, transport):
        self._transport = transport
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        if self._server.refuses(transport):
            self._broken = True
            transport.abort()
            return
        name = transport.get_extra_info('peername')
        self._peer = f'{name[0]}:{name[1]}' if name else ''
        self._server.opened(self)

    def data_received(self, data):
        self._moved_at = self._server.now
        if self._broken:
            return
        self._raw_bytes += len(data)
        try:
            self._parser.feed_data(data)
            self._check_sizes()
        except _Refused as refused:
            self._break(refused.answer)
        except httptools.HttpParserUpgrade:
            self._break(bad_request('protocol upgrade not supported', 501))
        except httptools.HttpParserError as error:
            self._break(_answer_for(error))
        else:
            # Only now: an answer may close the connection under the parser.
            self._advance()

    def eof_received(self):
        return False

    def connection_lost(self, exc):
        self._broken = True
        self._closed = True
        self._server.closed(self)
        self._drop_requests()
        self._drop_answer()
        current, self._current = self._current, None
        if current is not None:
            self._server.request_memory.release(current.request.memory)
            current.sender_disconnected()

    def pause_writing(self):
        self._writing_paused = True

    def resume_writing(self):
        self._writing_paused = False
        self._moved_at = self._server.now
        self._flush()
        self._advance()

    # httptools callbacks

    def on_message_begin(self):
        self._started = True

    def on_url(self, url):
        self._target += url
        if len(self._target) > MAX_TARGET_BYTES:
            raise _Refused(_too_large('request target too long', 414))
        self._count_head(len(url))

    def on_header(self, name, value):
        # Fields behind the body (trailers) are dropped, never merged.
        if self._request is None:
            self._count_head(len(name) + len(value))
            self._headers.append((name.lower(), value))

    def on_headers_complete(self):
        request = self._read_head()
        self._request = request
        self._raw_bytes = 0
        length = request.fields.get(b'content-length')
        if length is None and b'transfer-encoding' not in request.fields:
            return
        self._expect_body(request, int(length or 0))

    def on_body(self, piece):
        request = self._request
        request.chunks.append(piece)
        request.size += len(piece)
        over = request.size - request.memory.size - request.memory.pending
        if over <= 0:
            return
        if request.size > self._server.body_limit(request):
            raise _Refused(_too_large('request body too large'))
        self._reserve(request, over)

    def on_message_complete(self):
        request = self._request
        request.keep_alive = self._parser.should_keep_alive()
        self._reset()
        self._queue.append(request)
        if len(self._queue) > MAX_PIPELINED:
            self._pause_reading()

    # Reading

    def _count_head(self, size):
        # A head may come whole, before its raw bytes are looked at.
        self._head_bytes += size
        if self._head_bytes > self._server.max_head_bytes:
            raise _Refused(_too_large('request headers too large', 431))

    def _read_head(self):
        if self._parser.should_upgrade():
            raise _Refused(bad_request('protocol upgrade not supported', 501))
        version = self._parser.get_http_version()
        method = self._parser.get_method()
        fields = dict(self._headers)
        fault = httpheads.head_error(version, method, self._headers, fields)
        if fault is not None:
            raise _Refused(bad_request(*fault))
        target, host = httpheads.origin(self._target, fields.get(b'host', b''))
        path = target.partition(b'?')[0]
        if httpheads.is_unsafe_target(target, path):
            raise _Refused(bad_request('request target not acceptable'))
        return Request(
            method=method.decode(),
            target=target,
            path=path.decode('latin-1'),
            host=httpheads.hostname(host),
            headers=self._headers,
            fields=fields,
            peer=self._peer,
            session=self._session,
            during_drain=self._server.stopping,
        )

    def _expect_body(self, request, length):
        if length > self._server.body_limit(request):
            raise _Refused(_too_large('request body too large'))
        if not length or self._reserve(request, length):
            self._continue(request)

    def _continue(self, request):
        expects = b'expect' in request.fields
        if not expects or request is not self._request:
            return
        if self._current is None and not self._queue:
            self._transport.write(_CONTINUE)

    def _reserve(self, request, more):
        if request.memory.pending:
            request.memory.pending += more
            return False
        granted = functools.partial(self._granted, request)
        if self._server.request_memory.reserve(request.memory, more, granted):
            return True
        self._waits += 1
        self._pause_reading()
        return False

    def _granted(self, request):
        self._waits -= 1
        self._moved_at = self._server.now
        self._continue(request)
        self._resume_reading()
        self._advance()

    def _check_sizes(self):
        if self._request is not None:
            allowed = self._request.size * FRAMING_FACTOR + MAX_FRAMING_BYTES
            if self._raw_bytes > allowed:
                raise _Refused(bad_request('request framing too large'))
        elif self._started and self._raw_bytes > self._server.max_head_bytes:
            raise _Refused(_too_large('request headers too large', 431))

    def _break(self, answer):
        """Answer what came before, then this, then close."""
        self._broken = True
        self._started = False
        request, self._request = self._request, None
        if request is not None:
            self._forget(request)
        self._queue.append(answer)
        self._advance()

    def _forget(self, request):
        if request.memory.pending:
            self._waits -= 1
        self._server.request_memory.release(request.memory)

    def _drop_requests(self):
        request, self._request = self._request, None
        queued = [item for item in self._queue if isinstance(item, Request)]
        self._queue.clear()
        for item in queued if request is None else [*queued, request]:
            self._forget(item)

    def _pause_reading(self):
        if not self._reading_paused and not self._closed:
            self._reading_paused = True
            self._transport.pause_reading()

    def _resume_reading(self):
        if self._waits and not self._broken:
            return
        if self._reading_paused and not self._closed:
            self._reading_paused = False
            self._transport.resume_reading()

    # Answering, one request at a time and in order

    def _advance(self):
        if self._advancing:
            return
        self._advancing = True
        while self._is_ready():
            following = self._queue.popleft()
            if len(self._queue) == MAX_PIPELINED // 2:
                self._resume_reading()
            if isinstance(following, Answer):
                self._send(following, 'GET', False)
            else:
                self._moved_at = self._server.now
                self._current = callexchange.Exchange(self, following)
                self._server.handler.handle(self._current)
        self._advancing = False

    def _is_ready(self):
        if self._current is not None or self._sending is not None:
            return False
        if self._writing_paused or self._closed or not self._queue:
            return False
        first = self._queue[0]
        return isinstance(first, Answer) or not first.memory.pending

    def reply(self, request, answer):
        """Send the answer to the request now served."""
        self._server.request_memory.release(request.memory)
        self._current = None
        self._send(
            answer, request.method, request.keep_alive and not answer.close
        )
        self._advance()

    def reply_truncated(self, answer):
        """Send half of the answer's body, then close."""
        whole = b''.join(answer.chunks)
        head = httpheads.encode_head(answer, 'GET', True)
        self._current = None
        self._transport.write(head + whole[: len(whole) // 2])
        self.finish()

    def _send(self, answer, method, keep_alive):
        keep_alive = keep_alive and not self._server.stopping
        self._moved_at = self._server.now
        head = httpheads.encode_head(answer, method, keep_alive)
        chunks = () if httpheads.has_no_body(answer, method) else answer.chunks
        if answer.size <= JOINED_WRITE_BYTES or not chunks:
            self._server.answer_memory.release(answer.memory)
            self._transport.write(b''.join((head, *chunks)))
            self._sent(keep_alive)
            return
        self._out.append(head)
        self._out.extend(chunks)
        self._sending = (answer, keep_alive)
        self._flush()

    def _flush(self):
        while self._out and not self._writing_paused and not self._closed:
            self._transport.write(self._out.popleft())
        if self._out or self._sending is None or self._closed:
            return
        answer, keep_alive = self._sending
        self._sending = None
        self._server.answer_memory.release(answer.memory)
        self._sent(keep_alive)

    def _drop_answer(self):
        self._out.clear()
        sending, self._sending = self._sending, None
        if sending is not None:
            self._server.answer_memory.release(sending[0].memory)

    def _sent(self, keep_alive):
        if not keep_alive:
            self.finish()

    def finish(self):
        """Close so that the caller can still read what was written."""
        self._broken = True
        self._drop_requests()
        self._linger_until = self._server.now + LINGER_S
        self._resume_reading()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        else:
            self._transport.close()

    # Bounds in time

    def sweep(self, now, timeouts):
        """Close or refuse what has not moved in time.

        Args:
            now: Monotonic seconds.
            timeouts: A `Timeouts`.
        """
        waited = now - self._moved_at
        if self._linger_until is not None:
            if now >= self._linger_until:
                self.abort()
        elif self._sending is not None or self._writing_paused:
            if waited > timeouts.write:
                self.abort()
        elif self._current is not None:
            if self._server.heartbeat and waited > HEARTBEAT_S:
                self._moved_at = now
                self._transport.write(_PROCESSING)
        elif self._waits:
            if waited > timeouts.memory:
                self._refuse_for_memory()
            elif self._server.heartbeat:
                self._transport.write(_PROCESSING)
        elif self._request is not None:
            if waited > timeouts.body:
                self._break(bad_request('request body came too slowly', 408))
        elif self._started:
            self._sweep_head(timeouts)
        elif waited > timeouts.idle:
            self.abort()

    def _sweep_head(self, timeouts):
        # Counted in sweeps, which a trickle of bytes does not reset.
        self._head_sweeps += 1
        if self._head_sweeps * SWEEP_INTERVAL_S > timeouts.head:
            self._break(bad_request('request headers came too slowly', 408))

    def _refuse_for_memory(self):
        self._drop_requests()
        self._break(
            refusal_answer(
                calls.Refusal(
                    errors.Ran.DID_NOT_RUN,
                    calls.Reason.QUEUE_FULL,
                    retry_after=MEMORY_RETRY_S,
                    detail='no memory to buffer the request body',
                ),
                close=True,
            )
        )

    def abort(self):
        """Close at once."""
        self._transport.abort()


def _answer_for(error):
    cause = error.__context__
    if isinstance(cause, _Refused):
        return cause.answer
    if isinstance(error, httptools.HttpParserCallbackError) and cause:
        raise cause
    return bad_request(str(error))


class Server:
    """Listens, and gives whole requests to a handler.

    Args:
        handler: Has `handle(exchange)`, called with each whole request, and
            `body_limit(request)`, which returns bytes.
        clock: A `clock.Clock`.
        request_memory: `bodymemory.Budget` for request bodies.
        answer_memory: `bodymemory.Budget` that answers were reserved in.
        timeouts: A `Timeouts`; may be replaced while it runs.
        heartbeat: Whether senders that wait are told every moment, by an
            interim answer, that the connection still works.

    Attributes:
        max_head_bytes: Most bytes of a request's head.
    """

    def __init__(
        self,
        handler,
        clock,
        request_memory,
        answer_memory,
        timeouts=None,
        heartbeat=False,
    ):
        self.handler = handler
        self.heartbeat = heartbeat
        self.request_memory = request_memory
        self.answer_memory = answer_memory
        self.stopping = False
        # Coarse time, so that no request pays for reading the clock.
        self.now = clock.monotonic()
        self.max_head_bytes = MAX_HEAD_BYTES
        self.timeouts = timeouts or Timeouts()
        self._clock = clock
        self._connections = set()
        self._server = None
        self._timer = None

    @property
    def connections(self):
        """How many connections are open."""
        return len(self._connections)

    @property
    def busy(self):
        """Whether any request is under way."""
        return any(not item.idle for item in self._connections)

    async def start(self, bind, tls=None):
        """Listen.

        Args:
            bind: `ip:port`; port 0 for any.
            tls: `ssl.SSLContext` or None.

        Returns:
            The bound `ip:port`.
        """
        host, _, port = bind.rpartition(':')
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: Connection(self),
            host,
            int(port),
            ssl=tls,
            backlog=1024,
        )
        self._arm()
        name = self._server.sockets[0].getsockname()
        return f'{name[0]}:{name[1]}'

    def refuses(self, transport):
        """Return whether a TLS client failed to prove the daemon role."""
        secured = transport.get_extra_info('ssl_object')
        if secured is None:
            return False
        return not trust.is_daemon_certificate(secured.getpeercert())

    def body_limit(self, request):
        """Return the most bytes that a request's body may have."""
        return min(self.handler.body_limit(request), self.request_memory.limit)

    def opened(self, connection):
        """Know a new connection."""
        self._connections.add(connection)

    def closed(self, connection):
        """Forget a connection."""
        self._connections.discard(connection)

    def sweep(self):
        """Apply the time bounds to every connection."""
        self.now = self._clock.monotonic()
        for connection in tuple(self._connections):
            connection.sweep(self.now, self.timeouts)

    def drain(self, listening=False):
        """Close each connection behind its next answer.

        Idle ones stay open: a request on its way there would else be lost
        without a word. Requests that come from now on are marked late.

        Args:
            listening: Whether new connections are still taken.
        """
        self.stopping = True
        if self._server is not None and not listening:
            self._server.close()

    def close_idle(self):
        """Close the connections that carry no request now."""
        for connection in tuple(self._connections):
            if connection.idle:
                connection.finish()

    async def close(self):
        """Close everything at once."""
        self.drain()
        if self._timer is not None:
            self._timer.cancel()
        for connection in tuple(self._connections):
            connection.abort()
        await asyncio.sleep(0)

    def _arm(self):
        self._timer = asyncio.get_running_loop().call_later(
            SWEEP_INTERVAL_S, self._swept
        )

    def _swept(self):
        self.sweep()
        self._arm()
