"""At-most-once claims of idempotency keys, made by one daemon.

A claim is a row that is written once per key. Only the daemon whose write
of the row was confirmed may run the request, until the row expires. A
claim has no lease: a paused holder is not replaced, because no single
write can prove that it has not started the request. Only the holder frees
the key, by a release that records that the request did not run.
"""

import asyncio
import dataclasses
import itertools

import expression

from jujubefold import claimoutcome
from jujubefold import claimrow
from jujubefold import claimstore
from jujubefold import errors
from jujubefold import storelimit
from jujubefold import table

# Request and outcome types, repeated here for users of this module.
ClaimRequest = claimoutcome.ClaimRequest
ClaimSettings = claimoutcome.ClaimSettings
Claimed = claimoutcome.Claimed
Answered = claimoutcome.Answered
Running = claimoutcome.Running
InDoubt = claimoutcome.InDoubt
Reused = claimoutcome.Reused
Unavailable = claimoutcome.Unavailable

# Unresolved claims above which new claims are refused.
MAX_UNRESOLVED = 10_000


@dataclasses.dataclass(eq=False, slots=True)
class _HeldClaim:
    """A claim that this daemon holds.

    Args:
        claimed: The claim as returned to the caller.
        final_outcome: Outcome for further requests with the key once the
            claim has ended; None while the request may be running.
    """

    claimed: claimoutcome.Claimed
    final_outcome: claimoutcome.Answered | claimoutcome.InDoubt | None = None


class Claims:
    """Claims keys for one daemon.

    Args:
        rows: A `table.Table`.
        blobs: An `objectstore.ObjectStore` for large answers.
        clock: A `clock.Clock`.
        rng: A `random.Random` for the jitter of retries.
        is_holder_gone: Takes a `vm/incarnation` and returns whether it is
            known to have ended; None when that is never known.
        settings: A `claimoutcome.ClaimSettings`, or None for the defaults.
    """

    def __init__(
        self, rows, blobs, clock, rng, is_holder_gone=None, settings=None
    ):
        self._rng = rng
        self._settings = settings or claimoutcome.ClaimSettings()
        self._store = claimstore.ClaimStore(
            rows,
            blobs,
            clock,
            rng,
            self._settings,
            is_holder_gone or _never_known_gone,
        )
        self._held = {}
        self._unresolved = {}
        self._resolver = None
        self._end_tasks = set()

    @property
    def running(self):
        """Number of held claims whose end is not recorded yet."""
        return len(self._held)

    @property
    def unresolved(self):
        """Number of claims that won't run but may still be in the table."""
        return len(self._unresolved)

    @property
    def unrecorded_bytes(self):
        """Bytes of answers that the store has not confirmed yet."""
        outcomes = (held.final_outcome for held in self._held.values())
        return sum(
            len(final_outcome.answer)
            for final_outcome in outcomes
            if isinstance(final_outcome, claimoutcome.Answered)
        )

    async def claim(self, request, timeout):
        """Claim a key before its request runs.

        Args:
            request: A `claimoutcome.ClaimRequest`.
            timeout: Seconds to wait for the store.

        Returns:
            A `claimoutcome.ClaimOutcome`. The request may run only on
            `claimoutcome.Claimed`.
        """
        key = claimrow.key_of(request.scope, request.key)
        local = self._local_outcome(self._held.get(key), request)
        if local is not None:
            return local
        attempt = self._store.attempt(request)
        try:
            async with asyncio.timeout(timeout):
                outcome = await self._store.acquire(attempt, self._unresolved)
        except TimeoutError:
            outcome = claimoutcome.Unavailable(
                'the store did not confirm the claim before the time-out',
                attempt.earlier_ran,
            )
        except asyncio.CancelledError:
            self._schedule_resolve(attempt)
            raise
        if isinstance(outcome, claimoutcome.Claimed):
            self._held[key] = _HeldClaim(outcome)
        else:
            self._schedule_resolve(attempt)
        return outcome

    async def record_answer(self, claimed, answer, timeout):
        """Record the answer of a claim whose request ran.

        After the timeout the write is retried in the background until the
        store decides it. Until then this daemon returns the answer from
        memory. When the unrecorded answers would exceed
        `max_unrecorded_bytes`, the claim is recorded as in doubt instead.

        Args:
            claimed: The `claimoutcome.Claimed`.
            answer: Bytes returned to later requests with the key.
            timeout: Seconds to wait.

        Returns:
            `Ok(None)` when recorded, else `Error` of a store failure.

        Raises:
            errors.BrokenInvariant: The claim was ended before.
        """
        room = self._settings.max_unrecorded_bytes - self.unrecorded_bytes
        if len(answer) > room:
            return await self.mark_in_doubt(claimed, timeout)
        held = self._require_held(claimed)
        held.final_outcome = claimoutcome.Answered(answer)
        return await self._wait_for_write(
            self._record_and_forget(
                claimed, self._store.record_answer(claimed, answer)
            ),
            timeout,
        )

    async def mark_in_doubt(self, claimed, timeout):
        """Record that it can't be known whether a claim's request ran.

        Args:
            claimed: The `claimoutcome.Claimed`.
            timeout: Seconds to wait; the write is then retried in the
                background.

        Returns:
            As `record_answer`.

        Raises:
            errors.BrokenInvariant: The claim was ended before.
        """
        held = self._require_held(claimed)
        held.final_outcome = claimoutcome.InDoubt(claimed.request.holder)
        return await self._wait_for_write(
            self._record_and_forget(
                claimed, self._store.mark_in_doubt(claimed)
            ),
            timeout,
        )

    async def release(self, claimed, timeout):
        """Free the key of a claim whose request did not run.

        Args:
            claimed: The `claimoutcome.Claimed`; its request must not start
                after this call.
            timeout: Seconds to wait; the write is then retried in the
                background.

        Returns:
            As `record_answer`.

        Raises:
            errors.BrokenInvariant: The claim was ended before.
        """
        self._require_held(claimed)
        attempt = self._store.attempt(claimed.request, claimed.id)
        attempt.in_doubt = True
        del self._held[attempt.key]
        self._unresolved[attempt.id] = attempt
        return await self._wait_for_write(self._release(attempt), timeout)

    async def sweep(self):
        """Remove the expired rows of the table's next page.

        Returns:
            `Ok(int)`, the rows removed, or `Error(errors.StoreNotRun)`.
        """
        return await self._store.sweep()

    async def close(self, timeout):
        """Wait until the ends of all claims are recorded in the store.

        Args:
            timeout: Seconds to wait; writes under way are then cancelled.

        Returns:
            Number of claims whose end is not recorded. Other daemons see
            them as running and, once this daemon is known to have ended,
            as in doubt.
        """
        tasks = set(self._end_tasks)
        if self._resolver is not None:
            tasks.add(self._resolver)
        if tasks:
            _, late = await asyncio.wait(tasks, timeout=timeout)
            for task in late:
                task.cancel()
        return len(self._held) + len(self._unresolved)

    def _local_outcome(self, held, request):
        """Return the outcome known without the store, or None."""
        if held is None:
            if len(self._unresolved) < MAX_UNRESOLVED:
                return None
            return claimoutcome.Unavailable(
                'too many claims are unresolved in the store'
            )
        claimed = held.claimed
        if claimed.request.fingerprint != request.fingerprint:
            return claimoutcome.Reused()
        if held.final_outcome is not None:
            return held.final_outcome
        return claimoutcome.Running(
            claimed.request.holder, claimed.since_ms / claimstore.MS_PER_S
        )

    def _require_held(self, claimed):
        key = claimrow.key_of(claimed.request.scope, claimed.request.key)
        held = self._held.get(key)
        if held is None or held.claimed.id != claimed.id or held.final_outcome:
            raise errors.BrokenInvariant(
                f'claim {claimed.id} is not held or was ended before'
            )
        return held

    async def _record_and_forget(self, claimed, write):
        """Await the write of a claim's end, then forget the claim."""
        result = await write
        request = claimed.request
        self._held.pop(claimrow.key_of(request.scope, request.key), None)
        return result

    async def _release(self, attempt):
        result = await self._store.release(attempt)
        if result.is_ok():
            self._unresolved.pop(attempt.id, None)
            return result
        self._schedule_resolve(attempt)
        while attempt.id in self._unresolved:
            await asyncio.shield(self._resolver)
        return expression.Ok(None)

    async def _wait_for_write(self, write, timeout):
        task = asyncio.ensure_future(write)
        self._end_tasks.add(task)
        task.add_done_callback(self._end_tasks.discard)
        done, _ = await asyncio.wait({task}, timeout=timeout)
        if done and not task.cancelled():
            return task.result()
        return expression.Error(
            errors.StoreOutcomeUnknown(
                'the store did not confirm the end of the claim in time'
            )
        )

    def _schedule_resolve(self, attempt):
        """Start freeing the key of a claim that won't run, if stored."""
        if not attempt.in_doubt:
            return
        self._unresolved[attempt.id] = attempt
        if self._resolver is None or self._resolver.done():
            self._resolver = asyncio.ensure_future(self._resolve_all())

    async def _resolve_all(self):
        for retries in itertools.count():
            if not self._unresolved:
                return
            page = itertools.islice(
                self._unresolved.values(), table.MAX_WRITES
            )
            for id in await self._store.resolve(tuple(page)):
                self._unresolved.pop(id, None)
            if self._unresolved:
                await asyncio.sleep(storelimit.backoff(self._rng, retries))


def _never_known_gone(holder):
    return False
