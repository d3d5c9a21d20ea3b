"""Peer server: accepts links from other daemons and runs their offers.

An offer survives the loss of its connection for a short time, so that its
sender can reconnect and still receive the result.
"""

import asyncio
import dataclasses
import functools

from jujubefold import backgroundtasks
from jujubefold import calls
from jujubefold import connecting
from jujubefold import eagertask
from jujubefold import errors
from jujubefold.sidecar import answertransfer
from jujubefold.sidecar import attempt as attempts
from jujubefold.sidecar import frames
from jujubefold.sidecar import link
from jujubefold.sidecar import transfer

# Seconds for which an offer without a connection waits for its sender to
# reconnect; slightly longer than the sender tries to.
ORPHAN_TIMEOUT_S = link.RESUME_TIMEOUT_S + 0.3
# Seconds for which a result is kept, in case its frame was lost.
RESULT_RETENTION_S = 2.0

_MS = 1000
# A sender whose body found no memory may retry soon: most are fetched within
# tens of milliseconds.
_NO_MEMORY = calls.Refusal(
    errors.Outcome.DID_NOT_RUN,
    calls.Reason.QUEUE_FULL,
    retry_after=0.2,
    detail='no memory to buffer the request body',
)
_STOPPING = calls.Refusal(
    errors.Outcome.DID_NOT_RUN,
    calls.Reason.DRAINING,
    detail='the daemon is stopping',
)


@dataclasses.dataclass(slots=True, eq=False)
class _ReceivedOffer:
    """An offer received from another daemon.

    Args:
        connection: Connection over which the result is sent.
        request: The caller's request id; empty if it was not received.
        task: The running request; None when it has ended.
        result: Message that was sent as the result; None while it runs.
        finished_at: Monotonic seconds at which it ended.
        body: The request's `transfer.Body`, while it runs.
    """

    connection: link.Connection
    request: str = ''
    task: eagertask.EagerTask | None = None
    result: object = None
    finished_at: float = 0.0
    body: transfer.Body | None = None


class PeerServer:
    """Server for the links of other daemons.

    Args:
        egress: The `egress.Egress` that runs offered requests.
        clock: A `clock.Clock`.
        make_hello: Returns this daemon's `frames.Hello`.
        on_message: Called with a connection and each message that is not an
            offer, a cancellation or a ping.
        transfers: The `transfer.TransferTable` of this daemon's link.
        traffic: The `link.Traffic` of this daemon.
        domain: Failure domain of this daemon.
        event_log: An `eventlog.EventLog`.

    Attributes:
        closing: Whether new offers are refused because the daemon is
            stopping.
        divides_answers: Called without arguments; returns whether large
            answers are sent in parts.
    """

    def __init__(
        self,
        egress,
        clock,
        make_hello,
        on_message,
        transfers,
        traffic,
        domain,
        event_log,
    ):
        self._egress = egress
        self._clock = clock
        self._make_hello = make_hello
        self._on_message = on_message
        self._server = None
        self._connections = set()
        self._offers = {}
        self._orphaned_at = {}
        self._transfers = transfers
        self._answers = answertransfer.HeldAnswers()
        self._traffic = traffic
        self._domain = domain
        self._event_log = event_log
        self._stopping = False
        self.closing = False
        self.divides_answers = lambda: True

    @property
    def busy(self):
        """Whether an offer is running or queued, or an answer is fetched."""
        return bool(self._answers) or any(
            entry.task is not None for entry in self._offers.values()
        )

    async def start(self, bind, listener=None):
        """Start listening.

        Args:
            bind: `ip:port`; port 0 for any.
            listener: A socket that listens there already, or None.

        Returns:
            The bound `ip:port`.
        """
        self._server = await asyncio.get_running_loop().create_server(
            self._accept, **connecting.listening_at(bind, listener)
        )
        name = self._server.sockets[0].getsockname()
        return f'{name[0]}:{name[1]}'

    def broadcast(self, message, domain=None):
        """Send a message to all daemons that have a link to this one.

        Args:
            message: A `frames.Message`.
            domain: If given, only daemons of this failure domain get it.
        """
        for connection in tuple(self._connections):
            if connection.peer is None:
                continue
            if domain is None or connection.domain == domain:
                connection.send(message)

    def announce_shutdown(self):
        """Send a shutdown notice on all connections, also on later ones."""
        self._stopping = True
        self.broadcast(frames.ShutdownNotice())

    def close(self):
        """Stop listening and close all connections."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._connections):
            connection.abort()

    def sweep(self, now):
        """Cancel offers whose sender is gone, and drop expired results.

        Args:
            now: Monotonic seconds.
        """
        transfer.suspend_stalled(self._transfers, now)
        self._request_parts()
        for key, orphaned_at in tuple(self._orphaned_at.items()):
            if now - orphaned_at > ORPHAN_TIMEOUT_S:
                del self._orphaned_at[key]
                entry = self._offers.get(key)
                if entry is not None and entry.task is not None:
                    entry.task.cancel()
        expired = [
            key
            for key, entry in self._offers.items()
            if entry.result is not None
            and now - entry.finished_at > RESULT_RETENTION_S
        ]
        for key in expired:
            self._forget(key)

    def _accept(self):
        connection = link.Connection(
            self._handle_message, self._handle_disconnect, self._traffic.near
        )
        self._connections.add(connection)
        return connection

    def _handle_disconnect(self, connection):
        self._connections.discard(connection)
        now = self._clock.monotonic()
        for key, entry in self._offers.items():
            if entry.connection is connection and entry.task is not None:
                self._orphaned_at[key] = now
                transfer.suspend(self._transfers, key)
        self._request_parts()

    def _handle_message(self, connection, message):
        match message:
            case frames.Hello():
                self._handle_hello(connection, message)
            case frames.Offer():
                if connection.peer is None:
                    connection.abort()
                    return
                self._handle_offer(connection, message)
                return
            case frames.BodyPart() if connection.peer is not None:
                self._handle_part(
                    (*connection.peer, message.sequence), message
                )
                return
            case frames.Cancel() if connection.peer is not None:
                self._cancel((*connection.peer, message.sequence))
                return
            case frames.AnswerRequest() if connection.peer is not None:
                self._send_answer_part(connection, message)
                return
            case frames.Ping():
                connection.send(frames.Pong())
                return
        self._on_message(connection, message)

    def _handle_hello(self, connection, hello):
        member = hello.member
        connection.peer = (member.vm, member.incarnation)
        connection.domain = member.failure_domain
        connection.answer_parts = hello.answer_parts
        if connection.domain != self._domain:
            connection.sent_bytes = self._traffic.far
        # Offers still unread in an older connection are about to be reported
        # as not received, so that connection must not deliver them any more.
        for other in tuple(self._connections):
            if other is not connection and other.peer == connection.peer:
                other.peer = None
                other.abort()
        connection.send(self._make_hello())
        if self._stopping:
            connection.send(frames.ShutdownNotice())
        self._forget_all_but(connection.peer, hello.resume)
        for sequence in hello.resume:
            self._resume(connection, sequence)

    def _forget_all_but(self, peer, awaited):
        """Forget the offers of a daemon that it no longer awaits.

        Args:
            peer: VM and incarnation of the daemon.
            awaited: Sequence numbers of the offers that it awaits.
        """
        for key in tuple(self._offers):
            if key[:-1] == peer and key[-1] not in awaited:
                self._forget(key)

    def _forget(self, key):
        entry = self._offers.pop(key)
        self._orphaned_at.pop(key, None)
        self._answers.release(key)
        transfer.stop(self._transfers, key)
        if entry.task is not None:
            entry.task.cancel()

    def _resume(self, connection, sequence):
        key = (*connection.peer, sequence)
        self._orphaned_at.pop(key, None)
        entry = self._offers.get(key)
        if entry is None:
            result = frames.NotReceived(sequence)
            self._offers[key] = _ReceivedOffer(
                connection, result=result, finished_at=self._clock.monotonic()
            )
            connection.send(result)
            self._log_resumed(key, 'not-received')
            return
        state = 'running' if entry.result is None else 'ended'
        self._log_resumed(key, state, entry.request)
        entry.connection = connection
        if entry.result is not None:
            connection.send(entry.result)
        else:
            transfer.resume(self._transfers, key)
            self._request_parts()

    def _log_resumed(self, key, state, request=''):
        vm, incarnation, sequence = key
        self._event_log.record_request(
            'offer.resumed',
            peer=vm,
            start=incarnation,
            sequence=sequence,
            state=state,
            request=request,
        )

    def _cancel(self, key):
        entry = self._offers.get(key)
        if entry is not None and entry.task is not None:
            entry.task.cancel()
        self._answers.release(key)

    def _send_answer_part(self, connection, request):
        key = (*connection.peer, request.sequence)
        entry = self._offers.get(key)
        if entry is not None:
            # Held for as long as it is being fetched.
            entry.finished_at = self._clock.monotonic()
        connection.send(self._answers.part(key, request))

    def _handle_offer(self, connection, offer):
        key = (*connection.peer, offer.sequence)
        if key in self._offers:
            # It is running, has ended, or was reported as not received.
            return
        now = self._clock.monotonic()
        entry = self._offers[key] = _ReceivedOffer(connection, offer.request)
        if self.closing:
            # The process would exit before the request has ended.
            self._refuse(entry, offer, _STOPPING)
            return
        if not transfer.has_memory(self._transfers, offer.body_size):
            self._refuse(entry, offer, _NO_MEMORY)
            return
        if offer.body_size:
            entry.body = transfer.RemoteBody(
                offer.body_size,
                functools.partial(self._fetch, key, offer.body_size),
                functools.partial(
                    transfer.backlog_seconds, self._transfers, offer.body_size
                ),
            )
        else:
            entry.body = transfer.WholeBody(offer.body)
        attempt = attempts.Attempt(
            key=key,
            request=offer.request,
            route=offer.route,
            version=offer.version,
            rank=offer.rank,
            idempotent=offer.idempotent,
            arrived_at=now - offer.elapsed_ms / _MS,
            objective_at=now + offer.until_objective_ms / _MS,
            deadline=now + offer.remaining_ms / _MS,
            method=offer.method,
            target=offer.target,
            headers=offer.headers,
            body=entry.body,
            may_queue=offer.may_queue,
            call=offer.call,
        )
        entry.task = eagertask.EagerTask(
            self._egress.run(attempt),
            functools.partial(self._finish, key, entry),
        )
        entry.task.start()

    def _refuse(self, entry, offer, refusal):
        outcome = attempts.Outcome(refusal=refusal)
        entry.result = result_message(offer.sequence, outcome, self._egress)
        entry.finished_at = self._clock.monotonic()
        entry.connection.send(entry.result)

    # Bodies

    def _fetch(self, key, size):
        transfer.start(self._transfers, key, size)
        if not self._offers[key].connection.open:
            transfer.suspend(self._transfers, key)
        self._request_parts()

    def _handle_part(self, key, message):
        size = len(message.data)
        now = self._clock.monotonic()
        if transfer.record_part(
            self._transfers, key, message.offset, size, now
        ):
            self._request_parts()
            self._offers[key].body.add(message.data)

    def _request_parts(self):
        self._egress.fetch_backlog = transfer.backlog_seconds(self._transfers)
        now = self._clock.monotonic()
        for part in transfer.next_parts(self._transfers, now):
            self._offers[part.key].connection.send(
                frames.BodyRequest(part.key[-1], part.offset, part.size)
            )

    def _finish(self, key, entry, task):
        sequence = key[-1]
        entry.task = None
        entry.body = None
        if self._offers.get(key) is not entry:
            return
        transfer.stop(self._transfers, key)
        self._request_parts()
        entry.finished_at = self._clock.monotonic()
        if task.error is None:
            outcome = task.result
        else:
            if not isinstance(task.error, asyncio.CancelledError):
                backgroundtasks.report_exception(task.error)
            outcome = attempts.Outcome(
                refusal=calls.Refusal(
                    errors.Outcome.UNKNOWN, calls.Reason.CANCELLED
                ),
                sent=True,
            )
        entry.result = result_message(sequence, outcome, self._egress)
        if entry.connection.answer_parts and self.divides_answers():
            entry.result = self._answers.hold(key, entry.result)
        entry.connection.send(entry.result)


def result_message(sequence, outcome, egress):
    """Return the message that reports an offer's outcome to its sender.

    Args:
        sequence: Identifies the offer.
        outcome: The `attempt.Outcome`.
        egress: The `egress.Egress`, whose load is sent along.
    """
    load = load_message(egress)
    if outcome.answer is not None:
        answer = outcome.answer
        return frames.Answered(
            sequence,
            answer.status,
            round(outcome.upstream_time * _MS),
            answer.headers,
            b''.join(answer.chunks),
            load,
        )
    refusal = outcome.refusal
    return frames.Refused(
        sequence,
        refusal.ran,
        refusal.reason.value,
        round(refusal.retry_after * _MS),
        refusal.detail,
        outcome.sent,
        load,
    )


def load_message(egress):
    """Return the load of an `egress.Egress` as a `frames.Load`."""
    load = egress.load()
    return frames.Load(
        load.running,
        load.waiting,
        load.slots,
        round(load.mean_duration * _MS),
        round(load.failure_rate * 100),
        round(load.fetch_backlog * _MS),
        load.track,
        load.waiting_calls,
    )
