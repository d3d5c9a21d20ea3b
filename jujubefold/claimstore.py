"""The claim protocol: what is written to the table, and what that proves."""

import asyncio
import dataclasses
import itertools

import expression

from jujubefold import claimbatch
from jujubefold import claimoutcome
from jujubefold import claimrow
from jujubefold import errors
from jujubefold import storelimit
from jujubefold import table

MS_PER_S = 1000
SWEEP_PAGE_ROWS = 100


@dataclasses.dataclass(eq=False, slots=True)
class Attempt:
    """One try to claim a key.

    Args:
        id: Id of the claim; never used for another.
        started: Monotonic seconds before any write that may have landed.
        since_ms: The same in wall milliseconds.
        replaces: Id of the row it replaces, '' for none.
        in_doubt: Whether a write of it may have landed or may yet land.
        earlier: What was seen of earlier sendings of the key.
    """

    request: claimoutcome.ClaimRequest
    key: table.Key
    id: str
    started: float
    since_ms: int
    replaces: str = ''
    in_doubt: bool = False
    earlier: errors.Outcome = errors.Outcome.UNKNOWN


class ClaimStore:
    """Claims, ends and sweeps rows of keys; remembers none of them.

    Args:
        rows: A `table.Table`.
        blobs: An `objects.Objects` for large answers.
        clock: A `clock.Clock`.
        rng: A `random.Random` that spreads retries.
        settings: A `claimoutcome.ClaimSettings`.
        is_holder_gone: Whether a `vm/incarnation` is known to have ended.
        guard: Returns a `table.Check` for each transaction, or None.
    """

    def __init__(
        self, rows, blobs, clock, rng, settings, is_holder_gone, guard=None
    ):
        self._rows = rows
        self._blobs = blobs
        self._clock = clock
        self._rng = rng
        self._settings = settings
        self._is_holder_gone = is_holder_gone
        self._batcher = claimbatch.Batcher(
            rows, settings.in_flight, settings.max_batch, guard
        )
        self._reader = claimbatch.ReadBatcher(rows, settings.batch_window)
        self._numbers = itertools.count(1)
        self._cursor = f'{rng.getrandbits(256):064x}'

    @property
    def fenced(self):
        """Whether a transaction's guard failed; nothing is written since."""
        return self._batcher.fenced

    def attempt(self, request, id=''):
        """Return a new `Attempt`.

        Args:
            request: A `claimoutcome.ClaimRequest`.
            id: Its id when it has one already, else ''.
        """
        return Attempt(
            request,
            claimrow.key_of(request.scope, request.key),
            id or self._new_id(request.holder),
            self._clock.monotonic(),
            self._wall_ms(),
        )

    async def acquire(self, attempt, never_ran):
        """Try until the key's state is known.

        Args:
            attempt: An `Attempt`; its `in_doubt` is kept right even when
                this is cancelled.
            never_ran: Container of ids of claims that provably did not run.

        Returns:
            A `claimoutcome.ClaimOutcome`.
        """
        for tries in itertools.count():
            result = await self._try(attempt)
            if result.is_ok():
                return self._acknowledged(attempt)
            match result.error:
                case claimbatch.Fenced(reason=reason):
                    return claimoutcome.Unavailable(reason)
                case errors.StoreNotRun():
                    outcome = None
                case _:
                    outcome = await self._look(attempt, never_ran)
            if outcome is not None:
                return outcome
            if not attempt.replaces or tries:
                await asyncio.sleep(storelimit.backoff(self._rng, tries))

    async def settle(self, claimed, answer):
        """Record the answer of a claim, however long the store takes.

        Returns:
            `Ok(None)`, or `Error` when the claim no longer stands.
        """
        state = claimrow.State.ANSWERED
        if len(answer) <= self._settings.inline_answer_bytes:
            return await self._end(self._row(claimed, state, answer))
        # The id makes the blob this row's own, to be swept with it.
        blob = _blob_prefix(claimed.id) + answer
        stored = await self._insist(lambda: self._blobs.put(blob))
        return await self._end(self._row(claimed, state, blob=stored.ok))

    async def doubt(self, claimed):
        """Record that nobody will learn whether a claim ran.

        Returns:
            As `settle`.
        """
        return await self._end(self._row(claimed, claimrow.State.DOUBT))

    async def release(self, attempt):
        """Free the key of a claim that stands and provably did not run.

        Returns:
            `Ok(None)`, or `Error` of a store failure.
        """
        return await self._release(attempt, attempt.id)

    async def resolve(self, attempts):
        """Make sure that claims which will not run do not stand.

        Args:
            attempts: Sequence of `Attempt`, `table.MAX_WRITES` at most.

        Returns:
            The set of their ids for which that is now certain.
        """
        found = await self._rows.read([attempt.key for attempt in attempts])
        if found.is_error():
            return set()
        results = await asyncio.gather(*map(self._resolve, attempts, found.ok))
        return {
            attempt.id
            for attempt, is_certain in zip(attempts, results)
            if is_certain
        }

    async def sweep(self):
        """Remove expired rows of the next page of the table.

        Returns:
            `Ok(int)`, the rows removed, or `Error(errors.StoreNotRun)`.
        """
        page = await self._rows.scan(
            claimrow.TABLE, self._cursor, SWEEP_PAGE_ROWS
        )
        if page.is_error():
            return page
        full = len(page.ok) == SWEEP_PAGE_ROWS
        self._cursor = page.ok[-1].key.row if full else ''
        margin_ms = int(self._settings.clock_margin * MS_PER_S)
        before_ms = self._wall_ms() - margin_ms
        expired = (
            row
            for row in map(claimrow.from_row, page.ok)
            if row.expires_ms < before_ms
        )
        removed = await asyncio.gather(*map(self._remove, expired))
        return expression.Ok(sum(removed))

    async def _try(self, attempt):
        before = attempt.in_doubt
        if not before:
            # No row of this attempt can stand, so its time starts here.
            attempt.started = self._clock.monotonic()
            attempt.since_ms = self._wall_ms()
        pending = self._batcher.submit(
            table.Put(
                attempt.key,
                claimrow.values_of(self._claimed_row(attempt)),
                claimrow.replaces(attempt.replaces),
            ),
            f'{attempt.id} replaces {attempt.replaces}',
            self._settings.batch_window,
        )
        attempt.in_doubt = True
        try:
            result = await pending.future
        except asyncio.CancelledError:
            if self._batcher.withdraw(pending):
                attempt.in_doubt = before
            raise
        if result.is_error():
            is_unknown = isinstance(result.error, errors.StoreOutcomeUnknown)
            attempt.in_doubt = before or is_unknown
        return result

    async def _look(self, attempt, never_ran):
        """Read the row; return an outcome, or None to try again."""
        result = await self._reader.read(attempt.key)
        if result.is_error():
            return None
        if result.ok is None:
            attempt.replaces = ''
            return None
        row = claimrow.from_row(result.ok)
        if row.id == attempt.id and row.state is claimrow.State.CLAIMED:
            return self._acknowledged(attempt)
        if row.id != attempt.replaces:
            # No write of this attempt can land behind another id.
            attempt.in_doubt = False
        if row.state is claimrow.State.RELEASED or row.id in never_ran:
            attempt.replaces = row.id
            return None
        return await self._told(row, attempt)

    async def _told(self, row, attempt):
        if row.fingerprint != attempt.request.fingerprint:
            return claimoutcome.Reused()
        match row.state:
            case claimrow.State.ANSWERED:
                attempt.earlier = errors.Outcome.RAN
                return await self._recorded(row)
            case claimrow.State.CLAIMED:
                if not self._is_holder_gone(row.holder):
                    since = row.since_ms / MS_PER_S
                    return claimoutcome.Running(row.holder, since)
        return claimoutcome.InDoubt(row.holder)

    async def _recorded(self, row):
        if not row.blob:
            return claimoutcome.Answered(row.answer)
        result = await self._blobs.get(row.blob)
        if result.is_error():
            return None
        if result.ok is None:
            return claimoutcome.InDoubt(row.holder)
        answer = result.ok.removeprefix(_blob_prefix(row.id))
        return claimoutcome.Answered(answer)

    def _acknowledged(self, attempt):
        start_by = attempt.started + self._settings.start_window
        if self._clock.monotonic() >= start_by:
            return claimoutcome.Unavailable(
                'the store confirmed the claim too late', attempt.earlier
            )
        return claimoutcome.Claimed(
            attempt.request, attempt.id, attempt.since_ms, start_by
        )

    async def _end(self, row):
        return await self._insist(lambda: self._replace(row, row.id))

    async def _insist(self, call):
        """Repeat a call until the store does or refuses it."""
        for tries in itertools.count():
            result = await call()
            if result.is_ok() or isinstance(
                result.error, errors.ConditionFailed | claimbatch.Fenced
            ):
                return result
            await asyncio.sleep(storelimit.backoff(self._rng, tries))

    async def _resolve(self, attempt, found):
        row = found and claimrow.from_row(found)
        standing = row.id if row else ''
        if row is not None and not _is_ours(row, attempt):
            # Another claim stands, behind which no write of ours can land.
            return True
        # A fresh id stops a write of ours that is still under way.
        result = await self._release(attempt, standing)
        return result.is_ok()

    async def _release(self, attempt, standing):
        keep_ms = int(self._settings.released_retention * MS_PER_S)
        row = claimrow.ClaimRow(
            attempt.key,
            self._new_id(attempt.request.holder),
            claimrow.State.RELEASED,
            attempt.request.holder,
            attempt.request.fingerprint,
            attempt.since_ms,
            self._wall_ms() + keep_ms,
        )
        return await self._replace(row, standing)

    async def _remove(self, row):
        write = table.Delete(row.key, claimrow.replaces(row.id))
        result = await self._submit(write, f'{row.id} swept')
        if result.is_ok() and row.blob:
            await self._blobs.delete(row.blob)
        return result.is_ok()

    async def _replace(self, row, standing):
        write = table.Put(
            row.key, claimrow.values_of(row), claimrow.replaces(standing)
        )
        return await self._submit(write, f'{row.id} {row.state}')

    async def _submit(self, write, label):
        window = self._settings.settle_window
        return await self._batcher.submit(write, label, window).future

    def _claimed_row(self, attempt):
        return self._row(attempt, claimrow.State.CLAIMED)

    def _row(self, claim, state, answer=b'', blob=''):
        retention_ms = int(self._settings.retention * MS_PER_S)
        return claimrow.ClaimRow(
            claimrow.key_of(claim.request.scope, claim.request.key),
            claim.id,
            state,
            claim.request.holder,
            claim.request.fingerprint,
            claim.since_ms,
            claim.since_ms + retention_ms,
            answer,
            blob,
        )

    def _new_id(self, holder):
        return f'{holder}#{next(self._numbers)}'

    def _wall_ms(self):
        return int(self._clock.wall() * MS_PER_S)


def _is_ours(row, attempt):
    if row.state is claimrow.State.RELEASED:
        return True
    is_claimed = row.state is claimrow.State.CLAIMED
    return is_claimed and row.id in (attempt.id, attempt.replaces)


def _blob_prefix(id):
    return f'{id}\n'.encode()
