"""Gate port: takes other daemons' offers over their links.

An offer outlives the connection it came over for a moment, so that its
sender can connect again and still get the answer.
"""

import asyncio
import dataclasses
import functools

from jujubefold import backgroundtasks
from jujubefold import calls
from jujubefold import eagertask
from jujubefold import errors
from jujubefold.sidecar import attempt as attempts
from jujubefold.sidecar import frames
from jujubefold.sidecar import link

# Seconds for which an offer waits for its sender to come back; a little
# longer than the sender tries.
ORPHAN_S = link.RESUME_S + 0.3
# Seconds for which an end is kept, should its frame have been lost.
KEPT_S = 2.0

_MS = 1000
_CLOSING = calls.Refusal(
    errors.Ran.DID_NOT_RUN,
    calls.Reason.DRAINING,
    detail='the daemon ends',
)


@dataclasses.dataclass(slots=True, eq=False)
class _Held:
    """One offer here, running or ended."""

    connection: link.Connection
    task: eagertask.EagerTask | None = None
    end: object = None
    ended_at: float = 0.0


class PeerServer:
    """Listens for links of other daemons.

    Args:
        egress: The `egress.Egress`.
        clock: A `clock.Clock`.
        hello: Returns this daemon's `frames.Hello`.
        heard: Called with a connection and each message not handled here.

    Attributes:
        closing: Whether offers are refused, because the daemon ends.
    """

    def __init__(self, egress, clock, hello, heard):
        self._egress = egress
        self._clock = clock
        self._hello = hello
        self._heard = heard
        self._server = None
        self._connections = set()
        self._held = {}
        self._orphans = {}
        self._leaving = False
        self.closing = False

    @property
    def busy(self):
        """Whether any offer runs or waits."""
        return any(held.task is not None for held in self._held.values())

    async def start(self, bind):
        """Listen at `ip:port`; return the bound address."""
        host, _, port = bind.rpartition(':')
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._accept, host, int(port), backlog=1024
        )
        name = self._server.sockets[0].getsockname()
        return f'{name[0]}:{name[1]}'

    def broadcast(self, message, domain=None):
        """Send a message to the daemons that are linked to this one.

        Args:
            message: Any of `frames`.
            domain: Only to daemons of this failure domain.
        """
        for connection in tuple(self._connections):
            if connection.peer is None:
                continue
            if domain is None or connection.domain == domain:
                connection.send(message)

    def announce_shutdown(self):
        """Ask all daemons, also those still to come, to offer no more."""
        self._leaving = True
        self.broadcast(frames.Goodbye())

    def close(self):
        """Stop listening and end all links."""
        if self._server is not None:
            self._server.close()
        for connection in tuple(self._connections):
            connection.abort()

    def sweep(self, now):
        """Cancel offers whose sender is gone, and drop old ends.

        Args:
            now: Monotonic seconds.
        """
        for key, at in tuple(self._orphans.items()):
            if now - at > ORPHAN_S:
                del self._orphans[key]
                held = self._held.get(key)
                if held is not None and held.task is not None:
                    held.task.cancel()
        old = [
            key
            for key, held in self._held.items()
            if held.end is not None and now - held.ended_at > KEPT_S
        ]
        for key in old:
            del self._held[key]

    def _accept(self):
        connection = link.Connection(self._received, self._lost)
        self._connections.add(connection)
        return connection

    def _lost(self, connection):
        self._connections.discard(connection)
        now = self._clock.monotonic()
        for key, held in self._held.items():
            if held.connection is connection and held.task is not None:
                self._orphans[key] = now

    def _received(self, connection, message):
        match message:
            case frames.Hello():
                self._greet(connection, message)
            case frames.Offer():
                if connection.peer is None:
                    connection.abort()
                    return
                self._take(connection, message)
                return
            case frames.Cancel() if connection.peer is not None:
                self._cancel((*connection.peer, message.sequence))
                return
            case frames.Ping():
                connection.send(frames.Pong())
                return
        self._heard(connection, message)

    def _greet(self, connection, hello):
        member = hello.member
        connection.peer = (member.vm, member.incarnation)
        connection.domain = member.failure_domain
        # Offers that lie unread in an older connection are about to be said
        # never to have come, so they must not come now.
        for other in tuple(self._connections):
            if other is not connection and other.peer == connection.peer:
                other.peer = None
                other.abort()
        connection.send(self._hello())
        if self._leaving:
            connection.send(frames.Goodbye())
        for sequence in hello.resume:
            self._resume(connection, sequence)

    def _resume(self, connection, sequence):
        key = (*connection.peer, sequence)
        self._orphans.pop(key, None)
        held = self._held.get(key)
        if held is None:
            end = frames.Unseen(sequence)
            self._held[key] = _Held(
                connection, end=end, ended_at=self._clock.monotonic()
            )
            connection.send(end)
            return
        held.connection = connection
        if held.end is not None:
            connection.send(held.end)

    def _cancel(self, key):
        held = self._held.get(key)
        if held is not None and held.task is not None:
            held.task.cancel()

    def _take(self, connection, offer):
        key = (*connection.peer, offer.sequence)
        if key in self._held:
            # Running, ended, or said never to have come.
            return
        now = self._clock.monotonic()
        held = self._held[key] = _Held(connection)
        if self.closing:
            # What starts now would be cut by the end of the process.
            outcome = attempts.Outcome(refusal=_CLOSING)
            held.end = end_of(offer.sequence, outcome, self._egress)
            held.ended_at = now
            connection.send(held.end)
            return
        attempt = attempts.Attempt(
            key=key,
            request=offer.request,
            route=offer.route,
            version=offer.version,
            rank=offer.rank,
            idempotent=offer.idempotent,
            arrived_at=now - offer.waited_ms / _MS,
            objective_at=now + offer.objective_ms / _MS,
            deadline=now + offer.left_ms / _MS,
            method=offer.method,
            target=offer.target,
            headers=offer.headers,
            body=offer.body,
            may_queue=offer.waits,
        )
        held.task = eagertask.EagerTask(
            self._egress.run(attempt),
            functools.partial(self._ended, offer.sequence, held),
        )
        held.task.start()

    def _ended(self, sequence, held, task):
        held.task = None
        held.ended_at = self._clock.monotonic()
        if task.error is None:
            outcome = task.result
        else:
            if not isinstance(task.error, asyncio.CancelledError):
                backgroundtasks.report_exception(task.error)
            outcome = attempts.Outcome(
                refusal=calls.Refusal(
                    errors.Ran.UNKNOWN, calls.Reason.CANCELLED
                ),
                sent=True,
            )
        held.end = end_of(sequence, outcome, self._egress)
        held.connection.send(held.end)


def end_of(sequence, outcome, egress):
    """Return the message that tells a sender how its offer ended."""
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
    """Return an egress's load as a message."""
    found = egress.load()
    return frames.Load(
        found.running,
        found.waiting,
        found.slots,
        round(found.mean_duration * _MS),
        round(found.failure_rate * 100),
    )
