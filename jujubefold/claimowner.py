"""Claims through slot owners, each fenced by an epoch in the table.

A daemon that writes its own claims costs the store transactions of its
own. In a large fleet a fixed number of owners batch the claims of all
daemons instead. Keys are assigned to slots by hash. The owner of a slot
adds a check of its epoch to each transaction, so that an owner which was
replaced while it was paused can't write any more. The protocol of a claim
is that of `claimstore`.
"""

import asyncio
import collections
import dataclasses
import enum
import functools
import itertools

import expression

from jujubefold import claimoutcome
from jujubefold import claimrow
from jujubefold import claimstore
from jujubefold import errors
from jujubefold import messages
from jujubefold import storelimit
from jujubefold import table

TABLE = 'claim-owners'
EPOCH_FIELD = 'epoch'
# Released claim ids that an owner keeps, so that a `Claim` message which
# arrives after its release does not claim the key again.
MAX_RELEASED_IDS = 100_000
_HASH_DIGITS = 8
_HASH_VALUES = 16**_HASH_DIGITS


class State(enum.StrEnum):
    """State in a `messages.ClaimAnswer`: a claim's outcome or end."""

    CLAIMED = 'claimed'
    ANSWERED = 'answered'
    RUNNING = 'running'
    IN_DOUBT = 'in-doubt'
    REUSED = 'reused'
    UNAVAILABLE = 'unavailable'
    NOT_OWNER = 'not-owner'
    ENDED = 'ended'


@dataclasses.dataclass(frozen=True, slots=True)
class Ownership:
    """Stored row of a slot's owner.

    Args:
        epoch: Fencing epoch, raised by each take-over; 0 when the slot
            never had an owner.
        owner: `vm/incarnation` of the owner.
        address: Peer address of the owner.
    """

    epoch: int = 0
    owner: str = ''
    address: str = ''


def slot_of(key, slots):
    """Return the slot that a claim row belongs to, 0 to `slots - 1`.

    Args:
        key: `table.Key` from `claimrow.key_of`.
        slots: Number of slots in the fleet.
    """
    return int(key.row[:_HASH_DIGITS], 16) * slots // _HASH_VALUES


async def read_ownership(rows, slot):
    """Read the row of a slot's owner.

    Args:
        rows: A `table.Table`.
        slot: Slot number.

    Returns:
        `Ok(Ownership)` or `Error(errors.StoreNotRun)`.
    """
    result = await rows.read([_slot_key(slot)])
    return result.map(lambda found: _ownership(found[0]))


class ClaimOwner:
    """Owner of one slot, from its take-over until it is fenced.

    An instance takes over at most once; a daemon that owns the slot again
    uses a new one.

    Args:
        rows: A `table.Table`.
        blobs: An `objectstore.ObjectStore` for large answers.
        clock: A `clock.Clock`.
        rng: A `random.Random` for the jitter of retries.
        settings: A `claimoutcome.ClaimSettings`.
        ownership: An `Ownership` with this daemon's owner and address;
            its epoch is not used.
        slot: Slot number.
        is_holder_gone: Takes a `vm/incarnation` and returns whether it is
            known to have ended.
    """

    def __init__(
        self,
        rows,
        blobs,
        clock,
        rng,
        settings,
        ownership,
        slot,
        is_holder_gone,
    ):
        self._rows = rows
        self._ownership = ownership
        self._slot = slot
        self._rng = rng
        self._has_taken_over = False
        self._released_ids = collections.OrderedDict()
        self._store = claimstore.ClaimStore(
            rows,
            blobs,
            clock,
            rng,
            # Concurrent transactions that check the same row conflict.
            dataclasses.replace(settings, in_flight=1),
            is_holder_gone,
            self._epoch_check,
        )

    @property
    def is_owner(self):
        """Whether this daemon took over and has not been fenced."""
        return self._has_taken_over and not self._store.fenced

    async def take_over(self, current):
        """Become the owner, unless the owner has changed since `current`.

        Args:
            current: The `Ownership` as read from the table; replaced.

        Returns:
            `Ok(Ownership)` of this daemon, or `Error` of a store failure.
        """
        ownership = dataclasses.replace(
            self._ownership, epoch=current.epoch + 1
        )
        condition = table.Absent()
        if current.epoch:
            condition = table.Equals(EPOCH_FIELD, current.epoch)
        write = table.Put(
            _slot_key(self._slot), dataclasses.asdict(ownership), condition
        )
        token = f'{ownership.owner} owns {self._slot} at {ownership.epoch}'
        result = await self._rows.transact([write], token)
        if result.is_error() and not await self._is_recorded(ownership):
            return result
        self._ownership = ownership
        self._has_taken_over = True
        return expression.Ok(ownership)

    async def claim(self, message, timeout):
        """Claim a key and return the `messages.ClaimAnswer`.

        Args:
            message: A `messages.Claim`.
            timeout: Seconds to wait for the store.
        """
        if not self.is_owner:
            return _not_owner(message)
        if message.claim in self._released_ids:
            return _unavailable(message, 'the claim was released before')
        attempt = self._store.attempt(_request(message), message.claim)
        try:
            async with asyncio.timeout(timeout):
                outcome = await self._store.acquire(
                    attempt, self._released_ids
                )
        except TimeoutError:
            # The claim is not freed here: only its holder knows that it
            # will not run.
            return _unavailable(message, 'the store did not answer in time')
        if not self.is_owner:
            return _not_owner(message)
        return answer_of(outcome, message.sequence)

    async def end(self, message, timeout):
        """Record the end of a claim and return the `messages.ClaimAnswer`.

        Args:
            message: A `messages.ClaimEnd`.
            timeout: Seconds to wait for the store.
        """
        if not self.is_owner:
            return _not_owner(message)
        try:
            async with asyncio.timeout(timeout):
                await self._record_end(message)
        except TimeoutError:
            return _unavailable(message, 'the store did not answer in time')
        if not self.is_owner:
            return _not_owner(message)
        return messages.ClaimAnswer(message.sequence, State.ENDED)

    async def _record_end(self, message):
        match message.state:
            case claimrow.State.RELEASED:
                await self._release(message)
            case claimrow.State.ANSWERED:
                claimed = _claimed(message)
                await self._store.record_answer(claimed, message.answer)
            case _:
                await self._store.mark_in_doubt(_claimed(message))

    async def _release(self, message):
        self._remember_release(message.claim)
        attempt = self._store.attempt(_request(message), message.claim)
        for retries in itertools.count():
            if await self._store.resolve([attempt]) or not self.is_owner:
                return
            await asyncio.sleep(storelimit.backoff(self._rng, retries))

    def _remember_release(self, id):
        self._released_ids[id] = None
        while len(self._released_ids) > MAX_RELEASED_IDS:
            self._released_ids.popitem(last=False)

    async def _is_recorded(self, ownership):
        result = await read_ownership(self._rows, self._slot)
        return result.is_ok() and result.ok == ownership

    def _epoch_check(self):
        return table.Check(
            _slot_key(self._slot),
            table.Equals(EPOCH_FIELD, self._ownership.epoch),
        )


class OwnedClaims:
    """Claims keys for one daemon through the owners of their slots.

    Args:
        send: Sends a `messages.Claim` or `messages.ClaimEnd` to the owner
            of a slot: `await send(slot, message, timeout)` returns the
            `messages.ClaimAnswer`, or None when none came in time.
        clock: A `clock.Clock`.
        rng: A `random.Random` for the jitter of retries.
        slots: Number of slots in the fleet.
        settings: A `claimoutcome.ClaimSettings`, or None for the defaults.
    """

    def __init__(self, send, clock, rng, slots, settings=None):
        self._send = send
        self._clock = clock
        self._rng = rng
        self._slots = slots
        self._settings = settings or claimoutcome.ClaimSettings()
        self._numbers = itertools.count(1)
        self._end_tasks = set()

    async def claim(self, request, timeout):
        """Claim a key before its request runs, as `claims.Claims.claim`."""
        number = next(self._numbers)
        id = f'{request.holder}#{number}'
        start_by = self._clock.monotonic() + self._settings.start_window
        message = messages.Claim(
            number,
            request.scope,
            request.key,
            request.fingerprint,
            request.holder,
            id,
        )
        try:
            async with asyncio.timeout(timeout):
                answer = await self._send_until_answered(message, timeout)
            outcome = outcome_of(answer, request, id, start_by)
        except TimeoutError:
            outcome = claimoutcome.Unavailable(
                'no slot owner answered in time'
            )
        except asyncio.CancelledError:
            self._send_release(request, id)
            raise
        if isinstance(outcome, claimoutcome.Unavailable):
            self._send_release(request, id)
        return outcome

    async def record_answer(self, claimed, answer, timeout):
        """Record the answer, as `claims.Claims.record_answer`."""
        return await self._end_claim(
            claimed, claimrow.State.ANSWERED, timeout, answer
        )

    async def release(self, claimed, timeout):
        """Free the key, as `claims.Claims.release`."""
        return await self._end_claim(claimed, claimrow.State.RELEASED, timeout)

    async def mark_in_doubt(self, claimed, timeout):
        """Record the claim as in doubt; see `claims.Claims.mark_in_doubt`."""
        return await self._end_claim(claimed, claimrow.State.IN_DOUBT, timeout)

    def _send_release(self, request, id):
        claimed = claimoutcome.Claimed(request, id, 0, 0.0)
        self._send_end(claimed, claimrow.State.RELEASED)

    async def _end_claim(self, claimed, state, timeout, answer=b''):
        task = self._send_end(claimed, state, answer)
        done, _ = await asyncio.wait({task}, timeout=timeout)
        if done and not task.cancelled():
            return expression.Ok(None)
        return expression.Error(
            errors.StoreOutcomeUnknown(
                'the slot owner did not confirm the end in time'
            )
        )

    def _send_end(self, claimed, state, answer=b''):
        request = claimed.request
        message = messages.ClaimEnd(
            next(self._numbers),
            request.scope,
            request.key,
            request.fingerprint,
            request.holder,
            claimed.id,
            claimed.since_ms,
            state,
            answer,
        )
        window = self._settings.start_window
        task = asyncio.ensure_future(
            self._send_until_answered(message, window)
        )
        self._end_tasks.add(task)
        task.add_done_callback(self._end_tasks.discard)
        return task

    async def _send_until_answered(self, message, timeout):
        """Send to the slot's owner until one answers with an outcome."""
        key = claimrow.key_of(message.scope, message.key)
        slot = slot_of(key, self._slots)
        for retries in itertools.count():
            answer = await self._send(slot, message, timeout)
            if answer is not None and answer.state not in (
                State.NOT_OWNER,
                State.UNAVAILABLE,
            ):
                return answer
            await asyncio.sleep(storelimit.backoff(self._rng, retries))


@functools.singledispatch
def answer_of(outcome, sequence):
    """Return the `messages.ClaimAnswer` that carries an outcome.

    Args:
        outcome: A `claimoutcome.ClaimOutcome`.
        sequence: Sequence number of the message that is answered.

    Raises:
        TypeError: `outcome` is not a `claimoutcome.ClaimOutcome`.
    """
    raise TypeError(f'not a claim outcome: {type(outcome).__name__}')


@answer_of.register
def _(outcome: claimoutcome.Claimed, sequence):
    return messages.ClaimAnswer(
        sequence, State.CLAIMED, since_ms=outcome.since_ms
    )


@answer_of.register
def _(outcome: claimoutcome.Answered, sequence):
    return messages.ClaimAnswer(
        sequence, State.ANSWERED, answer=outcome.answer
    )


@answer_of.register
def _(outcome: claimoutcome.Running, sequence):
    since_ms = int(outcome.since * claimstore.MS_PER_S)
    return messages.ClaimAnswer(
        sequence, State.RUNNING, outcome.holder, since_ms=since_ms
    )


@answer_of.register
def _(outcome: claimoutcome.InDoubt, sequence):
    return messages.ClaimAnswer(sequence, State.IN_DOUBT, outcome.holder)


@answer_of.register
def _(outcome: claimoutcome.Reused, sequence):
    return messages.ClaimAnswer(sequence, State.REUSED)


@answer_of.register
def _(outcome: claimoutcome.Unavailable, sequence):
    return messages.ClaimAnswer(
        sequence, State.UNAVAILABLE, reason=outcome.reason
    )


def outcome_of(answer, request, id, start_by):
    """Return the `claimoutcome.ClaimOutcome` that an answer carries.

    Args:
        answer: A `messages.ClaimAnswer`. A state that this version does
            not know gives `claimoutcome.Unavailable`.
        request: The `claimoutcome.ClaimRequest` that was claimed.
        id: Id of the claim.
        start_by: As in `claimoutcome.Claimed`.
    """
    since = answer.since_ms / claimstore.MS_PER_S
    match answer.state:
        case State.CLAIMED:
            return claimoutcome.Claimed(request, id, answer.since_ms, start_by)
        case State.ANSWERED:
            return claimoutcome.Answered(answer.answer)
        case State.RUNNING:
            return claimoutcome.Running(answer.holder, since)
        case State.IN_DOUBT:
            return claimoutcome.InDoubt(answer.holder)
        case State.REUSED:
            return claimoutcome.Reused()
    return claimoutcome.Unavailable(f'slot owner answered {answer.state}')


def _slot_key(slot):
    return table.Key(TABLE, f'{slot:04}')


def _ownership(row):
    if row is None:
        return Ownership()
    return Ownership(
        row.values.get(EPOCH_FIELD, 0),
        row.values.get('owner', ''),
        row.values.get('address', ''),
    )


def _request(message):
    return claimoutcome.ClaimRequest(
        message.scope, message.key, message.fingerprint, message.holder
    )


def _claimed(message):
    return claimoutcome.Claimed(
        _request(message), message.claim, message.since_ms, 0.0
    )


def _not_owner(message):
    return messages.ClaimAnswer(message.sequence, State.NOT_OWNER)


def _unavailable(message, reason):
    return messages.ClaimAnswer(
        message.sequence, State.UNAVAILABLE, reason=reason
    )
