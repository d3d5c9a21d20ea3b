"""Protocol of claims: conditional writes of rows in the claim table."""

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
    """An attempt to claim a key, in one or several writes.

    Args:
        request: The `claimoutcome.ClaimRequest`.
        key: `table.Key` of the claim's row.
        id: Id of the claim; never used for another.
        started: Monotonic seconds before the first write that may have
            taken effect.
        since_ms: The same time in wall milliseconds.
        replaced_id: Id of the row that it replaces, '' for none.
        in_doubt: Whether one of its writes may have taken effect or may
            still do so.
        earlier_ran: Whether an earlier request with the key ran.
    """

    request: claimoutcome.ClaimRequest
    key: table.Key
    id: str
    started: float
    since_ms: int
    replaced_id: str = ''
    in_doubt: bool = False
    earlier_ran: errors.Outcome = errors.Outcome.UNKNOWN


class ClaimStore:
    """Writes, reads and sweeps the rows of claims, and keeps no claims.

    Args:
        rows: A `table.Table`.
        blobs: An `objectstore.ObjectStore` for large answers.
        clock: A `clock.Clock`.
        rng: A `random.Random` for the jitter of retries.
        settings: A `claimoutcome.ClaimSettings`.
        is_holder_gone: Takes a `vm/incarnation` and returns whether it is
            known to have ended.
        fencing_check: As in `claimbatch.WriteBatcher`.
    """

    def __init__(
        self,
        rows,
        blobs,
        clock,
        rng,
        settings,
        is_holder_gone,
        fencing_check=None,
    ):
        self._rows = rows
        self._blobs = blobs
        self._clock = clock
        self._rng = rng
        self._settings = settings
        self._is_holder_gone = is_holder_gone
        self._batcher = claimbatch.WriteBatcher(
            rows, settings.in_flight, settings.max_batch, fencing_check
        )
        self._reader = claimbatch.ReadBatcher(rows, settings.batch_window)
        self._numbers = itertools.count(1)
        self._cursor = f'{rng.getrandbits(256):064x}'

    @property
    def fenced(self):
        """Whether a fencing check failed; nothing is written since then."""
        return self._batcher.fenced

    def attempt(self, request, id=''):
        """Return a new `Attempt`.

        Args:
            request: A `claimoutcome.ClaimRequest`.
            id: Id of the claim when it has one, '' for a new id.
        """
        return Attempt(
            request,
            claimrow.key_of(request.scope, request.key),
            id or self._new_id(request.holder),
            self._clock.monotonic(),
            self._wall_ms(),
        )

    async def acquire(self, attempt, never_ran):
        """Write the claim, and retry until the key's state is known.

        Args:
            attempt: An `Attempt`; its `in_doubt` is up to date even when
                this is cancelled.
            never_ran: Container of ids of claims whose requests did not
                and will not run.

        Returns:
            A `claimoutcome.ClaimOutcome`.
        """
        for retries in itertools.count():
            result = await self._write_claim(attempt)
            if result.is_ok():
                return self._confirmed(attempt)
            match result.error:
                case claimbatch.Fenced(reason=reason):
                    return claimoutcome.Unavailable(reason)
                case errors.StoreNotRun():
                    outcome = None
                case _:
                    outcome = await self._read_back(attempt, never_ran)
            if outcome is not None:
                return outcome
            if not attempt.replaced_id or retries:
                await asyncio.sleep(storelimit.backoff(self._rng, retries))

    async def record_answer(self, claimed, answer):
        """Record the answer of a claim, and retry until that is decided.

        Args:
            claimed: The `claimoutcome.Claimed`.
            answer: Answer as bytes.

        Returns:
            `Ok(None)`, or `Error` of `errors.ConditionFailed` when the row
            has another id, or of `claimbatch.Fenced`.
        """
        state = claimrow.State.ANSWERED
        if len(answer) <= self._settings.inline_answer_bytes:
            return await self._write_end(self._row(claimed, state, answer))
        # Objects are named by their digest. The id in the blob keeps two
        # claims from sharing one object, which is swept with the row.
        blob = _blob_prefix(claimed.id) + answer
        stored = await self._retry_until_decided(lambda: self._blobs.put(blob))
        return await self._write_end(self._row(claimed, state, blob=stored.ok))

    async def mark_in_doubt(self, claimed):
        """Record that it can't be known whether a claim's request ran.

        Args:
            claimed: The `claimoutcome.Claimed`.

        Returns:
            As `record_answer`.
        """
        return await self._write_end(
            self._row(claimed, claimrow.State.IN_DOUBT)
        )

    async def release(self, attempt):
        """Free the key of a stored claim whose request did not run.

        Args:
            attempt: The claim's `Attempt`.

        Returns:
            `Ok(None)`, or `Error` of a store failure.
        """
        return await self._release(attempt, attempt.id)

    async def resolve(self, attempts):
        """Free the keys of claims that won't run but may be stored.

        Args:
            attempts: Sequence of `Attempt`, `table.MAX_WRITES` at most.

        Returns:
            Set of the ids of those claims that are not stored now and
            can't be stored later.
        """
        found = await self._rows.read([attempt.key for attempt in attempts])
        if found.is_error():
            return set()
        results = await asyncio.gather(
            *map(self._resolve_one, attempts, found.ok)
        )
        return {
            attempt.id
            for attempt, is_certain in zip(attempts, results)
            if is_certain
        }

    async def sweep(self):
        """Remove the expired rows of the table's next page.

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
        margin_ms = int(self._settings.max_clock_skew * MS_PER_S)
        before_ms = self._wall_ms() - margin_ms
        expired = (
            row
            for row in map(claimrow.from_row, page.ok)
            if row.expires_ms < before_ms
        )
        removed = await asyncio.gather(*map(self._remove, expired))
        return expression.Ok(sum(removed))

    async def _write_claim(self, attempt):
        was_in_doubt = attempt.in_doubt
        if not was_in_doubt:
            # No earlier write of this attempt can have taken effect, so
            # its start window begins here.
            attempt.started = self._clock.monotonic()
            attempt.since_ms = self._wall_ms()
        pending = self._batcher.submit(
            table.Put(
                attempt.key,
                claimrow.values_of(self._claimed_row(attempt)),
                claimrow.condition_for(attempt.replaced_id),
            ),
            f'{attempt.id} replaces {attempt.replaced_id}',
            self._settings.batch_window,
        )
        attempt.in_doubt = True
        try:
            result = await pending.future
        except asyncio.CancelledError:
            if self._batcher.withdraw(pending):
                attempt.in_doubt = was_in_doubt
            raise
        if result.is_error():
            is_unknown = isinstance(result.error, errors.StoreOutcomeUnknown)
            attempt.in_doubt = was_in_doubt or is_unknown
        return result

    async def _read_back(self, attempt, never_ran):
        """Read the row; return an outcome, or None to retry the write."""
        result = await self._reader.read(attempt.key)
        if result.is_error():
            return None
        if result.ok is None:
            attempt.replaced_id = ''
            return None
        row = claimrow.from_row(result.ok)
        if row.id == attempt.id and row.state is claimrow.State.CLAIMED:
            return self._confirmed(attempt)
        if row.id != attempt.replaced_id:
            # The row is not the one that this attempt replaces, so the
            # condition of any delayed write of this attempt fails.
            attempt.in_doubt = False
        if row.state is claimrow.State.RELEASED or row.id in never_ran:
            attempt.replaced_id = row.id
            return None
        return await self._outcome_of_row(row, attempt)

    async def _outcome_of_row(self, row, attempt):
        if row.fingerprint != attempt.request.fingerprint:
            return claimoutcome.Reused()
        match row.state:
            case claimrow.State.ANSWERED:
                attempt.earlier_ran = errors.Outcome.RAN
                return await self._recorded_answer(row)
            case claimrow.State.CLAIMED:
                if not self._is_holder_gone(row.holder):
                    since = row.since_ms / MS_PER_S
                    return claimoutcome.Running(row.holder, since)
        return claimoutcome.InDoubt(row.holder)

    async def _recorded_answer(self, row):
        if not row.blob:
            return claimoutcome.Answered(row.answer)
        result = await self._blobs.get(row.blob)
        if result.is_error():
            return None
        if result.ok is None:
            return claimoutcome.InDoubt(row.holder)
        answer = result.ok.removeprefix(_blob_prefix(row.id))
        return claimoutcome.Answered(answer)

    def _confirmed(self, attempt):
        start_by = attempt.started + self._settings.start_window
        if self._clock.monotonic() >= start_by:
            return claimoutcome.Unavailable(
                'the store confirmed the claim after its start window',
                attempt.earlier_ran,
            )
        return claimoutcome.Claimed(
            attempt.request, attempt.id, attempt.since_ms, start_by
        )

    async def _write_end(self, row):
        return await self._retry_until_decided(
            lambda: self._replace(row, row.id)
        )

    async def _retry_until_decided(self, call):
        """Repeat a call until it succeeds or a condition of it fails."""
        for retries in itertools.count():
            result = await call()
            if result.is_ok() or isinstance(
                result.error, errors.ConditionFailed | claimbatch.Fenced
            ):
                return result
            await asyncio.sleep(storelimit.backoff(self._rng, retries))

    async def _resolve_one(self, attempt, found):
        row = found and claimrow.from_row(found)
        current_id = row.id if row else ''
        if row is not None and not _is_own_row(row, attempt):
            # The row is of another claim, so the condition of any delayed
            # write of this attempt fails.
            return True
        # A row with a new id makes the condition of a delayed write of
        # this attempt fail.
        result = await self._release(attempt, current_id)
        return result.is_ok()

    async def _release(self, attempt, current_id):
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
        return await self._replace(row, current_id)

    async def _remove(self, row):
        write = table.Delete(row.key, claimrow.condition_for(row.id))
        result = await self._submit(write, f'{row.id} swept')
        if result.is_ok() and row.blob:
            await self._blobs.delete(row.blob)
        return result.is_ok()

    async def _replace(self, row, current_id):
        write = table.Put(
            row.key,
            claimrow.values_of(row),
            claimrow.condition_for(current_id),
        )
        return await self._submit(write, f'{row.id} {row.state}')

    async def _submit(self, write, write_id):
        window = self._settings.record_window
        return await self._batcher.submit(write, write_id, window).future

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


def _is_own_row(row, attempt):
    if row.state is claimrow.State.RELEASED:
        return True
    is_claimed = row.state is claimrow.State.CLAIMED
    return is_claimed and row.id in (attempt.id, attempt.replaced_id)


def _blob_prefix(id):
    return f'{id}\n'.encode()
