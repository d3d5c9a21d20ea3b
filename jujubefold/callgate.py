"""Call gate: queues attempts for this VM's upstream and sends them to it.

The admission decisions are made by `gate`. This module does the I/O: it
waits for admission, sends the request and reports back how it ended.
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
from jujubefold import effects
from jujubefold import errors
from jujubefold import events
from jujubefold import gate
from jujubefold import hops
from jujubefold import messages

SHED_HEADER = b'jujubefold-shed'
RETRY_AFTER_S = 1.0
OUTCOME_RETENTION_S = 30.0
MAX_RETAINED_BYTES = 16 * 1024 * 1024
MAX_RETAINED_OUTCOMES = 4096
CRASH_PROBE_DELAY_S = 0.05
PROBE_TIMEOUT_S = 0.5
# Seconds for which an upstream that refused a connection is reported as
# having no free slots, so that other daemons send it fewer calls.
UNREACHABLE_PERIOD_S = 0.25

_ADMITTING = frozenset(
    {messages.UpstreamState.WARMING, messages.UpstreamState.SERVING}
)
_UPSTREAM_SHED = calls.Refusal(
    errors.Outcome.DID_NOT_RUN,
    calls.Reason.UPSTREAM_SHED,
    RETRY_AFTER_S,
    'the upstream shed the request before running it',
)
# Without an id it may be another copy of an earlier one of its connection.
_UNIDENTIFIED_SHED = calls.Refusal(
    errors.Outcome.UNKNOWN,
    calls.Reason.UPSTREAM_GARBLED,
    detail='the upstream shed a request without saying which',
)
_NO_CONNECTION = calls.Refusal(
    errors.Outcome.DID_NOT_RUN,
    calls.Reason.NO_UPSTREAM,
    RETRY_AFTER_S,
    'no connection to the upstream is available',
)
_DEADLINE_PASSED = calls.Refusal(
    errors.Outcome.DID_NOT_RUN,
    calls.Reason.DEADLINE,
    detail='the deadline passed before the request was sent to the upstream',
)
_OUTCOME_EVICTED = calls.Refusal(
    errors.Outcome.UNKNOWN,
    calls.Reason.PEER_LOST,
    detail='the attempt ended and its answer is no longer stored',
)
_CANCELLED = calls.Refusal(
    errors.Outcome.UNKNOWN,
    calls.Reason.CANCELLED,
    detail='the attempt was cancelled',
)
_FAILURE_ENDINGS = {
    callclient.FailureKind.CUT: calls.Ending.CRASHED,
    callclient.FailureKind.SILENT: calls.Ending.SILENT,
    callclient.FailureKind.DEADLINE: calls.Ending.SILENT,
}

Outcome = callserver.Answer | calls.Refusal


@dataclasses.dataclass(slots=True)
class Progress:
    """Progress of one attempt.

    Args:
        committed: Whether the attempt must finish even if its caller
            disconnects, because its answer is recorded under the caller's
            idempotency key.
        upstream_seconds: Time that this VM's upstream took for it.
    """

    committed: bool = False
    upstream_seconds: float = 0.0


@dataclasses.dataclass(slots=True, eq=False)
class PeerAttempt:
    """An attempt received from another daemon, running or ended.

    Args:
        progress: The attempt's `Progress`.
        task: The task that runs it; None once it has ended.
        waiters: Resolved with its `Outcome`.
        outcome: The `Outcome`; None while it runs.
        ended_at: When it ended, in monotonic seconds.
        size: Size of its answer body in bytes.
    """

    progress: Progress
    task: eagertask.EagerTask | None = None
    waiters: list[eagertask.Waiter] = dataclasses.field(default_factory=list)
    outcome: object = None
    ended_at: float = 0.0
    size: int = 0


def _is_stale_connection(result):
    """Return whether a reused connection turned out to be closed."""
    return (
        isinstance(result, callclient.Failure)
        and result.reused
        and result.kind is callclient.FailureKind.CUT
    )


async def _wait_for_outcome(entry):
    if entry.outcome is not None:
        return entry.outcome
    waiter = eagertask.Waiter()
    entry.waiters.append(waiter)
    return await waiter


class CallGate:
    """Runs attempts at this VM's own upstream.

    Args:
        identity: This daemon's `identity.Identity`.
        clock: A `clock.Clock`.
        table: The `gate.GateTable`.
        crash_table: The `crashes.CrashTable`.
        keyed_calls: A `callkeys.KeyedCalls` for requests with an
            idempotency key, or None.
        new_pool: Returns a `callclient.Pool` for an address.
        record: Called with each `events.Event`.
        emit: Called with each `effects.Effect` of a decision.
        fail: Called with each unexpected exception of an attempt.
    """

    def __init__(
        self,
        *,
        identity,
        clock,
        table,
        crash_table,
        keyed_calls,
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
        self._keyed_calls = keyed_calls
        self._new_pool = new_pool
        self._record = record
        self._emit = emit
        self._fail = fail
        self._waiting = {}
        self._active = {}
        self._finished = collections.OrderedDict()
        self._finished_bytes = 0
        self._expiry_timer = None
        self._unreachable_timer = None
        self._cut_requests = []

    @property
    def running(self):
        """Ids of the attempts that hold a slot or wait for one."""
        return (*self.table.running, *self.table.queued)

    @property
    def address(self):
        """The upstream's address, `ip:port`, or None."""
        return None if self.pool is None else self.pool.address

    def set_address(self, address):
        """Replace the upstream's address.

        Requests under way finish over the old connections.

        Args:
            address: `ip:port`, or None for no upstream.
        """
        if address == self.address:
            return
        self._set_reachable()
        old = self.pool
        self.pool = None if address is None else self._new_pool(address)
        if old is not None:
            old.retire()

    def resume_queued(self, admitted):
        """Resume attempts that the gate admitted from its queue.

        Args:
            admitted: Tuple of `calls.AttemptId`.
        """
        for attempt_id in admitted:
            waiter = self._waiting.pop(attempt_id, None)
            if waiter is not None and not waiter.done():
                waiter.set_result(None)

    def expire_queued(self):
        """Refuse attempts evicted from the queue; schedule the next check."""
        for expired in gate.expire(self.table, self._clock.monotonic()):
            waiter = self._waiting.pop(expired.attempt, None)
            if waiter is not None and not waiter.done():
                waiter.set_result(expired.refusal)
        self._schedule_expiry()

    # Attempts of other daemons. A sender that lost its connection may ask
    # for the outcome again.

    async def join_or_run(self, attempt, message, allowance):
        """Run another daemon's attempt, or wait for it if known already.

        Args:
            attempt: A `calls.Attempt`.
            message: The `callclient.ClientRequest` for the upstream.
            allowance: Retries that nested calls may make.

        Returns:
            An `Outcome`.
        """
        entry = self._find(attempt.id)
        if entry is None:
            entry = self._start_attempt(attempt, message, allowance)
        return await _wait_for_outcome(entry)

    async def join_or_bar(self, attempt_id):
        """Wait for a known attempt's outcome, or bar it from ever running.

        Args:
            attempt_id: A `calls.AttemptId`.

        Returns:
            An `Outcome`.
        """
        entry = self._find(attempt_id)
        if entry is not None:
            return await _wait_for_outcome(entry)
        if self.bar(attempt_id) is gate.BarState.BARRED:
            return calls.Refusal(
                errors.Outcome.DID_NOT_RUN,
                calls.Reason.BARRED,
                detail='the attempt had not started and will not be run',
            )
        return _OUTCOME_EVICTED

    def bar(self, attempt_id):
        """Bar an attempt that has not started from ever running.

        Args:
            attempt_id: A `calls.AttemptId`.

        Returns:
            A `gate.BarState`.
        """
        state = gate.bar(self.table, attempt_id, self._clock.monotonic())
        self.expire_queued()
        return state

    def cancel(self, attempt_id):
        """Cancel an attempt whose caller disconnected, unless committed."""
        entry = self._active.get(attempt_id)
        if entry is not None:
            if not entry.progress.committed:
                entry.task.cancel()
        elif attempt_id not in self._finished:
            self.resume_queued(
                gate.cancel(self.table, attempt_id, self._clock.monotonic())
            )

    def _find(self, attempt_id):
        return self._active.get(attempt_id) or self._finished.get(attempt_id)

    def discard_outcome(self, attempt_id):
        """Discard a stored outcome that the sender has received."""
        entry = self._finished.pop(attempt_id, None)
        if entry is not None:
            self._finished_bytes -= entry.size

    def _start_attempt(self, attempt, message, allowance):
        entry = PeerAttempt(Progress())
        self._active[attempt.id] = entry
        entry.task = eagertask.EagerTask(
            self.run(attempt, message, allowance, entry.progress),
            functools.partial(self._finish_attempt, attempt.id, entry),
        )
        entry.task.start()
        return entry

    def _finish_attempt(self, attempt_id, entry, task):
        del self._active[attempt_id]
        entry.task = None
        entry.ended_at = self._clock.monotonic()
        entry.outcome = self._outcome_of(task)
        if isinstance(entry.outcome, callserver.Answer):
            entry.size = entry.outcome.size
            self._finished_bytes += entry.size
        self._finished[attempt_id] = entry
        self._evict_outcomes()
        waiters, entry.waiters = entry.waiters, []
        for waiter in waiters:
            waiter.set_result(entry.outcome)

    def _outcome_of(self, task):
        if task.error is None:
            return task.result
        if not isinstance(task.error, asyncio.CancelledError):
            self._fail(task.error)
        return _CANCELLED

    def _evict_outcomes(self):
        """Evict outcomes over the limits, oldest first, but not the newest."""
        oldest = self._clock.monotonic() - OUTCOME_RETENTION_S
        while len(self._finished) > 1:
            attempt_id, entry = next(iter(self._finished.items()))
            full = (
                self._finished_bytes > MAX_RETAINED_BYTES
                or len(self._finished) > MAX_RETAINED_OUTCOMES
            )
            if not full and entry.ended_at > oldest:
                return
            del self._finished[attempt_id]
            self._finished_bytes -= entry.size

    # One attempt

    async def run(self, attempt, message, allowance, progress):
        """Admit an attempt and run it.

        Args:
            attempt: A `calls.Attempt` not passed to this method before.
            message: The `callclient.ClientRequest` for the upstream.
            allowance: Retries that nested calls may make.
            progress: A `Progress`, updated here.

        Returns:
            An `Outcome`.
        """
        call = attempt.call
        now = self._clock.monotonic()
        refusal = crashes.refusal_for(self._crashes, call.fingerprint, now)
        if refusal is not None:
            return self._record_refusal(attempt, refusal, now)
        if not call.key or call.idempotent or self._keyed_calls is None:
            return await self._admit(
                attempt, message, allowance, progress, None
            )
        refusal = self._certain_refusal(call)
        if refusal is not None:
            return self._record_refusal(attempt, refusal, now)
        return await self._keyed_calls.run_once(
            call,
            progress,
            functools.partial(
                self._admit, attempt, message, allowance, progress
            ),
        )

    def _record_refusal(self, attempt, refusal, now):
        # A late duplicate must get the same refusal and never run.
        gate.record_refusal(self.table, attempt.id, refusal, now)
        return refusal

    def _certain_refusal(self, call):
        """Return the refusal that the gate is certain to give, or None.

        Checked before the idempotency key is claimed, so that a request
        that cannot run claims nothing.
        """
        if self.table.state not in _ADMITTING:
            return _NO_CONNECTION
        if len(self.table.queue) > self.table.queue_limit:
            return calls.Refusal(
                errors.Outcome.DID_NOT_RUN,
                calls.Reason.QUEUE_FULL,
                RETRY_AFTER_S,
            )
        return None

    async def _admit(self, attempt, message, allowance, progress, may_send):
        now = self._clock.monotonic()
        suspect = crashes.is_suspect(self._crashes, attempt.call.fingerprint)
        match gate.offer(self.table, attempt, now, suspect):
            case calls.Refused(refusal=refusal):
                return refusal
            case calls.Duplicate():
                return _OUTCOME_EVICTED
            case calls.Queued():
                refusal = await self._wait_in_queue(attempt.id)
                if refusal is not None:
                    return refusal
        return await self._execute(
            attempt, message, allowance, progress, may_send
        )

    async def _wait_in_queue(self, attempt_id):
        waiter = asyncio.get_running_loop().create_future()
        self._waiting[attempt_id] = waiter
        self.expire_queued()
        try:
            return await waiter
        except asyncio.CancelledError:
            self._leave_queue(attempt_id)
            raise

    def _leave_queue(self, attempt_id):
        self._waiting.pop(attempt_id, None)
        now = self._clock.monotonic()
        if attempt_id in self.table.running:
            ending = calls.Ending.NEVER_SENT
            self.resume_queued(
                gate.finish(self.table, attempt_id, ending, now)
            )
        else:
            self.resume_queued(gate.cancel(self.table, attempt_id, now))

    async def _execute(self, attempt, message, allowance, progress, may_send):
        ending = calls.Ending.CANCELLED
        began = self._clock.monotonic()
        try:
            outcome, ending = await self._send(
                attempt.call, message, allowance, may_send
            )
        finally:
            now = self._clock.monotonic()
            progress.upstream_seconds += now - began
            self.resume_queued(
                gate.finish(self.table, attempt.id, ending, now)
            )
        if ending is calls.Ending.CRASHED:
            self._schedule_crash_probe(attempt.call)
        elif ending is calls.Ending.ANSWERED:
            crashes.record_answer(self._crashes, attempt.call.fingerprint, now)
        return outcome

    async def _send(self, call, message, allowance, may_send):
        """Send a request and classify the result.

        An idempotent request is sent again if its reused connection turned
        out to be closed.

        Returns:
            An `Outcome` and its `calls.Ending`.
        """
        result = await self._exchange(call, message, allowance, may_send)
        if not (_is_stale_connection(result) and call.idempotent):
            return self._classify(result)
        self.pool.close_idle()
        second = await self._exchange(call, message, allowance, may_send)
        outcome, ending = self._classify(second)
        if isinstance(outcome, callserver.Answer):
            return outcome, ending
        if outcome.ran is errors.Outcome.DID_NOT_RUN:
            # The first attempt may have run even if the second did not.
            return self._classify_failure(result)
        return outcome, ending

    def _classify(self, result):
        if isinstance(result, callserver.Answer):
            return self._classify_answer(result)
        return self._classify_failure(result)

    async def _exchange(self, call, message, allowance, may_send):
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
        if now >= call.deadline or (may_send is not None and not may_send()):
            pool.release(connection)
            return callclient.Failure(callclient.FailureKind.DEADLINE, False)
        message = dataclasses.replace(
            message, echo_id=call.request.encode('latin-1')
        )
        head = callclient.encode_head(
            message, hops.context_headers(call, allowance, now)
        )
        bounds = callclient.ExchangeLimits(
            call.deadline, call.route.timeout.attempt
        )
        return await callclient.exchange(connection, message, head, bounds)

    def _classify_answer(self, answer):
        fields = dict(answer.headers)
        if answer.status == 503 and SHED_HEADER in fields:
            self.pool.answer_memory.release(answer.memory)
            if answer.reused and calls.REQUEST_ID.encode() not in fields:
                return _UNIDENTIFIED_SHED, calls.Ending.CANCELLED
            return _UPSTREAM_SHED, calls.Ending.SHED
        answer.headers = hops.public_headers(answer.headers)
        return answer, calls.Ending.ANSWERED

    def _classify_failure(self, failure):
        if failure.kind is callclient.FailureKind.REFUSED:
            self._set_unreachable()
        if not failure.sent:
            late = failure.kind is callclient.FailureKind.DEADLINE
            return (
                _DEADLINE_PASSED if late else _NO_CONNECTION,
                calls.Ending.NEVER_SENT,
            )
        if failure.kind is callclient.FailureKind.SILENT:
            self._record(
                events.Event('upstream.silent', detail=self.pool.address)
            )
        refusal = calls.Refusal(
            errors.Outcome.UNKNOWN,
            callclient.UNKNOWN_OUTCOME_REASONS[failure.kind],
            detail=failure.detail,
        )
        return refusal, _FAILURE_ENDINGS.get(
            failure.kind, calls.Ending.CANCELLED
        )

    def _set_unreachable(self):
        self._set_reachable()
        self.table.unreachable = True
        self._unreachable_timer = asyncio.get_running_loop().call_later(
            UNREACHABLE_PERIOD_S, self._set_reachable
        )

    def _set_reachable(self):
        self.table.unreachable = False
        if self._unreachable_timer is not None:
            self._unreachable_timer.cancel()
            self._unreachable_timer = None

    # Crashes

    def _schedule_crash_probe(self, call):
        """Check after a short delay whether the upstream process crashed.

        Requests cut during the delay are counted to the same crash.
        """
        self._cut_requests.append(call.fingerprint)
        if len(self._cut_requests) == 1:
            eagertask.spawn(self._probe_upstream(), self._probe_ended)

    def _probe_ended(self, task):
        if task.error is not None:
            self._fail(task.error)

    async def _probe_upstream(self):
        await asyncio.sleep(CRASH_PROBE_DELAY_S)
        cut_requests, self._cut_requests = self._cut_requests, []
        if self.pool is None or await self._is_upstream_alive(cut_requests):
            return
        self._record(
            events.Event(
                'upstream.crashed', detail=f'{len(cut_requests)} requests'
            )
        )
        upstream_id = f'{self._identity.vm}/{self._identity.incarnation}'
        now = self._clock.monotonic()
        for event in crashes.record_crash(
            self._crashes, upstream_id, cut_requests, now
        ):
            self._emit(effects.RecordEvent(event))

    async def _is_upstream_alive(self, cut_requests):
        """Return whether the upstream still runs after it cut answers.

        Several answers cut at once with no request left running count as a
        crash, even if a new upstream process already accepts connections.
        """
        if len(cut_requests) > 1 and not self.pool.busy:
            return False
        self.pool.close_idle()
        found = await self.pool.acquire(PROBE_TIMEOUT_S)
        if isinstance(found, callclient.Failure):
            return found.kind is not callclient.FailureKind.REFUSED
        self.pool.release(found)
        return True

    def _schedule_expiry(self):
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
            self._expiry_timer = None
        at = gate.next_expiry(self.table)
        if at is None:
            return
        delay = max(0.0, at - self._clock.monotonic())
        loop = asyncio.get_running_loop()
        self._expiry_timer = loop.call_later(delay, self.expire_queued)

    def close(self):
        """Stop the timers and close all connections to the upstream."""
        if self._expiry_timer is not None:
            self._expiry_timer.cancel()
        self._set_reachable()
        if self.pool is not None:
            self.pool.close()
