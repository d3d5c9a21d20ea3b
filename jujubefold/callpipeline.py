"""Call pipeline: serves a connection's requests and answers them in order."""

import collections
import dataclasses

from jujubefold import backgroundtasks
from jujubefold import callexchange
from jujubefold import httpheads

# Requests of one connection that are served at the same time.
MAX_OVERLAPPING = 8
# Bytes of answers that wait for an earlier one; no further request is
# started above this.
MAX_HELD_BYTES = 256 * 1024
SINGLE_WRITE_BYTES = 64 * 1024


@dataclasses.dataclass(slots=True, eq=False)
class _Entry:
    """A request and its answer.

    Args:
        request: The `callserver.Request`; None if it was rejected while it
            was parsed.
        answer: The `callserver.Answer`; None until it is known.
        exchange: The `callexchange.Exchange` while the request is served.
        overlaps: Whether it may be served beside others; None if unknown.
    """

    request: object = None
    answer: object = None
    exchange: callexchange.Exchange | None = None
    overlaps: bool | None = None


class Pipeline:
    """The requests of one connection that were received completely.

    Requests are started in order. One that may overlap, as the server's
    handler decides, is started while earlier ones are served if these may
    overlap too. An answer that closes the connection ends the requests
    behind it, which their sender takes for unread.

    Args:
        connection: The `callserver.Connection`.
        server: Its `callserver.Server`.
    """

    def __init__(self, connection, server):
        self._connection = connection
        self._server = server
        self._transport = None
        self._waiting = collections.deque()
        self._started = collections.deque()
        self._held_bytes = 0
        self._unsent = collections.deque()
        self._sending = None
        self._starting = False
        self._writing_paused = False
        self._closed = False

    @property
    def waiting(self):
        """Number of requests that have not been started."""
        return len(self._waiting)

    @property
    def serving(self):
        """Whether a request is being served."""
        return bool(self._started)

    @property
    def sending(self):
        """Whether an answer could not be written completely yet."""
        return self._sending is not None or self._writing_paused

    @property
    def idle(self):
        """Whether there is no request and no answer."""
        return not (self._waiting or self._started or self._sending)

    def open(self, transport):
        """Set the transport that answers are written to."""
        self._transport = transport

    def add_request(self, request):
        """Add a complete `callserver.Request`; `serve` starts it."""
        self._waiting.append(_Entry(request))

    def add_rejection(self, answer):
        """Add the `callserver.Answer` to a request that was rejected."""
        self._waiting.append(_Entry(answer=answer))

    def serve(self):
        """Start the requests that may be served now."""
        if self._starting:
            return
        self._starting = True
        while self._may_start():
            entry = self._waiting.popleft()
            self._started.append(entry)
            self._connection.request_started()
            if entry.request is not None:
                entry.exchange = callexchange.Exchange(
                    self._connection, entry.request
                )
                self._server.handler.handle(entry.exchange)
            self._send_answers()
        self._starting = False

    def reply(self, request, answer):
        """Send the answer to a request once those before it are sent."""
        self._server.request_memory.release(request.memory)
        entry = self._entry_of(request)
        entry.answer = answer
        entry.exchange = None
        self._held_bytes += answer.size
        self._send_answers()
        self.serve()

    def reply_truncated(self, request, answer):
        """Send half of the answer's body, then close."""
        self._started.remove(self._entry_of(request))
        body = b''.join(answer.chunks)
        head = httpheads.encode_head(answer, 'GET', True)
        self._transport.write(head + body[: len(body) // 2])
        self._connection.close_gracefully()

    def pause_writing(self):
        """Keep large answers back until `resume_writing` is called."""
        self._writing_paused = True

    def resume_writing(self):
        """Continue to send answers and to serve requests."""
        self._writing_paused = False
        self._flush()
        self.serve()

    def drop(self):
        """End all requests; nothing more is sent."""
        self._closed = True
        self._unsent.clear()
        sending, self._sending = self._sending, None
        if sending is not None:
            self._server.answer_memory.release(sending[0].memory)
        self.drop_waiting()
        while self._started:
            entry = self._started.popleft()
            if entry.answer is not None:
                self._server.answer_memory.release(entry.answer.memory)
            if entry.exchange is not None:
                self._server.request_memory.release(entry.request.memory)
                entry.exchange.sender_disconnected()

    def drop_waiting(self):
        """Forget the requests that were not started."""
        while self._waiting:
            entry = self._waiting.popleft()
            if entry.request is not None:
                self._connection.release_memory(entry.request)

    def _entry_of(self, request):
        return next(
            entry for entry in self._started if entry.request is request
        )

    def _may_start(self):
        if not self._waiting or self._closed or self.sending:
            return False
        entry = self._waiting[0]
        if entry.request is not None and entry.request.memory.pending:
            return False
        if not self._started:
            return True
        return (
            len(self._started) < MAX_OVERLAPPING
            and self._held_bytes <= MAX_HELD_BYTES
            and self._may_overlap(entry)
            and all(self._may_overlap(item) for item in self._started)
        )

    def _may_overlap(self, entry):
        if entry.overlaps is None:
            entry.overlaps = (
                entry.request is not None
                and self._server.handler.may_overlap(entry.request)
            )
        return entry.overlaps

    def _send_answers(self):
        """Send the answers that no earlier request holds back."""
        while self._started and self._sending is None and not self._closed:
            if self._started[0].answer is None:
                return
            entry = self._started.popleft()
            self._held_bytes -= entry.answer.size
            try:
                self._send(entry.request, entry.answer)
            except Exception as error:
                # The next answer would be taken for the one that is missing.
                backgroundtasks.report_exception(error, 'sending an answer')
                self._server.answer_memory.release(entry.answer.memory)
                self.drop()
                self._connection.abort()

    def _send(self, request, answer):
        keep_alive = request is not None and request.keep_alive
        keep_alive = keep_alive and not answer.close
        if self._server.draining:
            # Requests that were received with this one are answered first.
            keep_alive = keep_alive and bool(self._started or self._waiting)
        method = 'GET' if request is None else request.method
        self._connection.touch()
        head = httpheads.encode_head(answer, method, keep_alive)
        chunks = () if httpheads.has_no_body(answer, method) else answer.chunks
        if answer.size <= SINGLE_WRITE_BYTES or not chunks:
            self._server.answer_memory.release(answer.memory)
            self._transport.write(b''.join((head, *chunks)))
            self._finish_answer(keep_alive)
            return
        self._unsent.append(head)
        self._unsent.extend(chunks)
        self._sending = (answer, keep_alive)
        self._flush()

    def _flush(self):
        while self._unsent and not self._writing_paused and not self._closed:
            self._transport.write(self._unsent.popleft())
        if self._unsent or self._sending is None or self._closed:
            return
        answer, keep_alive = self._sending
        self._sending = None
        self._server.answer_memory.release(answer.memory)
        self._finish_answer(keep_alive)
        self._send_answers()

    def _finish_answer(self, keep_alive):
        if not keep_alive:
            self._connection.close_gracefully()
