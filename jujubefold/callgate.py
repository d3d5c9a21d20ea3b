"""Gate side of the call path: runs admitted attempts at the upstream.

`gate` decides; this module waits, sends, and reports endings back.
"""

import asyncio
import collections
import dataclasses
import functools

from jujubefold import callclient
from jujubefold import calls
from jujubefold import callserver
from jujubefold import crashes
from jujubefold import eagertask
from jujubefold import errors
from jujubefold import events
from jujubefold import gate
from jujubefold import hops
from jujubefold import messages

SHED = b'jujubefold-shed'
RETRY_S = 1.0
KEPT_S = 30.0
KEPT_BYTES = 16 * 1024 * 1024
KEPT_COUNT = 4096
CRASH_WINDOW_S = 0.05
PROBE_TIMEOUT_S = 0.5
# Seconds for which an upstream that refused a connection gets less work.
UNREACHABLE_S = 0.25

_ADMITTING = frozenset(
    {messages.UpstreamState.WARMING, messages.UpstreamState.SERVING}
)
_SHED = calls.Refusal(
    errors.Ran.DID_NOT_RUN,
    calls.Reason.UPSTREAM_SHED,
    RETRY_S,
    'the upstream shed the request before running it',
)
_NOT_SENT = calls.Refusal(
    errors.Ran.DID_NOT_RUN,
    calls.Reason.NO_UPSTREAM,
    RETRY_S,
    'the upstream takes no connection',
)
_LATE = calls.Refusal(
    errors.Ran.DID_NOT_RUN,
    calls.Reason.DEADLINE,
    detail='the deadline passed before the upstream was asked',
)
_FORGOTTEN = calls.Refusal(
    errors.Ran.UNKNOWN,
    calls.Reason.PEER_LOST,
    detail='the attempt ended here and its answer is no longer kept',
)
_CANCELLED = calls.Refusal(
    errors.Ran.UNKNOWN,
    calls.Reason.CANCELLED,
    detail='the attempt was cancelled',
)
_ENDINGS = {
    callclient.FailureKind.CUT: calls.Ending.CRASHED,
    callclient.FailureKind.SILENT: calls.Ending.SILENT,
    callclient.FailureKind.DEADLINE: calls.Ending.SILENT,
}

Outcome = callserver.Answer | calls.Refusal


@dataclasses.dataclass(slots=True)
class Trace:
    """How far one attempt has got.

    Args:
        committed: It is better finished than cancelled, because its answer
            is recorded under the caller's key.
        upstream: Seconds that the own upstream had it.
    """

    committed: bool = False
    upstream: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class Kept:
    """An attempt of another daemon, running or ended.

    Args:
        trace: How far it has got.
        task: Runs it; None once it has ended.
        waiters: Told of its `Outcome`.
        outcome: The `Outcome` once it has ended.
        ended_at: Monotonic seconds.
        size: Bytes of its answer.
    """

    trace: Trace
    task: eagertask.EagerTask | None = None
    waiters: list[eagertask.Waiter] = dataclasses.field(default_factory=list)
    outcome: object = None
    ended_at: float = 0.0
    size: int = 0


def _is_stale(result):
    """Return whether a connection kept from before was found lost."""
    return (
        isinstance(result, callclient.Failure)
        and result.reused
        and result.kind is callclient.FailureKind.CUT
    )


async def _share(kept):
    if kept.outcome is not None:
        return kept.outcome
    waiter = eagertask.Waiter()
    kept.waiters.append(waiter)
    return await waiter


class CallGate:
    """Runs attempts at this VM's own upstream.

    Args:
        identity: This daemon's `identity.Identity`.
        clock: A `clock.Clock`.
        table: The `gate.GateTable`.
        crash_table: The `crashes.CrashTable`.
        keys: A `callkeys.Keys` for requests with a key, or None.
        new_pool: Called with an address, returns a `callclient.Pool`.
        record: Called with each `events.Event`.
        emit: Called with each `effects.Effect` of a decision.
        fail: Called with an exception that broke an attempt.
    """

    def __init__(
        self,
        *,
        identity,
        clock,
        table,
        crash_table,
        keys,
        new_pool,
        record,
        emit,
        fail,
    ):
        self.table = table
        self.pool = None
        self._identity = identity
        self._clock = clock
        self._crashes = crash_table
        self._keys = keys
        self._new_pool = new_pool
        self._record = record
        self._emit = emit
        self._fail = fail
        self._waiting = {}
        self._live = {}
        self._ended = collections.OrderedDict()
        self._ended_bytes = 0
        self._expiry = None
        self._unreachable = None
        self._lost = []

    @property
    def running(self):
        """Attempts that hold a slot or wait for one."""
        return (*self.table.running, *self.table.queued)

    @property
    def address(self):
        """Where the upstream listens, or None."""
        return None if self.pool is None else self.pool.address

    def set_address(self, address):
        """Send to the upstream at this address from now on."""
        if address == self.address:
            return
        self._set_reachable()
        old = self.pool
        self.pool = None if address is None else self._new_pool(address)
        if old is not None:
            old.retire()

    def wake(self, admitted):
        """Start attempts that the gate took from its queue.

        Args:
            admitted: Tuple of `calls.AttemptId`.
        """
        for name in admitted:
            waiter = self._waiting.pop(name, None)
            if waiter is not None and not waiter.done():
                waiter.set_result(None)

    def expire(self):
        """End what the gate evicted, and look again when it says so."""
        for item in gate.expire(self.table, self._clock.monotonic()):
            waiter = self._waiting.pop(item.attempt, None)
            if waiter is not None and not waiter.done():
                waiter.set_result(item.refusal)
        self._arm()

    # Attempts of other daemons, which may be asked for again

    async def join_or_run(self, attempt, message, allowance):
        """Run another daemon's attempt, or share one that is here.

        Args:
            attempt: A `calls.Attempt`.
            message: The `callclient.OutboundRequest` for the upstream.
            allowance: Retries that calls below may make.

        Returns:
            An `Outcome`.
        """
        kept = self._find(attempt.id)
        if kept is None:
            kept = self._keep(attempt, message, allowance)
        return await _share(kept)

    async def join_or_bar(self, name):
        """Share the outcome of an attempt, or make sure it never runs.

        Args:
            name: A `calls.AttemptId`.

        Returns:
            An `Outcome`.
        """
        kept = self._find(name)
        if kept is not None:
            return await _share(kept)
        if self.bar(name) is gate.BarState.BARRED:
            return calls.Refusal(
                errors.Ran.DID_NOT_RUN,
                calls.Reason.BARRED,
                detail='the attempt had not started and never will',
            )
        return _FORGOTTEN

    def bar(self, name):
        """Make sure that an attempt that has not started never will.

        Returns:
            A `gate.BarState`.
        """
        state = gate.bar(self.table, name, self._clock.monotonic())
        self.expire()
        return state

    def cancel(self, name):
        """Give up an attempt whose caller went away."""
        kept = self._live.get(name)
        if kept is not None:
            if not kept.trace.committed:
                kept.task.cancel()
        elif name not in self._ended:
            self.wake(gate.cancel(self.table, name, self._clock.monotonic()))

    def _find(self, name):
        return self._live.get(name) or self._ended.get(name)

    def forget(self, name):
        """Drop an outcome that its sender is known to have received."""
        kept = self._ended.pop(name, None)
        if kept is not None:
            self._ended_bytes -= kept.size

    def _keep(self, attempt, message, allowance):
        kept = Kept(Trace())
        self._live[attempt.id] = kept
        kept.task = eagertask.EagerTask(
            self.run(attempt, message, allowance, kept.trace),
            functools.partial(self._end, attempt.id, kept),
        )
        kept.task.start()
        return kept

    def _end(self, name, kept, task):
        del self._live[name]
        kept.task = None
        kept.ended_at = self._clock.monotonic()
        kept.outcome = self._outcome_of(task)
        if isinstance(kept.outcome, callserver.Answer):
            kept.size = kept.outcome.size
            self._ended_bytes += kept.size
        self._ended[name] = kept
        self._forget()
        waiters, kept.waiters = kept.waiters, []
        for waiter in waiters:
            waiter.set_result(kept.outcome)

    def _outcome_of(self, task):
        if task.error is None:
            return task.result
        if not isinstance(task.error, asyncio.CancelledError):
            self._fail(task.error)
        return _CANCELLED

    def _forget(self):
        """Drop the oldest outcomes; the newest is always kept."""
        oldest = self._clock.monotonic() - KEPT_S
        while len(self._ended) > 1:
            name, kept = next(iter(self._ended.items()))
            full = (
                self._ended_bytes > KEPT_BYTES or len(self._ended) > KEPT_COUNT
            )
            if not full and kept.ended_at > oldest:
                return
            del self._ended[name]
            self._ended_bytes -= kept.size

    # One attempt

    async def run(self, attempt, message, allowance, trace):
        """Admit an attempt and run it.

        Args:
            attempt: A `calls.Attempt` that is not here already.
            message: The `callclient.OutboundRequest` for the upstream.
            allowance: Retries that calls below may make.
            trace: A `Trace`, changed here.

        Returns:
            An `Outcome`.
        """
        call = attempt.call
        now = self._clock.monotonic()
        refusal = crashes.refusal_for(self._crashes, call.fingerprint, now)
        if refusal is not None:
            return self._forbid(attempt, refusal, now)
        if not call.key or call.idempotent or self._keys is None:
            return await self._admit(attempt, message, allowance, trace, None)
        refusal = self._hopeless(call)
        if refusal is not None:
            return self._forbid(attempt, refusal, now)
        return await self._keys.once(
            call,
            trace,
            functools.partial(self._admit, attempt, message, allowance, trace),
        )

    def _forbid(self, attempt, refusal, now):
        # A late copy of the attempt must get the same word, and never run.
        gate.record_refusal(self.table, attempt.id, refusal, now)
        return refusal

    def _hopeless(self, call):
        """Return a refusal that the gate would surely give, or None."""
        if self.table.state not in _ADMITTING:
            return _NOT_SENT
        if len(self.table.queue) > self.table.queue_limit:
            return calls.Refusal(
                errors.Ran.DID_NOT_RUN, calls.Reason.QUEUE_FULL, RETRY_S
            )
        return None

    async def _admit(self, attempt, message, allowance, trace, start):
        now = self._clock.monotonic()
        suspect = crashes.is_suspect(self._crashes, attempt.call.fingerprint)
        match gate.offer(self.table, attempt, now, suspect):
            case calls.Refused(refusal=refusal):
                return refusal
            case calls.Duplicate():
                return _FORGOTTEN
            case calls.Queued():
                refusal = await self._wait(attempt.id)
                if refusal is not None:
                    return refusal
        return await self._execute(attempt, message, allowance, trace, start)

    async def _wait(self, name):
        waiter = asyncio.get_running_loop().create_future()
        self._waiting[name] = waiter
        self.expire()
        try:
            return await waiter
        except asyncio.CancelledError:
            self._leave(name)
            raise

    def _leave(self, name):
        self._waiting.pop(name, None)
        now = self._clock.monotonic()
        if name in self.table.running:
            ending = calls.Ending.NEVER_SENT
            self.wake(gate.finish(self.table, name, ending, now))
        else:
            self.wake(gate.cancel(self.table, name, now))

    async def _execute(self, attempt, message, allowance, trace, start):
        ending = calls.Ending.CANCELLED
        began = self._clock.monotonic()
        try:
            outcome, ending = await self._ask(
                attempt.call, message, allowance, start
            )
        finally:
            now = self._clock.monotonic()
            trace.upstream += now - began
            self.wake(gate.finish(self.table, attempt.id, ending, now))
        if ending is calls.Ending.CRASHED:
            self._suspect_crash(attempt.call)
        elif ending is calls.Ending.ANSWERED:
            crashes.record_answer(self._crashes, attempt.call.fingerprint, now)
        return outcome

    async def _ask(self, call, message, allowance, start):
        """Send once; again only where that is provably safe.

        Returns:
            An `Outcome` and its `calls.Ending`.
        """
        result = await self._exchange(call, message, allowance, start)
        if not (_is_stale(result) and call.idempotent):
            return self._read(result)
        self.pool.close_idle()
        again = await self._exchange(call, message, allowance, start)
        outcome, ending = self._read(again)
        if isinstance(outcome, callserver.Answer):
            return outcome, ending
        if outcome.ran is errors.Ran.DID_NOT_RUN:
            # The first sending may have run all the same.
            return self._failed(result)
        return outcome, ending

    def _read(self, result):
        if isinstance(result, callserver.Answer):
            return self._answered(result)
        return self._failed(result)

    async def _exchange(self, call, message, allowance, start):
        pool = self.pool
        if pool is None:
            return callclient.Failure(callclient.FailureKind.REFUSED, False)
        connection = pool.take_idle()
        if connection is None:
            left = call.deadline - self._clock.monotonic()
            connection = await pool.acquire(max(0.0, left))
            if isinstance(connection, callclient.Failure):
                return connection
        now = self._clock.monotonic()
        if now >= call.deadline or (start is not None and not start()):
            pool.release(connection)
            return callclient.Failure(callclient.FailureKind.DEADLINE, False)
        head = callclient.encode_head(
            message, hops.context_headers(call, allowance, now)
        )
        bounds = callclient.ExchangeLimits(
            call.deadline, call.route.timeout.attempt
        )
        return await callclient.exchange(connection, message, head, bounds)

    def _answered(self, answer):
        if answer.status == 503 and SHED in dict(answer.headers):
            self.pool.answer_memory.release(answer.memory)
            return _SHED, calls.Ending.SHED
        answer.headers = hops.public_headers(answer.headers)
        return answer, calls.Ending.ANSWERED

    def _failed(self, failure):
        if failure.kind is callclient.FailureKind.REFUSED:
            self._set_unreachable()
        if not failure.sent:
            late = failure.kind is callclient.FailureKind.DEADLINE
            return _LATE if late else _NOT_SENT, calls.Ending.NEVER_SENT
        if failure.kind is callclient.FailureKind.SILENT:
            self._record(
                events.Event('upstream.silent', detail=self.pool.address)
            )
        refusal = calls.Refusal(
            errors.Ran.UNKNOWN,
            callclient.UNKNOWN_OUTCOME_REASONS[failure.kind],
            detail=failure.detail,
        )
        return refusal, _ENDINGS.get(failure.kind, calls.Ending.CANCELLED)

    def _set_unreachable(self):
        self._set_reachable()
        self.table.unreachable = True
        self._unreachable = asyncio.get_running_loop().call_later(
            UNREACHABLE_S, self._set_reachable
        )

    def _set_reachable(self):
        self.table.unreachable = False
        if self._unreachable is not None:
            self._unreachable.cancel()
            self._unreachable = None

    # Crashes

    def _suspect_crash(self, call):
        """Look, a moment later, whether the whole upstream is gone."""
        self._lost.append(call.fingerprint)
        if len(self._lost) == 1:
            eagertask.spawn(self._probe(), self._probed)

    def _probed(self, task):
        if task.error is not None:
            self._fail(task.error)

    async def _probe(self):
        await asyncio.sleep(CRASH_WINDOW_S)
        lost, self._lost = self._lost, []
        if self.pool is None or await self._is_alive(lost):
            return
        self._record(
            events.Event('upstream.crashed', detail=f'{len(lost)} requests')
        )
        name = f'{self._identity.vm}/{self._identity.incarnation}'
        now = self._clock.monotonic()
        for effect in crashes.record_crash(self._crashes, name, lost, now):
            self._emit(effect)

    async def _is_alive(self, lost):
        """Return whether an upstream that cut answers still runs.

        Several cut at once while none was left is a crash, even if a new
        process listens already.
        """
        if len(lost) > 1 and not self.pool.busy:
            return False
        self.pool.close_idle()
        found = await self.pool.acquire(PROBE_TIMEOUT_S)
        if isinstance(found, callclient.Failure):
            return found.kind is not callclient.FailureKind.REFUSED
        self.pool.release(found)
        return True

    def _arm(self):
        if self._expiry is not None:
            self._expiry.cancel()
            self._expiry = None
        at = gate.next_expiry(self.table)
        if at is None:
            return
        delay = max(0.0, at - self._clock.monotonic())
        loop = asyncio.get_running_loop()
        self._expiry = loop.call_later(delay, self.expire)

    def close(self):
        """Stop timers and close connections."""
        if self._expiry is not None:
            self._expiry.cancel()
        self._set_reachable()
        if self.pool is not None:
            self.pool.close()
