"""Peer server: accepts links from other daemons and runs their offers.

An offer survives the loss of its connection, so that its sender can reconnect
and still receive the result; `receivedoffers` decides what is known of it.
"""

import asyncio
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
from jujubefold.sidecar import receivedoffers
from jujubefold.sidecar import transfer

# Seconds for which an offer without a connection waits for its sender to
# reconnect; slightly longer than the sender tries to.
ORPHAN_TIMEOUT_S = link.RESUME_TIMEOUT_S + 0.3

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
_FORGOTTEN = attempts.Outcome(
    refusal=calls.Refusal(
        errors.Outcome.UNKNOWN,
        calls.Reason.PEER_LOST,
        detail='the other daemon does not hold the result any more',
    ),
    sent=True,
)


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
        self._offers = receivedoffers.OfferTable()
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
            entry.task is not None
            for _, entry in receivedoffers.items(self._offers)
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
                entry = receivedoffers.get(self._offers, key)
                if entry is not None and entry.task is not None:
                    entry.task.cancel()
        for key in receivedoffers.expired(self._offers, now):
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
        for key, entry in receivedoffers.items(self._offers):
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
                self._forget((*connection.peer, message.sequence))
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
        receivedoffers.greet(self._offers, connection.peer, hello.resume)
        for key in receivedoffers.unawaited(
            self._offers, connection.peer, hello.resume
        ):
            self._forget(key)
        for sequence in hello.resume:
            self._resume(connection, sequence)

    def _forget(self, key):
        """Forget an offer whose result is not needed; cancel it if it runs."""
        entry = receivedoffers.remove(self._offers, key)
        if entry is None:
            return
        self._orphaned_at.pop(key, None)
        self._answers.release(key)
        transfer.stop(self._transfers, key)
        if entry.task is not None:
            entry.task.cancel()

    def _resume(self, connection, sequence):
        """Report what is known of an offer to a sender that reconnected."""
        key = (*connection.peer, sequence)
        self._orphaned_at.pop(key, None)
        entry = receivedoffers.find(self._offers, key)
        if isinstance(entry, receivedoffers.Missing):
            self._log_resumed(key, entry)
            self._report_missing(connection, key, entry)
            return
        state = 'running' if entry.result is None else 'ended'
        self._log_resumed(key, state, entry.request)
        entry.connection = connection
        if entry.result is not None:
            connection.send(entry.result)
        else:
            transfer.resume(self._transfers, key)
            self._request_parts()

    def _report_missing(self, connection, key, missing):
        sequence = key[-1]
        if missing is receivedoffers.Missing.FORGOTTEN:
            connection.send(result_message(sequence, _FORGOTTEN, self._egress))
            return
        # Added, so that it is not run if it arrives after all.
        entry = receivedoffers.ReceivedOffer(
            connection,
            result=frames.NotReceived(sequence),
            finished_at=self._clock.monotonic(),
        )
        receivedoffers.add(self._offers, key, entry)
        connection.send(entry.result)

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

    def _send_answer_part(self, connection, request):
        key = (*connection.peer, request.sequence)
        entry = receivedoffers.get(self._offers, key)
        if entry is not None:
            # Held for as long as it is being fetched.
            entry.finished_at = self._clock.monotonic()
        connection.send(self._answers.part(key, request))

    def _handle_offer(self, connection, offer):
        for sequence in offer.received:
            self._forget((*connection.peer, sequence))
        key = (*connection.peer, offer.sequence)
        now = self._clock.monotonic()
        deadline = now + offer.remaining_ms / _MS
        entry = receivedoffers.ReceivedOffer(
            connection, offer.request, deadline
        )
        if not receivedoffers.add(self._offers, key, entry):
            # It is running, has ended, or was reported as not received.
            return
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
            deadline=deadline,
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
        entry = receivedoffers.get(self._offers, key)
        if not entry.connection.open:
            transfer.suspend(self._transfers, key)
        self._request_parts()

    def _handle_part(self, key, message):
        size = len(message.data)
        now = self._clock.monotonic()
        if transfer.record_part(
            self._transfers, key, message.offset, size, now
        ):
            self._request_parts()
            entry = receivedoffers.get(self._offers, key)
            entry.body.add(message.data)

    def _request_parts(self):
        self._egress.fetch_backlog = transfer.backlog_seconds(self._transfers)
        now = self._clock.monotonic()
        for part in transfer.next_parts(self._transfers, now):
            entry = receivedoffers.get(self._offers, part.key)
            entry.connection.send(
                frames.BodyRequest(part.key[-1], part.offset, part.size)
            )

    def _finish(self, key, entry, task):
        sequence = key[-1]
        entry.task = None
        entry.body = None
        if receivedoffers.get(self._offers, key) is not entry:
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
