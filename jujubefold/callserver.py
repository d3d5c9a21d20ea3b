"""HTTP/1.1 server of the call path; buffers complete requests and answers.

httptools parses; `httpheads.head_error` rejects what it wrongly accepts.
"""

import asyncio
import dataclasses
import functools

import httptools

from jujubefold import bodymemory
from jujubefold import callpipeline
from jujubefold import calls
from jujubefold import connecting
from jujubefold import errors
from jujubefold import httpheads
from jujubefold import problems
from jujubefold import trust

MAX_HEAD_BYTES = 32 * 1024
MAX_TARGET_BYTES = 8 * 1024
# Limit on the raw bytes of a body: FRAMING_FACTOR times its size, plus this.
MAX_FRAMING_BYTES = 64 * 1024
FRAMING_FACTOR = 16
MAX_PIPELINED = 8
WRITE_BUFFER_BYTES = 256 * 1024
SWEEP_INTERVAL_S = 0.25
LINGER_S = 1.0
HEARTBEAT_S = 0.4
MEMORY_RETRY_S = 1.0

_PROCESSING = b'HTTP/1.1 102 Processing\r\n\r\n'
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


@dataclasses.dataclass(frozen=True, slots=True)
class Timeouts:
    """Time limits on a caller's connection, in seconds.

    Args:
        head: From the first byte of a request to the end of its headers.
        body: Without data while a request body is received.
        write: Without progress while an answer is sent.
        idle: Between two requests.
        memory: Waiting for memory to buffer a request body.
    """

    head: float = 10.0
    body: float = 10.0
    write: float = 30.0
    idle: float = 75.0
    memory: float = 10.0


@dataclasses.dataclass(slots=True, eq=False)
class Session:
    """Data that a handler stores with a connection.

    Args:
        last_attempt_id: Id of the last attempt received; None without one.
    """

    last_attempt_id: object = None


@dataclasses.dataclass(slots=True, eq=False)
class Request:
    """A complete request.

    Args:
        target: Request target in origin form, as sent.
        path: Target without the query.
        host: Lower case, without port; '' when an HTTP/1.0 caller sent none.
        headers: Pairs in order, names in lower case; no trailers.
        fields: Header values by name.
        chunks: Body as a list of bytes, in order.
        size: Body length in bytes.
        peer: Address of the client, `ip:port`.
        session: The connection's `Session`.
        during_drain: Whether its headers came after `Server.drain`.
        received_at: Monotonic seconds at which it was complete.
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
    received_at: float = 0.0
    keep_alive: bool = True
    chunks: list = dataclasses.field(default_factory=list)
    size: int = 0
    memory: bodymemory.Reservation = dataclasses.field(
        default_factory=bodymemory.Reservation
    )


@dataclasses.dataclass(slots=True, eq=False)
class Answer:
    """A complete answer.

    Args:
        headers: Pairs in order, names in lower case; no framing headers.
        chunks: Body as a list of bytes, in order.
        size: Body length in bytes; for HEAD, that of the answer to GET.
        close: Whether the connection is closed after it.
        reused: Whether the connection that it was received on had carried an
            exchange before.
    """

    status: int
    headers: list
    chunks: list
    size: int
    close: bool = False
    memory: bodymemory.Reservation = dataclasses.field(
        default_factory=bodymemory.Reservation
    )
    reused: bool = False


def refusal_answer(refusal, context=None, status=None, close=False):
    """Return the answer that reports a refusal.

    Args:
        refusal: A `calls.Refusal`.
        context: A `problems.RequestContext`, or None if nothing is known.
        status: HTTP status; None to derive it from the refusal's reason.
    """
    code, headers, body = problems.encode(
        refusal, context or problems.RequestContext(), status
    )
    return Answer(code, headers, [body], len(body), close)


class _Rejected(Exception):
    """Raised in parser callbacks; holds the answer for the caller."""

    def __init__(self, answer):
        super().__init__()
        self.answer = answer


def bad_request(detail, status=400):
    """Return the answer to a request that violates the protocol."""
    return _closing_answer(calls.Reason.MALFORMED, detail, status)


def _too_large(detail, status=413):
    return _closing_answer(calls.Reason.TOO_LARGE, detail, status)


def _closing_answer(reason, detail, status):
    refusal = calls.Refusal(errors.Outcome.DID_NOT_RUN, reason, detail=detail)
    return refusal_answer(refusal, status=status, close=True)


class Connection(asyncio.Protocol):
    """A caller's connection, which answers requests in order.

    Args:
        server: The `Server` it belongs to.
    """

    def __init__(self, server):
        self._server = server
        self._parser = httptools.HttpRequestParser(self)
        self._transport = None
        self._peer = ''
        self._session = Session()
        self._pipeline = callpipeline.Pipeline(self, server)
        self._reading_paused = False
        self._memory_waits = 0
        self._ignore_input = False
        self._closed = False
        self._linger_until = None
        self._last_activity = server.now
        self._reset()

    def _reset(self):
        self._target = b''
        self._headers = []
        self._request = None
        self._receiving = False
        self._raw_bytes = 0
        self._head_bytes = 0
        self._head_sweeps = 0

    @property
    def idle(self):
        """Whether no request is being received or answered."""
        return self._pipeline.idle and not self._receiving

    # asyncio.Protocol

    def connection_made(self, transport):
        self._transport = transport
        self._pipeline.open(transport)
        transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        if self._server.is_unauthorized(transport):
            self._ignore_input = True
            transport.abort()
            return
        name = transport.get_extra_info('peername')
        self._peer = f'{name[0]}:{name[1]}' if name else ''
        self._server.add_connection(self)

    def data_received(self, data):
        self._last_activity = self._server.now
        if self._ignore_input:
            return
        self._raw_bytes += len(data)
        try:
            self._parser.feed_data(data)
            self._check_sizes()
        except _Rejected as rejected:
            self._reject(rejected.answer)
        except httptools.HttpParserUpgrade:
            self._reject(bad_request('protocol upgrade not supported', 501))
        except httptools.HttpParserError as error:
            self._reject(_parser_error_answer(error))
        else:
            # Not from a parser callback: answering may close the connection.
            self._pipeline.serve()

    def eof_received(self):
        return False

    def connection_lost(self, exc):
        self._ignore_input = True
        self._closed = True
        self._server.remove_connection(self)
        self._drop_partial_request()
        self._pipeline.drop()

    def pause_writing(self):
        self._pipeline.pause_writing()

    def resume_writing(self):
        self.touch()
        self._pipeline.resume_writing()

    # httptools callbacks

    def on_message_begin(self):
        self._receiving = True

    def on_url(self, url):
        self._target += url
        if len(self._target) > MAX_TARGET_BYTES:
            raise _Rejected(_too_large('request target too long', 414))
        self._add_head_bytes(len(url))

    def on_header(self, name, value):
        # Trailers, which follow the body, are dropped and never merged.
        if self._request is None:
            self._add_head_bytes(len(name) + len(value))
            self._headers.append((name.lower(), value))

    def on_headers_complete(self):
        request = self._build_request()
        self._request = request
        self._raw_bytes = 0
        length = request.fields.get(b'content-length')
        if length is None and b'transfer-encoding' not in request.fields:
            return
        self._expect_body(request, int(length or 0))

    def on_body(self, chunk):
        request = self._request
        request.chunks.append(chunk)
        request.size += len(chunk)
        excess = request.size - request.memory.size - request.memory.pending
        if excess <= 0:
            return
        if request.size > self._server.body_limit(request):
            raise _Rejected(_too_large('request body too large'))
        self._reserve(request, excess)

    def on_message_complete(self):
        request = self._request
        request.keep_alive = self._parser.should_keep_alive()
        self._reset()
        request.received_at = self._server.clock.monotonic()
        self._pipeline.add_request(request)
        if self._pipeline.waiting > MAX_PIPELINED:
            self._pause_reading()

    # Reading

    def _add_head_bytes(self, size):
        # `_check_sizes` never sees a head that arrives in a single read.
        self._head_bytes += size
        if self._head_bytes > self._server.max_head_bytes:
            raise _Rejected(_too_large('request headers too large', 431))

    def _build_request(self):
        if self._parser.should_upgrade():
            raise _Rejected(bad_request('protocol upgrade not supported', 501))
        version = self._parser.get_http_version()
        method = self._parser.get_method()
        fields = dict(self._headers)
        fault = httpheads.head_error(version, method, self._headers, fields)
        if fault is not None:
            raise _Rejected(bad_request(*fault))
        target, host = httpheads.origin(self._target, fields.get(b'host', b''))
        path = target.partition(b'?')[0]
        if httpheads.is_unsafe_target(target, path):
            raise _Rejected(bad_request('request target not normalized'))
        return Request(
            method=method.decode(),
            target=target,
            path=path.decode('latin-1'),
            host=httpheads.hostname(host),
            headers=self._headers,
            fields=fields,
            peer=self._peer,
            session=self._session,
            during_drain=self._server.draining,
        )

    def _expect_body(self, request, length):
        if length > self._server.body_limit(request):
            raise _Rejected(_too_large('request body too large'))
        if not length or self._reserve(request, length):
            self._send_continue(request)

    def _send_continue(self, request):
        expects = b'expect' in request.fields
        if not expects or request is not self._request:
            return
        if self._pipeline.idle:
            self._transport.write(_CONTINUE)

    def _reserve(self, request, size):
        if request.memory.pending:
            request.memory.pending += size
            return False
        callback = functools.partial(self._memory_granted, request)
        if self._server.request_memory.reserve(request.memory, size, callback):
            return True
        self._memory_waits += 1
        self._pause_reading()
        return False

    def _memory_granted(self, request):
        self._memory_waits -= 1
        self._last_activity = self._server.now
        self._send_continue(request)
        self._resume_reading()
        self._pipeline.serve()

    def _check_sizes(self):
        if self._request is not None:
            allowed = self._request.size * FRAMING_FACTOR + MAX_FRAMING_BYTES
            if self._raw_bytes > allowed:
                raise _Rejected(bad_request('request framing too large'))
        elif self._receiving and self._raw_bytes > self._server.max_head_bytes:
            raise _Rejected(_too_large('request headers too large', 431))

    def _reject(self, answer):
        """Close after answering the queued requests and then this one."""
        self._ignore_input = True
        self._receiving = False
        request, self._request = self._request, None
        if request is not None:
            self.release_memory(request)
        self._pipeline.add_rejection(answer)
        self._pipeline.serve()

    def release_memory(self, request):
        """Release the memory of a request that is not served."""
        if request.memory.pending:
            self._memory_waits -= 1
        self._server.request_memory.release(request.memory)

    def _drop_partial_request(self):
        request, self._request = self._request, None
        if request is not None:
            self.release_memory(request)

    def _pause_reading(self):
        if not self._reading_paused and not self._closed:
            self._reading_paused = True
            self._transport.pause_reading()

    def _resume_reading(self):
        if self._memory_waits and not self._ignore_input:
            return
        if self._reading_paused and not self._closed:
            self._reading_paused = False
            self._transport.resume_reading()

    # Answering

    def reply(self, request, answer):
        """Send the answer to a request that is being served."""
        self._pipeline.reply(request, answer)

    def reply_truncated(self, request, answer):
        """Send half of the answer's body, then close."""
        self._pipeline.reply_truncated(request, answer)

    def touch(self):
        """Note that data was transferred or a request was started."""
        self._last_activity = self._server.now

    def request_started(self):
        """Read on when few requests are left to be started."""
        self.touch()
        if self._pipeline.waiting == MAX_PIPELINED // 2:
            self._resume_reading()

    def close_gracefully(self):
        """Close, leaving the caller `LINGER_S` to read what was sent."""
        self._ignore_input = True
        self._drop_partial_request()
        self._pipeline.drop()
        self._linger_until = self._server.now + LINGER_S
        self._resume_reading()
        if self._transport.can_write_eof():
            self._transport.write_eof()
        else:
            self._transport.close()

    # Timeouts

    def sweep(self, now, timeouts):
        """Close the connection or reject its request after a timeout.

        Args:
            now: Monotonic time in seconds.
            timeouts: A `Timeouts`.
        """
        waited = now - self._last_activity
        if self._linger_until is not None:
            if now >= self._linger_until:
                self.abort()
        elif self._pipeline.sending:
            if waited > timeouts.write:
                self.abort()
        elif self._pipeline.serving:
            if self._server.heartbeat and waited > HEARTBEAT_S:
                self._last_activity = now
                self._transport.write(_PROCESSING)
        elif self._memory_waits:
            if waited > timeouts.memory:
                self._reject_for_memory()
            elif self._server.heartbeat:
                self._transport.write(_PROCESSING)
        elif self._request is not None:
            if waited > timeouts.body:
                self._reject(bad_request('request body came too slowly', 408))
        elif self._receiving:
            self._check_head_timeout(timeouts)
        elif waited > timeouts.idle:
            self.abort()

    def _check_head_timeout(self, timeouts):
        # Counted in sweeps, since any byte received resets _last_activity.
        self._head_sweeps += 1
        if self._head_sweeps * SWEEP_INTERVAL_S > timeouts.head:
            self._reject(bad_request('request headers came too slowly', 408))

    def _reject_for_memory(self):
        self._drop_partial_request()
        self._pipeline.drop_waiting()
        self._reject(
            refusal_answer(
                calls.Refusal(
                    errors.Outcome.DID_NOT_RUN,
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


def _parser_error_answer(error):
    cause = error.__context__
    if isinstance(cause, _Rejected):
        return cause.answer
    if isinstance(error, httptools.HttpParserCallbackError) and cause:
        raise cause
    return bad_request(str(error))


class Server:
    """Listening server that passes complete requests to a handler.

    Args:
        handler: A `callhandler.Handler`.
        clock: A `clock.Clock`.
        request_memory: `bodymemory.Budget` for request bodies.
        answer_memory: `bodymemory.Budget` that answers were reserved in.
        timeouts: A `Timeouts`; may be replaced while it runs.
        heartbeat: Whether waiting clients are sent 102 (Processing), which
            shows them that the connection still works.

    Attributes:
        clock: The clock passed to the constructor.
        max_head_bytes: Limit on a request line and headers together.
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
        self.draining = False
        # Updated by sweeps, so that requests need not read the clock.
        self.now = clock.monotonic()
        self.max_head_bytes = MAX_HEAD_BYTES
        self.timeouts = timeouts or Timeouts()
        self.clock = clock
        self._connections = set()
        self._server = None
        self._timer = None

    @property
    def connections(self):
        """Number of open connections."""
        return len(self._connections)

    @property
    def busy(self):
        """Whether any request is being received or answered."""
        return any(not item.idle for item in self._connections)

    async def start(self, bind, tls=None, listener=None):
        """Start listening.

        Args:
            bind: `ip:port`; port 0 for any.
            tls: `ssl.SSLContext` or None.
            listener: A socket that listens there already, or None.

        Returns:
            The bound `ip:port`.
        """
        self._server = await asyncio.get_running_loop().create_server(
            lambda: Connection(self),
            **connecting.listening_at(bind, listener),
            ssl=tls,
        )
        self._schedule_sweep()
        name = self._server.sockets[0].getsockname()
        return f'{name[0]}:{name[1]}'

    def is_unauthorized(self, transport):
        """Return whether a TLS client lacks a daemon's certificate."""
        ssl_object = transport.get_extra_info('ssl_object')
        if ssl_object is None:
            return False
        return not trust.is_daemon_certificate(ssl_object.getpeercert())

    def body_limit(self, request):
        """Return the limit on a request's body in bytes."""
        return min(self.handler.body_limit(request), self.request_memory.limit)

    def add_connection(self, connection):
        """Register a new connection."""
        self._connections.add(connection)

    def remove_connection(self, connection):
        """Remove a closed connection."""
        self._connections.discard(connection)

    def sweep(self):
        """Apply the timeouts to every connection."""
        self.now = self.clock.monotonic()
        for connection in tuple(self._connections):
            connection.sweep(self.now, self.timeouts)

    def drain(self, listening=False):
        """Close each connection after its next answer.

        Idle ones stay open: closing one could lose, unanswered, a request
        already sent. Requests received from now on have `during_drain` set.

        Args:
            listening: Whether new connections are still accepted.
        """
        self.draining = True
        if self._server is not None and not listening:
            self._server.close()

    def close_idle(self):
        """Close the connections that carry no request."""
        for connection in tuple(self._connections):
            if connection.idle:
                connection.close_gracefully()

    async def close(self):
        """Stop listening and abort all connections."""
        self.drain()
        if self._timer is not None:
            self._timer.cancel()
        for connection in tuple(self._connections):
            connection.abort()
        await asyncio.sleep(0)

    def _schedule_sweep(self):
        self._timer = asyncio.get_running_loop().call_later(
            SWEEP_INTERVAL_S, self._on_sweep_timer
        )

    def _on_sweep_timer(self):
        self.sweep()
        self._schedule_sweep()
