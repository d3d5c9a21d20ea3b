"""At-most-once claims of idempotency keys, as a daemon makes them.

A claim is a row that exists once. Whoever wrote it, and saw that it did,
may run the request; nobody else ever may, until the row expires. A claim
never lapses: a holder that was paused is not replaced, because no single
write could prove that it did not start. Only its holder frees a key, by a
release that says it did not run.
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

# What callers of this module ask with and are answered with.
ClaimRequest = claimoutcome.ClaimRequest
ClaimSettings = claimoutcome.ClaimSettings
Claimed = claimoutcome.Claimed
Answered = claimoutcome.Answered
Running = claimoutcome.Running
InDoubt = claimoutcome.InDoubt
Reused = claimoutcome.Reused
Unavailable = claimoutcome.Unavailable

# Claims whose write is in doubt; above this no new ones are made.
MAX_DOUBTFUL = 10_000


@dataclasses.dataclass(eq=False, slots=True)
class _Held:
    """A claim that was given out.

    Args:
        ending: What sendings of the key are told once it ended.
    """

    claimed: claimoutcome.Claimed
    ending: claimoutcome.Answered | claimoutcome.InDoubt | None = None


class Claims:
    """Claims keys for one daemon.

    Args:
        rows: A `table.Table`.
        blobs: An `objects.Objects` for large answers.
        clock: A `clock.Clock`.
        rng: A `random.Random` that spreads retries.
        is_holder_gone: Whether a `vm/incarnation` is known to have ended;
            None when that is never known.
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
            is_holder_gone or _never_gone,
        )
        self._held = {}
        self._doubtful = {}
        self._resolver = None
        self._ending = set()

    @property
    def running(self):
        """Claims that were given out and are not recorded as ended."""
        return len(self._held)

    @property
    def doubtful(self):
        """Claims that did not run and may still stand in the table."""
        return len(self._doubtful)

    @property
    def unsettled_bytes(self):
        """Bytes of answers that the store did not take yet."""
        endings = (held.ending for held in self._held.values())
        return sum(
            len(ending.answer)
            for ending in endings
            if isinstance(ending, claimoutcome.Answered)
        )

    async def claim(self, request, timeout):
        """Claim a key before its request runs.

        Args:
            request: A `claimoutcome.ClaimRequest`.
            timeout: Seconds to wait for the store.

        Returns:
            A `claimoutcome.ClaimOutcome`. Nothing may run but on `Claimed`.
        """
        key = claimrow.key_of(request.scope, request.key)
        known = self._known(self._held.get(key), request)
        if known is not None:
            return known
        attempt = self._store.attempt(request)
        try:
            async with asyncio.timeout(timeout):
                outcome = await self._store.acquire(attempt, self._doubtful)
        except TimeoutError:
            outcome = claimoutcome.Unavailable(
                'the store did not confirm the claim in time', attempt.earlier
            )
        except asyncio.CancelledError:
            self._free(attempt)
            raise
        if isinstance(outcome, claimoutcome.Claimed):
            self._held[key] = _Held(outcome)
        else:
            self._free(attempt)
        return outcome

    async def settle(self, claimed, answer, timeout):
        """Record the first answer of a claim that ran.

        Goes on in the background after the timeout, until the store takes
        it; meanwhile this daemon gives the answer from memory.

        Args:
            claimed: The `claimoutcome.Claimed`.
            answer: Bytes that later sendings of the key are given.
            timeout: Seconds to wait.

        Returns:
            `Ok(None)` when recorded, else `Error` of a store failure.
        """
        room = self._settings.max_unsettled_bytes - self.unsettled_bytes
        if len(answer) > room:
            return await self.doubt(claimed, timeout)
        held = self._held_of(claimed)
        held.ending = claimoutcome.Answered(answer)
        return await self._end(
            self._drop(claimed, self._store.settle(claimed, answer)), timeout
        )

    async def doubt(self, claimed, timeout):
        """Record that nobody will learn whether a claim ran.

        Args:
            claimed: The `claimoutcome.Claimed`.
            timeout: Seconds to wait; it goes on in the background.

        Returns:
            As `settle`.
        """
        held = self._held_of(claimed)
        held.ending = claimoutcome.InDoubt(claimed.request.holder)
        return await self._end(
            self._drop(claimed, self._store.doubt(claimed)), timeout
        )

    async def release(self, claimed, timeout):
        """Free the key of a claim that provably did not run.

        Args:
            claimed: The `claimoutcome.Claimed`; its request must never
                start now.
            timeout: Seconds to wait; it goes on in the background.

        Returns:
            As `settle`.
        """
        self._held_of(claimed)
        attempt = self._store.attempt(claimed.request, claimed.id)
        attempt.in_doubt = True
        del self._held[attempt.key]
        self._doubtful[attempt.id] = attempt
        return await self._end(self._release(attempt), timeout)

    async def sweep(self):
        """Remove expired rows of the next page of the table.

        Returns:
            `Ok(int)`, the rows removed, or `Error(errors.StoreNotRun)`.
        """
        return await self._store.sweep()

    async def close(self, timeout):
        """Wait until answers, releases and doubts are in the store.

        Args:
            timeout: Seconds to wait.

        Returns:
            How many are not; other daemons see those as running or, once
            this one is known to be gone, as in doubt.
        """
        tasks = set(self._ending)
        if self._resolver is not None:
            tasks.add(self._resolver)
        if tasks:
            _, late = await asyncio.wait(tasks, timeout=timeout)
            for task in late:
                task.cancel()
        return len(self._held) + len(self._doubtful)

    def _known(self, held, request):
        """Return the outcome that needs no store, or None."""
        if held is None:
            if len(self._doubtful) < MAX_DOUBTFUL:
                return None
            return claimoutcome.Unavailable('too many claims are in doubt')
        claimed = held.claimed
        if claimed.request.fingerprint != request.fingerprint:
            return claimoutcome.Reused()
        if held.ending is not None:
            return held.ending
        return claimoutcome.Running(
            claimed.request.holder, claimed.since_ms / claimstore.MS_PER_S
        )

    def _held_of(self, claimed):
        key = claimrow.key_of(claimed.request.scope, claimed.request.key)
        held = self._held.get(key)
        if held is None or held.claimed.id != claimed.id or held.ending:
            raise errors.BrokenInvariant(f'claim {claimed.id} ended before')
        return held

    async def _drop(self, claimed, ending):
        """Await the record of an ending, then forget the claim."""
        result = await ending
        request = claimed.request
        self._held.pop(claimrow.key_of(request.scope, request.key), None)
        return result

    async def _release(self, attempt):
        result = await self._store.release(attempt)
        if result.is_ok():
            self._doubtful.pop(attempt.id, None)
            return result
        self._free(attempt)
        while attempt.id in self._doubtful:
            await asyncio.shield(self._resolver)
        return expression.Ok(None)

    async def _end(self, work, timeout):
        task = asyncio.ensure_future(work)
        self._ending.add(task)
        task.add_done_callback(self._ending.discard)
        done, _ = await asyncio.wait({task}, timeout=timeout)
        if done and not task.cancelled():
            return task.result()
        return expression.Error(
            errors.StoreOutcomeUnknown('the store did not confirm it in time')
        )

    def _free(self, attempt):
        """Make sure that a claim that will not run does not stand."""
        if not attempt.in_doubt:
            return
        self._doubtful[attempt.id] = attempt
        if self._resolver is None or self._resolver.done():
            self._resolver = asyncio.ensure_future(self._resolve())

    async def _resolve(self):
        for tries in itertools.count():
            if not self._doubtful:
                return
            page = itertools.islice(self._doubtful.values(), table.MAX_WRITES)
            for id in await self._store.resolve(tuple(page)):
                self._doubtful.pop(id, None)
            if self._doubtful:
                await asyncio.sleep(storelimit.backoff(self._rng, tries))


def _never_gone(holder):
    return False
