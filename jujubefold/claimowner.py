"""Claims through a few owners, each fenced by an epoch in the table.

Every daemon that claims by itself costs the store transactions of its own.
In a large fleet a bounded number of owners batch for all instead: keys are
spread over slots by hash, and a slot's owner puts a check of its epoch into
each transaction, so that an owner which was replaced while it was paused
writes nothing more. What a claim proves is as in `claimstore`.
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
# Ids of released claims that an owner remembers, so that a claim message
# which arrives behind its release does not claim again.
MAX_REMEMBERED = 100_000
_HASH_DIGITS = 8
_HASH_VALUES = 16**_HASH_DIGITS


class State(enum.StrEnum):
    """States in a `messages.ClaimAnswer`."""

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
    """Who owns a slot.

    Args:
        epoch: Raised by each owner that takes over; 0 for none ever.
        owner: Its `vm/incarnation`.
        address: Its peer address.
    """

    epoch: int = 0
    owner: str = ''
    address: str = ''


def slot_of(key, slots):
    """Return the slot of a row, from 0 to `slots - 1`.

    Args:
        key: `table.Key` from `claimrow.key_of`.
        slots: How many slots the fleet has.
    """
    return int(key.row[:_HASH_DIGITS], 16) * slots // _HASH_VALUES


async def read_ownership(rows, slot):
    """Read who owns a slot.

    Returns:
        `Ok(Ownership)` or `Error(errors.StoreNotRun)`.
    """
    result = await rows.read([_slot_key(slot)])
    return result.map(lambda found: _ownership(found[0]))


class ClaimOwner:
    """Owns one slot of keys from its take-over until it is fenced.

    To own the slot again, make another.

    Args:
        rows: A `table.Table`.
        blobs: An `objects.Objects` for large answers.
        clock: A `clock.Clock`.
        rng: A `random.Random` that spreads retries.
        settings: A `claimoutcome.ClaimSettings`.
        me: An `Ownership` with this daemon's owner and address.
        slot: Slot number.
        is_holder_gone: Whether a `vm/incarnation` is known to have ended.
    """

    def __init__(
        self, rows, blobs, clock, rng, settings, me, slot, is_holder_gone
    ):
        self._rows = rows
        self._me = me
        self._slot = slot
        self._rng = rng
        self._took_over = False
        self._released = collections.OrderedDict()
        self._store = claimstore.ClaimStore(
            rows,
            blobs,
            clock,
            rng,
            # Transactions that check one row at once would conflict.
            dataclasses.replace(settings, in_flight=1),
            is_holder_gone,
            self._guard,
        )

    @property
    def is_owner(self):
        """Whether this daemon took over and was not seen replaced."""
        return self._took_over and not self._store.fenced

    async def take_over(self, current):
        """Become the owner of the slot in place of another.

        Args:
            current: The `Ownership` that was read and is to be replaced.

        Returns:
            `Ok(Ownership)` of this daemon, or `Error` of a store failure.
        """
        mine = dataclasses.replace(self._me, epoch=current.epoch + 1)
        condition = table.Absent()
        if current.epoch:
            condition = table.Equals(EPOCH_FIELD, current.epoch)
        write = table.Put(
            _slot_key(self._slot), dataclasses.asdict(mine), condition
        )
        token = f'{mine.owner} owns {self._slot} at {mine.epoch}'
        result = await self._rows.transact([write], token)
        if result.is_error() and not await self._stands(mine):
            return result
        self._me = mine
        self._took_over = True
        return expression.Ok(mine)

    async def claim(self, message, timeout):
        """Return the `messages.ClaimAnswer` to a `messages.Claim`.

        Args:
            timeout: Seconds to wait for the store.
        """
        if not self.is_owner:
            return _not_owner(message)
        if message.claim in self._released:
            return _unavailable(message, 'released before')
        attempt = self._store.attempt(_request(message), message.claim)
        try:
            async with asyncio.timeout(timeout):
                outcome = await self._store.acquire(attempt, self._released)
        except TimeoutError:
            # Only the holder may say that this claim will not run.
            return _unavailable(message, 'the store gave no answer in time')
        if not self.is_owner:
            return _not_owner(message)
        return answer_of(outcome, message.sequence)

    async def end(self, message, timeout):
        """Return the `messages.ClaimAnswer` to a `messages.ClaimEnd`.

        Args:
            timeout: Seconds to wait for the store.
        """
        if not self.is_owner:
            return _not_owner(message)
        try:
            async with asyncio.timeout(timeout):
                await self._end(message)
        except TimeoutError:
            return _unavailable(message, 'the store gave no answer in time')
        if not self.is_owner:
            return _not_owner(message)
        return messages.ClaimAnswer(message.sequence, State.ENDED)

    async def _end(self, message):
        match message.state:
            case claimrow.State.RELEASED:
                await self._free(message)
            case claimrow.State.ANSWERED:
                claimed = _claimed(message)
                await self._store.settle(claimed, message.answer)
            case _:
                await self._store.doubt(_claimed(message))

    async def _free(self, message):
        self._remember(message.claim)
        attempt = self._store.attempt(_request(message), message.claim)
        for tries in itertools.count():
            if await self._store.resolve([attempt]) or not self.is_owner:
                return
            await asyncio.sleep(storelimit.backoff(self._rng, tries))

    def _remember(self, id):
        self._released[id] = None
        while len(self._released) > MAX_REMEMBERED:
            self._released.popitem(last=False)

    async def _stands(self, mine):
        result = await read_ownership(self._rows, self._slot)
        return result.is_ok() and result.ok == mine

    def _guard(self):
        return table.Check(
            _slot_key(self._slot), table.Equals(EPOCH_FIELD, self._me.epoch)
        )


class OwnedClaims:
    """Claims keys for one daemon through the owners of their slots.

    Args:
        ask: Sends `messages.Claim` or `messages.ClaimEnd` to the owner of
            a slot: `await ask(slot, message, timeout)` returns the
            `messages.ClaimAnswer`, or None when none came in time.
        clock: A `clock.Clock`.
        rng: A `random.Random` that spreads retries.
        slots: How many slots the fleet has.
        settings: A `claimoutcome.ClaimSettings`, or None for the defaults.
    """

    def __init__(self, ask, clock, rng, slots, settings=None):
        self._ask = ask
        self._clock = clock
        self._rng = rng
        self._slots = slots
        self._settings = settings or claimoutcome.ClaimSettings()
        self._numbers = itertools.count(1)
        self._ending = set()

    async def claim(self, request, timeout):
        """Claim a key before its request runs; as `claims.Claims.claim`."""
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
                answer = await self._insist(message, timeout)
            outcome = outcome_of(answer, request, id, start_by)
        except TimeoutError:
            outcome = claimoutcome.Unavailable('no owner answered in time')
        except asyncio.CancelledError:
            self._free(request, id)
            raise
        if isinstance(outcome, claimoutcome.Unavailable):
            self._free(request, id)
        return outcome

    async def settle(self, claimed, answer, timeout):
        """Record the first answer; as `claims.Claims.settle`."""
        return await self._end(
            claimed, claimrow.State.ANSWERED, timeout, answer
        )

    async def release(self, claimed, timeout):
        """Free the key; as `claims.Claims.release`."""
        return await self._end(claimed, claimrow.State.RELEASED, timeout)

    async def doubt(self, claimed, timeout):
        """Record the doubt; as `claims.Claims.doubt`."""
        return await self._end(claimed, claimrow.State.DOUBT, timeout)

    def _free(self, request, id):
        claimed = claimoutcome.Claimed(request, id, 0, 0.0)
        self._send_end(claimed, claimrow.State.RELEASED)

    async def _end(self, claimed, state, timeout, answer=b''):
        task = self._send_end(claimed, state, answer)
        done, _ = await asyncio.wait({task}, timeout=timeout)
        if done and not task.cancelled():
            return expression.Ok(None)
        return expression.Error(
            errors.StoreOutcomeUnknown('the owner did not confirm it in time')
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
        task = asyncio.ensure_future(self._insist(message, window))
        self._ending.add(task)
        task.add_done_callback(self._ending.discard)
        return task

    async def _insist(self, message, timeout):
        """Resend until an owner of the slot knows the answer."""
        key = claimrow.key_of(message.scope, message.key)
        slot = slot_of(key, self._slots)
        for tries in itertools.count():
            answer = await self._ask(slot, message, timeout)
            if answer is not None and answer.state not in (
                State.NOT_OWNER,
                State.UNAVAILABLE,
            ):
                return answer
            await asyncio.sleep(storelimit.backoff(self._rng, tries))


@functools.singledispatch
def answer_of(outcome, sequence):
    """Return the `messages.ClaimAnswer` that carries an outcome.

    Args:
        outcome: A `claimoutcome.ClaimOutcome`.
        sequence: Sequence of the message that it answers.

    Raises:
        TypeError: It is no outcome.
    """
    raise TypeError(f'no claim outcome: {type(outcome).__name__}')


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
        answer: A `messages.ClaimAnswer`, not trusted.
        request: The `claimoutcome.ClaimRequest` that was claimed.
        id: Id that the claim was given.
        start_by: Monotonic seconds for `claimoutcome.Claimed`.
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
    return claimoutcome.Unavailable(f'owner answered {answer.state}')


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
