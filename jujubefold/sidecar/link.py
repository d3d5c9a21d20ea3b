"""Links: connections between daemons, and the offers sent over them.

A daemon keeps an outgoing link to each daemon that it may offer requests to.
When the connection is lost, it reconnects and resumes: the other daemon
reports for each offer whether it was received. The outcome of a request is
therefore unknown only if the other daemon itself is lost.
"""

import asyncio
import collections
import contextlib
import dataclasses

from jujubefold import backgroundtasks
from jujubefold import calls
from jujubefold import eagertask
from jujubefold import errors
from jujubefold.sidecar import frames
from jujubefold import tcpkeepalive

CONNECT_TIMEOUT_S = 1.0
# Seconds to re-establish a lost connection before its offers fail. A daemon
# that is still running can be reconnected to in one round trip.
RESUME_TIMEOUT_S = 1.2
# Seconds without received data after which a link with pending offers is
# probed, and seconds without an answer to the probe after which its connection
# is considered lost. A daemon that is merely busy answers between requests.
PROBE_AFTER_S = 0.5
PROBE_TIMEOUT_S = 0.7
MIN_RECONNECT_DELAY_S = 0.05
MAX_RECONNECT_DELAY_S = 1.0

_NOT_RECEIVED = calls.Refusal(
    errors.Outcome.DID_NOT_RUN,
    calls.Reason.PEER_LOST,
    detail='the other daemon did not receive the request',
)
_ANSWER_CUT = calls.Refusal(
    errors.Outcome.UNKNOWN,
    calls.Reason.PEER_LOST,
    detail='the other daemon does not hold the rest of the answer any more',
)
_PEER_LOST = calls.Refusal(
    errors.Outcome.UNKNOWN,
    calls.Reason.PEER_LOST,
    detail='the daemon that received the request was lost',
)


@dataclasses.dataclass(frozen=True, slots=True)
class OfferResult:
    """The result of an offer to another daemon.

    Args:
        message: `frames.Answered` or `frames.Refused`; None if neither was
            received.
        refusal: A `calls.Refusal` if `message` is None.
        sent: Whether the request may have been sent to an upstream.
    """

    message: object = None
    refusal: calls.Refusal | None = None
    sent: bool = False


@dataclasses.dataclass(slots=True, eq=False)
class Traffic:
    """Bytes sent over links, by kind of message.

    Args:
        near: To daemons of the own failure domain, and before they are known.
        far: To those of others.
    """

    near: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    far: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


class Connection(asyncio.Protocol):
    """A connection that carries frames; either end of a link.

    Args:
        on_message: Called with this connection and each message.
        on_lost: Called with this connection once it is closed.
        sent_bytes: Counter by kind of message to add what is sent to.

    Attributes:
        peer: VM and incarnation of the other daemon, or None; set by
            `peerserver`.
        domain: The other daemon's failure domain; set by `peerserver`.
        answer_parts: Whether the other daemon fetches large answers; set by
            `peerserver`.
        received_data: Whether data was received since it was last reset.
    """

    def __init__(self, on_message, on_lost, sent_bytes):
        self.sent_bytes = sent_bytes
        self._on_message = on_message
        self._on_lost = on_lost
        self._decoder = frames.FrameDecoder()
        self._transport = None
        self.peer = None
        self.domain = ''
        self.answer_parts = False
        self.received_data = False

    @property
    def vm(self):
        """Name of the other daemon's VM; '' while it is unknown."""
        return '' if self.peer is None else self.peer[0]

    @property
    def open(self):
        """Whether messages can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, message):
        """Send a message unless the connection is closed."""
        if self.open:
            frame = frames.encode(message)
            self.sent_bytes[message.__struct_config__.tag] += len(frame)
            self._transport.write(frame)

    def abort(self):
        """Close the connection and discard unsent data."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport):
        self._transport = transport
        tcpkeepalive.enable(transport)

    def data_received(self, data):
        self.received_data = True
        try:
            for message in self._decoder.feed(data):
                self._on_message(self, message)
        except ValueError:
            self.abort()

    def connection_lost(self, exc):
        self._transport = None
        self._on_lost(self)


@dataclasses.dataclass(slots=True, eq=False)
class _PendingOffer:
    waiter: eagertask.Waiter
    incarnation: int
    body: bytes


class OutgoingLink:
    """This daemon's link to another daemon, re-established when lost.

    Args:
        vm: VM of the other daemon.
        address: Address of its peer server, `ip:port`.
        clock: A `clock.Clock`.
        rng: A `random.Random`.
        make_hello: Called with the sequence numbers of offers to resume;
            returns a `frames.Hello`.
        on_message: Called with this link and each received message, except
            pongs and hellos from other VMs.
        on_state_changed: Called with this link when it comes up or goes down,
            and when it could not be opened.
        on_displaced: Called with this link when a daemon of another VM
            answers at the address.
        sent_bytes: As in `Connection`.
        answers: The `answertransfer.AnswerFetcher` of this daemon.
        sequences: Iterator of the numbers of offers, shared by all links of
            this daemon. The receiver knows an offer by its number for longer
            than a link may last.

    Attributes:
        vm: VM of the other daemon.
        address: Address of its peer server.
        incarnation: Incarnation of the other daemon; 0 before the first hello.
        peer_stopping: Whether the other daemon has announced that it stops.
        fetches_bodies: Whether the other daemon fetches large bodies.
    """

    def __init__(
        self,
        vm,
        address,
        clock,
        rng,
        make_hello,
        on_message,
        on_state_changed,
        on_displaced,
        sent_bytes,
        answers,
        sequences,
    ):
        self._sent_bytes = sent_bytes
        self._answers = answers
        self.vm = vm
        self.address = address
        self.incarnation = 0
        self.peer_stopping = False
        self.fetches_bodies = False
        self._clock = clock
        self._rng = rng
        self._make_hello = make_hello
        self._on_message = on_message
        self._on_state_changed = on_state_changed
        self._on_displaced = on_displaced
        self._connection = None
        self._pending = {}
        self._sequences = sequences
        self._received = []
        self._task = None
        self._reconnect = asyncio.Event()
        self._received_at = 0.0
        self._pinged_at = None
        self._down_at = None
        self._ready_connection = None

    @property
    def up(self):
        """Whether the connection is open and the hello was received."""
        connection = self._connection
        return connection is not None and connection is self._ready_connection

    @property
    def pending(self):
        """Number of offers without a result."""
        return len(self._pending)

    def start(self):
        """Connect, and reconnect whenever the connection is lost."""
        self._task = backgroundtasks.spawn(self._run())

    def close(self):
        """Close the link; pending offers fail."""
        if self._task is not None:
            self._task.cancel()
        if self._connection is not None:
            self._connection.abort()
        self._fail_offers(tuple(self._pending))

    def reconnect_now(self):
        """Skip the reconnect delay; the other daemon is known to be up."""
        self._reconnect.set()

    def next_sequence(self):
        """Return the sequence number for the next offer."""
        return next(self._sequences)

    def take_received(self):
        """Return the numbers of received results, to confirm them."""
        received, self._received = self._received, []
        return tuple(received)

    async def offer(self, offer, body=b''):
        """Send an offer and wait for its result.

        If the waiting task is cancelled, so is the offer.

        Args:
            offer: A `frames.Offer` with a sequence from `next_sequence` and
                the results from `take_received`.
            body: Body that the other daemon fetches, as bytes.

        Returns:
            An `OfferResult`.
        """
        if not self.up:
            return OfferResult(refusal=_NOT_RECEIVED)
        waiter = eagertask.Waiter()
        self._pending[offer.sequence] = _PendingOffer(
            waiter, self.incarnation, body
        )
        self._connection.send(offer)
        try:
            return await waiter
        finally:
            self._answers.stop(self, offer.sequence)
            if self._pending.pop(offer.sequence, None) is not None:
                self.send(frames.Cancel(offer.sequence))

    def send(self, message):
        """Send a message if there is a connection."""
        if self._connection is not None:
            self._connection.send(message)

    def sweep(self, now):
        """Probe an idle connection, and fail offers that can't be resumed.

        Args:
            now: Monotonic seconds.
        """
        connection = self._connection
        if connection is None:
            if (
                self._down_at is not None
                and now - self._down_at > RESUME_TIMEOUT_S
            ):
                self._fail_offers(tuple(self._pending))
            return
        if connection.received_data:
            connection.received_data = False
            self._received_at = now
            self._pinged_at = None
        elif self._pinged_at is not None:
            if now - self._pinged_at > PROBE_TIMEOUT_S:
                connection.abort()
        elif self._pending and now - self._received_at > PROBE_AFTER_S:
            self._pinged_at = now
            connection.send(frames.Ping())

    async def _run(self):
        host, _, port = self.address.rpartition(':')
        loop = asyncio.get_running_loop()
        delay = MIN_RECONNECT_DELAY_S
        while True:
            lost = loop.create_future()
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    _, connection = await loop.create_connection(
                        lambda lost=lost: Connection(
                            self._handle_message,
                            lambda _: _set_result(lost),
                            self._sent_bytes,
                        ),
                        host,
                        int(port),
                    )
            except ConnectionRefusedError:
                # The daemon's process has ended, and with it its offers.
                self._fail_offers(tuple(self._pending))
                delay = min(MAX_RECONNECT_DELAY_S, delay * 2)
                self._on_state_changed(self)
            except (OSError, TimeoutError):
                delay = min(MAX_RECONNECT_DELAY_S, delay * 2)
                self._on_state_changed(self)
            else:
                delay = MIN_RECONNECT_DELAY_S
                self._handle_connected(connection)
                try:
                    await lost
                finally:
                    self._handle_disconnected()
            await self._wait_to_reconnect(delay * self._rng.uniform(0.5, 1.0))

    async def _wait_to_reconnect(self, seconds):
        self._reconnect.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._reconnect.wait()

    def _handle_connected(self, connection):
        now = self._clock.monotonic()
        self._connection = connection
        self._received_at = now
        self._pinged_at = None
        # What the hello does not resume needs no confirmation.
        self._received.clear()
        connection.send(self._make_hello(tuple(self._pending)))

    def _handle_disconnected(self):
        self._connection = None
        self._down_at = self._clock.monotonic()
        self._answers.suspend(self)
        self._on_state_changed(self)

    def _handle_message(self, connection, message):
        match message:
            case frames.Hello():
                self._handle_hello(connection, message)
                if not self.up:
                    return
            case frames.Answered() if message.body_size:
                # Its load is of now, unlike when the body is complete.
                self._on_message(self, message.load)
                if message.sequence in self._pending:
                    self._answers.start(self, message)
                return
            case frames.AnswerPart():
                self._handle_part(message)
                return
            case frames.Answered() | frames.Refused():
                self._received.append(message.sequence)
                self._resolve(message.sequence, OfferResult(message))
            case frames.NotReceived() if self._answers.awaits(
                self, message.sequence
            ):
                # It ran, and was forgotten while its answer was fetched.
                self._resolve(
                    message.sequence,
                    OfferResult(refusal=_ANSWER_CUT, sent=True),
                )
            case frames.NotReceived():
                self._resolve(
                    message.sequence, OfferResult(refusal=_NOT_RECEIVED)
                )
            case frames.BodyRequest():
                self._send_part(connection, message)
                return
            case frames.Pong():
                return
            case frames.ShutdownNotice():
                self.peer_stopping = True
        self._on_message(self, message)

    def _handle_part(self, part):
        if not part.data:
            self._resolve(
                part.sequence, OfferResult(refusal=_ANSWER_CUT, sent=True)
            )
            return
        message = self._answers.add(self, part)
        if message is not None:
            self._resolve(part.sequence, OfferResult(message))
            # The other daemon need not hold the body any longer.
            self.send(frames.Cancel(part.sequence))

    def _send_part(self, connection, message):
        pending = self._pending.get(message.sequence)
        if pending is not None:
            end = message.offset + message.size
            connection.send(
                frames.BodyPart(
                    message.sequence,
                    message.offset,
                    pending.body[message.offset : end],
                )
            )

    def _handle_hello(self, connection, hello):
        if hello.member.vm != self.vm:
            # The address now belongs to another VM, which has its own link.
            self._on_displaced(self)
            return
        self._ready_connection = connection
        lost_sequences = [
            sequence
            for sequence, pending in self._pending.items()
            if pending.incarnation != hello.member.incarnation
        ]
        self.incarnation = hello.member.incarnation
        self.peer_stopping = False
        self.fetches_bodies = hello.transfers
        self._down_at = None
        self._fail_offers(lost_sequences)
        self._on_state_changed(self)

    def _resolve(self, sequence, result):
        pending = self._pending.pop(sequence, None)
        if pending is not None:
            pending.waiter.set_result(result)

    def _fail_offers(self, sequences):
        for sequence in sequences:
            self._resolve(sequence, OfferResult(refusal=_PEER_LOST, sent=True))


def _set_result(future):
    if not future.done():
        future.set_result(None)
