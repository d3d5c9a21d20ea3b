"""Links: one connection between two daemons, and the offers on it.

A daemon keeps a link to every daemon that it may offer requests to. If the
connection is lost, the daemon connects again and resumes: the other end says
of each offer whether it ever arrived, so that only the loss of the other
daemon itself leaves a request's outcome in doubt.
"""

import asyncio
import contextlib
import dataclasses

from jujubefold import backgroundtasks
from jujubefold import calls
from jujubefold import eagertask
from jujubefold import errors
from jujubefold.sidecar import frames
from jujubefold import tcpkeepalive

CONNECT_TIMEOUT_S = 1.0
# Seconds in which a lost connection may be replaced before its offers are
# given up; a daemon that lives is back in one round trip.
RESUME_S = 1.2
# Seconds without a byte after which a link with offers is probed, and after
# which a probed link is taken for lost. A gate that is only busy answers
# probes between two requests.
SILENT_S = 0.5
UNANSWERED_S = 0.7
MIN_PAUSE_S = 0.05
MAX_PAUSE_S = 1.0
SWEEP_S = 0.2

_UNSEEN = calls.Refusal(
    errors.Ran.DID_NOT_RUN,
    calls.Reason.PEER_LOST,
    detail='the other daemon never got the request',
)
_LOST = calls.Refusal(
    errors.Ran.UNKNOWN,
    calls.Reason.PEER_LOST,
    detail='the daemon that had the request was lost',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """How an offer ended at another daemon.

    Args:
        message: `frames.Answered` or `frames.Refused`, or None.
        refusal: A `calls.Refusal` when no message came.
        sent: Whether an upstream may have been sent the request.
    """

    message: object = None
    refusal: calls.Refusal | None = None
    sent: bool = False


class Connection(asyncio.Protocol):
    """One end of a link.

    Args:
        received: Called with this connection and each message.
        lost: Called with this connection once it has ended.
    """

    def __init__(self, received, lost):
        self._received = received
        self._lost = lost
        self._reader = frames.Reader()
        self._transport = None
        self.peer = None
        self.domain = ''
        self.heard = False

    @property
    def open(self):
        """Whether messages can be sent."""
        return self._transport is not None and not self._transport.is_closing()

    def send(self, message):
        """Send a message, unless the connection has ended."""
        if self.open:
            self._transport.write(frames.encode(message))

    def abort(self):
        """Close at once."""
        if self._transport is not None:
            self._transport.abort()

    def connection_made(self, transport):
        self._transport = transport
        tcpkeepalive.enable(transport)

    def data_received(self, data):
        self.heard = True
        try:
            for message in self._reader.feed(data):
                self._received(self, message)
        except ValueError:
            self.abort()

    def connection_lost(self, exc):
        self._transport = None
        self._lost(self)


@dataclasses.dataclass(slots=True, eq=False)
class _Pending:
    waiter: eagertask.Waiter
    incarnation: int


class Outgoing:
    """This daemon's link to another one.

    Args:
        vm: The other's VM.
        address: Where the other's gate listens, `ip:port`.
        clock: A `clock.Clock`.
        rng: A `random.Random`.
        hello: Called with sequences to resume, returns `frames.Hello`.
        heard: Called with this link and each message that ends no offer.
        changed: Called with this link when it comes up or goes down.
        displaced: Called with this link when another VM answers there.
    """

    def __init__(
        self, vm, address, clock, rng, hello, heard, changed, displaced
    ):
        self.vm = vm
        self.address = address
        self.incarnation = 0
        self.leaving = False
        self._clock = clock
        self._rng = rng
        self._hello = hello
        self._heard = heard
        self._changed = changed
        self._displaced = displaced
        self._connection = None
        self._pending = {}
        self._sequence = 0
        self._task = None
        self._retry = asyncio.Event()
        self._heard_at = 0.0
        self._pinged_at = None
        self._down_at = None
        self._greeted_on = None

    @property
    def up(self):
        """Whether offers can be sent now."""
        connection = self._connection
        return connection is not None and connection is self._greeted_on

    @property
    def pending(self):
        """How many offers wait for their end."""
        return len(self._pending)

    def start(self):
        """Connect, and stay connected until `close`."""
        self._task = backgroundtasks.spawn(self._run())

    def close(self):
        """End the link."""
        if self._task is not None:
            self._task.cancel()
        if self._connection is not None:
            self._connection.abort()
        self._give_up(tuple(self._pending))

    def hurry(self):
        """Try to connect now: the other daemon is known to live."""
        self._retry.set()

    def next_sequence(self):
        """Return the sequence of the next offer."""
        self._sequence += 1
        return self._sequence

    async def offer(self, offer):
        """Send an offer and wait for its end.

        Args:
            offer: A `frames.Offer` with a fresh sequence.

        Returns:
            An `Ended`. A cancelled wait cancels the offer.
        """
        if not self.up:
            return Ended(refusal=_UNSEEN)
        waiter = eagertask.Waiter()
        self._pending[offer.sequence] = _Pending(waiter, self.incarnation)
        self._connection.send(offer)
        try:
            return await waiter
        finally:
            if self._pending.pop(offer.sequence, None) is not None:
                self.send(frames.Cancel(offer.sequence))

    def send(self, message):
        """Send a message if the link is up."""
        if self._connection is not None:
            self._connection.send(message)

    def sweep(self, now):
        """Probe a silent link, and give up what can't be resumed.

        Args:
            now: Monotonic seconds.
        """
        connection = self._connection
        if connection is None:
            if self._down_at is not None and now - self._down_at > RESUME_S:
                self._give_up(tuple(self._pending))
            return
        if connection.heard:
            connection.heard = False
            self._heard_at = now
            self._pinged_at = None
        elif self._pinged_at is not None:
            if now - self._pinged_at > UNANSWERED_S:
                connection.abort()
        elif self._pending and now - self._heard_at > SILENT_S:
            self._pinged_at = now
            connection.send(frames.Ping())

    async def _run(self):
        host, _, port = self.address.rpartition(':')
        loop = asyncio.get_running_loop()
        pause = MIN_PAUSE_S
        while True:
            lost = loop.create_future()
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_S):
                    _, connection = await loop.create_connection(
                        lambda lost=lost: Connection(
                            self._received, lambda _: _set(lost)
                        ),
                        host,
                        int(port),
                    )
            except ConnectionRefusedError:
                # Its process has ended, and what it ran can't be resumed.
                self._give_up(tuple(self._pending))
                pause = min(MAX_PAUSE_S, pause * 2)
            except (OSError, TimeoutError):
                pause = min(MAX_PAUSE_S, pause * 2)
            else:
                pause = MIN_PAUSE_S
                self._opened(connection)
                try:
                    await lost
                finally:
                    self._closed()
            await self._pause(pause * self._rng.uniform(0.5, 1.0))

    async def _pause(self, seconds):
        self._retry.clear()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self._retry.wait()

    def _opened(self, connection):
        now = self._clock.monotonic()
        self._connection = connection
        self._heard_at = now
        self._pinged_at = None
        connection.send(self._hello(tuple(self._pending)))

    def _closed(self):
        self._connection = None
        self._down_at = self._clock.monotonic()
        self._changed(self)

    def _received(self, connection, message):
        match message:
            case frames.Hello():
                self._greeted(connection, message)
                if not self.up:
                    return
            case frames.Answered() | frames.Refused():
                self._end(message.sequence, Ended(message))
            case frames.Unseen():
                self._end(message.sequence, Ended(refusal=_UNSEEN))
            case frames.Pong():
                return
            case frames.Goodbye():
                self.leaving = True
        self._heard(self, message)

    def _greeted(self, connection, hello):
        if hello.member.vm != self.vm:
            # Another VM has the address now; it has a link of its own.
            self._displaced(self)
            return
        self._greeted_on = connection
        others = [
            sequence
            for sequence, pending in self._pending.items()
            if pending.incarnation != hello.member.incarnation
        ]
        self.incarnation = hello.member.incarnation
        self.leaving = False
        self._down_at = None
        self._give_up(others)
        self._changed(self)

    def _end(self, sequence, ended):
        pending = self._pending.pop(sequence, None)
        if pending is not None:
            pending.waiter.set_result(ended)

    def _give_up(self, sequences):
        for sequence in sequences:
            self._end(sequence, Ended(refusal=_LOST, sent=True))


def _set(future):
    if not future.done():
        future.set_result(None)
