"""Egress: runs offered requests at this VM's own upstream.

`limiter` and `instance` decide; this module waits, sends, and judges
answers.
"""

import asyncio
import functools
import hashlib
import itertools

from jujubefold import backgroundtasks
from jujubefold import bodymemory
from jujubefold import callclient
from jujubefold import calls
from jujubefold import crashes
from jujubefold import eagertask
from jujubefold import errors
from jujubefold.sidecar import attempt as attempts
from jujubefold.sidecar import instance
from jujubefold.sidecar import limiter

# Seconds after a deadline in which the upstream's own word may still come.
ANSWER_GRACE_S = 0.1
# Bytes of answers buffered at once.
ANSWER_BYTES = 32 * 1024 * 1024
CONNECT_TIMEOUT_S = 0.5
# Connections beyond slots: those that close, and one that is being opened.
SPARE_CONNECTIONS = 4
# Seconds of rest after which a kept connection may be gone unnoticed, which
# a request that must not run twice can't find out by trying.
RESTED_S = 2.0
# Seconds in which the other connections of an upstream that crashed end.
CRASH_WINDOW_S = 0.05
SWEEP_S = 0.1
FINGERPRINT_BYTES = 16

_MS = 1000
_SUCCESS = range(200, 300)
_PROMISES = frozenset({408, 421, 429, 503})
_SHED = calls.Refusal(
    errors.Ran.DID_NOT_RUN,
    calls.Reason.UPSTREAM_SHED,
    limiter.MIN_RETRY_AFTER_S,
    'the upstream turned the request away',
)
_UNREACHED = calls.Refusal(
    errors.Ran.DID_NOT_RUN,
    calls.Reason.NO_UPSTREAM,
    limiter.MIN_RETRY_AFTER_S,
    'the upstream takes no connection',
)
_LATE = calls.Refusal(
    errors.Ran.DID_NOT_RUN,
    calls.Reason.DEADLINE,
    detail='the deadline passed before the upstream was asked',
)


class Egress:
    """The gate of one upstream.

    Args:
        names: `attempt.HeaderNames`.
        clock: A `clock.Clock`.
        me: This daemon's `vm/incarnation`, for evidence of crashes.
        drain: Seconds for which an upstream that leaves still serves.
        body_bytes: Largest answer body.
        changed: Called without arguments when slots appear or vanish.
        event_log: An `eventlog.EventLog`.
    """

    def __init__(
        self, names, clock, me, drain, body_bytes, changed, event_log
    ):
        self.slots = limiter.SlotTable()
        self.instance = instance.InstanceTable()
        self.crashes = crashes.new_table()
        self._names = names
        self._clock = clock
        self._me = me
        self._drain = drain
        self._body_bytes = body_bytes
        self._changed = changed
        self._event_log = event_log
        self._answers = bodymemory.Budget(ANSWER_BYTES)
        self._pool = None
        self._waiters = {}
        self._timer = None
        self._lost = []
        self._numbers = itertools.count(1)

    @property
    def busy(self):
        """Whether any request runs or waits."""
        return bool(self.slots.running or self.slots.waiting)

    def load(self):
        """Return the gate's `limiter.Load`."""
        return limiter.load(self.slots)

    def start(self):
        """Begin to watch over time bounds."""
        self._sweep()

    def close(self):
        """Stop timers and close connections."""
        if self._timer is not None:
            self._timer.cancel()
        if self._pool is not None:
            self._pool.close()

    # What the upstream says of itself

    def handle_announcement(self, said):
        """Take an `instance.Announcement`; return its `instance.Change`."""
        change = instance.handle_announcement(
            self.instance, said, self._clock.monotonic()
        )
        if change is instance.Change.STARTED:
            self._connect_to(said.address)
        self._note_change(change, said.id)
        return change

    def restore_departures(self, left):
        """Take what is known of upstreams that left; see `instance`."""
        instance.restore_departures(self.instance, left)
        self.refresh()

    def handle_deregistration(self, name, born):
        """Take an upstream's last word; return its `instance.Change`."""
        change = instance.handle_deregistration(
            self.instance, name, born, self._clock.monotonic()
        )
        self._note_change(change, name)
        return change

    def _note_change(self, change, name):
        if change is instance.Change.STALE:
            self._event_log.record('upstream.stale', upstream=name)
        elif change is not instance.Change.NOTHING:
            self._event_log.record(f'upstream.{change}', upstream=name)
            self.refresh()

    def _connect_to(self, address):
        if self._pool is not None:
            self._pool.retire()
        self._pool = callclient.Pool(
            address,
            self.instance.current.slots + SPARE_CONNECTIONS,
            self._clock,
            self._answers,
            self._body_bytes,
            echo=self._names.request,
            close_delimited=True,
        )

    def refresh(self):
        """Bring the slots in line with what is known of the upstream."""
        now = self._clock.monotonic()
        table = self.slots
        usable = instance.usable_slots(self.instance, now, self._drain)
        table.warmup_factor = instance.warmup_factor(self.instance, now)
        if usable == table.slots:
            return
        table.slots = usable
        if usable:
            self._wake(limiter.fill_slots(table, now))
        else:
            draining = self.instance.draining_since is not None
            reason = (
                calls.Reason.DRAINING if draining else calls.Reason.NO_UPSTREAM
            )
            self._evict(limiter.close(table, reason))
        self._changed()

    # Requests

    async def run(self, attempt):
        """Run a request at the upstream, when its turn comes.

        Args:
            attempt: An `attempt.Attempt`.

        Returns:
            An `attempt.Outcome`.
        """
        now = self._clock.monotonic()
        refusal = None
        if self.crashes.suspects:
            refusal = crashes.refusal_for(
                self.crashes, fingerprint(attempt), now
            )
        if refusal is not None:
            return self._refused(attempt, refusal)
        # The same request may come twice, so its own id does not identify it.
        name = next(self._numbers)
        request = limiter.Request(
            name,
            attempt.route,
            attempt.rank,
            attempt.arrived_at,
            attempt.objective_at,
            attempt.deadline,
            attempt.may_queue,
        )
        match limiter.acquire(self.slots, request, now):
            case calls.Refused(refusal=refusal):
                return self._refused(attempt, refusal)
            case calls.Queued():
                refusal = await self._wait(name)
                if refusal is not None:
                    return self._refused(attempt, refusal)
        outcome = await self._send(name, attempt)
        if outcome.answer is None:
            self._log('gate.failed', attempt, outcome.refusal)
        return outcome

    def _refused(self, attempt, refusal):
        if refusal.reason is not calls.Reason.NO_SLOT:
            self._log('gate.refused', attempt, refusal)
        return attempts.Outcome(refusal=refusal)

    def _log(self, event, attempt, refusal):
        now = self._clock.monotonic()
        upstream = self.instance.current
        self._event_log.record_request(
            event,
            request=attempt.request,
            route=attempt.route,
            rank=attempt.rank,
            version=attempt.version,
            reason=refusal.reason,
            ran=refusal.ran,
            detail=refusal.detail,
            waited=round(now - attempt.arrived_at, 4),
            left=round(attempt.deadline - now, 4),
            expected=round(
                limiter.expected_duration(self.slots, attempt.route), 4
            ),
            running=len(self.slots.running),
            waiting=len(self.slots.waiting),
            slots=self.slots.slots,
            upstream='' if upstream is None else upstream.id,
            sequence=0 if upstream is None else upstream.sequence,
        )

    async def _wait(self, name):
        waiter = eagertask.Waiter()
        self._waiters[name] = waiter
        self._evict(limiter.evict_overdue(self.slots, self._clock.monotonic()))
        try:
            return await waiter
        except asyncio.CancelledError:
            self._waiters.pop(name, None)
            self._release(name, learn=False)
            raise

    async def _send(self, name, attempt):
        """Send a request that holds a slot.

        Once it is sent, a request that must not run twice is not broken
        off when its caller leaves: nobody could tell how far it got.
        """
        waiter = eagertask.Waiter()
        task = eagertask.EagerTask(
            self._exchange(attempt),
            functools.partial(self._sent, name, attempt, waiter),
        )
        task.start()
        try:
            return await waiter
        except asyncio.CancelledError:
            if attempt.idempotent:
                task.cancel()
            raise

    def _sent(self, name, attempt, waiter, task):
        now = self._clock.monotonic()
        if task.error is not None:
            self._release(name, learn=False)
            if isinstance(task.error, asyncio.CancelledError):
                return
            backgroundtasks.report_exception(task.error)
            refusal = calls.Refusal(errors.Ran.UNKNOWN, calls.Reason.CANCELLED)
            outcome = attempts.Outcome(refusal=refusal, sent=True)
        else:
            outcome = task.result
            self._release(name, failed=_is_failure(outcome))
        if outcome.answer is None:
            if outcome.refusal.reason is calls.Reason.UPSTREAM_CUT:
                self._suspect_crash(fingerprint(attempt))
        elif self.crashes.suspects:
            crashes.record_answer(self.crashes, fingerprint(attempt), now)
        waiter.set_result(outcome)

    async def _exchange(self, attempt):
        now = self._clock.monotonic()
        upstream = self.instance.current
        if not instance.usable_slots(self.instance, now, self._drain):
            return attempts.Outcome(refusal=_UNREACHED)
        connection = await self._connection(attempt, now)
        if isinstance(connection, callclient.Failure):
            return self._failed(connection)
        now = self._clock.monotonic()
        if upstream.id != self.instance.current.id:
            self._pool.release(connection)
            return attempts.Outcome(refusal=_UNREACHED)
        if now >= attempt.deadline:
            self._pool.release(connection)
            return attempts.Outcome(refusal=_LATE)
        left = max(1, int((attempt.deadline - now) * _MS))
        names = self._names
        message = callclient.OutboundRequest(
            attempt.method,
            attempt.target,
            attempt.headers,
            [attempt.body] if attempt.body else [],
            len(attempt.body),
            attempt.request.encode('latin-1'),
        )
        head = callclient.encode_head(
            message,
            (
                (names.deadline, b'%d' % left),
                (names.expected_upstream, upstream.id.encode('latin-1')),
            ),
        )
        ends = attempt.deadline + ANSWER_GRACE_S
        bounds = callclient.ExchangeLimits(ends, attempt.deadline)
        result = await callclient.exchange(connection, message, head, bounds)
        if isinstance(result, callclient.Failure):
            return self._failed(result)
        self._answers.release(result.memory)
        return self._judge(attempt, result, self._clock.monotonic() - now)

    async def _connection(self, attempt, now):
        rested = callclient.IDLE_TIMEOUT_S if attempt.idempotent else RESTED_S
        connection = self._pool.take_idle(rested)
        if connection is not None:
            return connection
        left = min(CONNECT_TIMEOUT_S, attempt.deadline - now)
        return await self._pool.acquire(max(0.0, left))

    def _judge(self, attempt, answer, upstream_time):
        """Return what an answer on the upstream's connection means."""
        names = self._names
        fields = dict(answer.headers)
        if answer.status == 421 and names.seal not in fields:
            instance.mark_unreachable(self.instance)
            self.refresh()
            return attempts.Outcome(refusal=_UNREACHED, sent=True)
        if names.not_run in fields:
            return attempts.Outcome(refusal=_SHED, sent=True)
        whole = names.request in fields and (
            names.seal in fields or answer.status not in _SUCCESS
        )
        if not whole or b'content-encoding' in fields:
            return _doubt(calls.Reason.UPSTREAM_GARBLED)
        if answer.status in _PROMISES and not attempt.idempotent:
            # To the caller these would promise that it did not run.
            return _doubt(calls.Reason.UPSTREAM_FAILED)
        return attempts.Outcome(
            answer=answer, sent=True, upstream_time=upstream_time
        )

    def _failed(self, failure):
        if failure.kind is callclient.FailureKind.REFUSED:
            instance.mark_unreachable(self.instance)
            self.refresh()
        if not failure.sent:
            return attempts.Outcome(refusal=_UNREACHED)
        return _doubt(
            callclient.UNKNOWN_OUTCOME_REASONS[failure.kind], failure.detail
        )

    # Slots and waiters

    def _release(self, name, failed=False, learn=True):
        now = self._clock.monotonic()
        self._wake(limiter.release(self.slots, name, now, failed, learn))
        if self.slots.waiting:
            self._evict(limiter.evict_overdue(self.slots, now))

    def _wake(self, names):
        for name in names:
            waiter = self._waiters.pop(name, None)
            if waiter is not None:
                waiter.set_result(None)

    def _evict(self, gone):
        for name, refusal in gone:
            waiter = self._waiters.pop(name, None)
            if waiter is not None:
                waiter.set_result(refusal)

    def _sweep(self):
        now = self._clock.monotonic()
        self._evict(limiter.evict_overdue(self.slots, now))
        self.refresh()
        if self._pool is not None:
            self._pool.sweep()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(SWEEP_S, self._sweep)

    # Crashes

    def _suspect_crash(self, digest):
        self._lost.append(digest)
        if len(self._lost) == 1:
            backgroundtasks.spawn(self._look_for_crash())

    async def _look_for_crash(self):
        """See, a moment after a connection was cut, if nobody listens."""
        await asyncio.sleep(CRASH_WINDOW_S)
        lost, self._lost = self._lost, []
        found = await self._pool.acquire(CONNECT_TIMEOUT_S)
        if not isinstance(found, callclient.Failure):
            self._pool.release(found)
            return
        if found.kind is not callclient.FailureKind.REFUSED:
            return
        instance.mark_unreachable(self.instance)
        self.refresh()
        self._event_log.record('upstream.crashed', requests=len(lost))
        now = self._clock.monotonic()
        for effect in crashes.record_crash(self.crashes, self._me, lost, now):
            self._event_log.record(
                effect.event.name, detail=effect.event.detail
            )


def fingerprint(attempt):
    """Return the digest that is equal for the same request sent again."""
    found = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    found.update(attempt.method.encode())
    found.update(attempt.target)
    found.update(attempt.body)
    return found.hexdigest()


def _doubt(reason, detail=''):
    refusal = calls.Refusal(errors.Ran.UNKNOWN, reason, detail=detail)
    return attempts.Outcome(refusal=refusal, sent=True)


def _is_failure(outcome):
    if outcome.answer is not None:
        return outcome.answer.status >= 500
    return outcome.sent
