"""Egress: the gate that forwards requests to this VM's own upstream.

`limiter` decides which requests are admitted and `instance` whether the
upstream may be used; this module does the input and output for them.
"""

import asyncio
import collections
import dataclasses
import functools
import itertools
import math

from jujubefold import backgroundtasks
from jujubefold import bodymemory
from jujubefold import callclient
from jujubefold import calls
from jujubefold import crashes
from jujubefold import eagertask
from jujubefold import errors
from jujubefold.sidecar import answers
from jujubefold.sidecar import attempt as attempts
from jujubefold.sidecar import balancer
from jujubefold.sidecar import calldemand
from jujubefold.sidecar import capacitylearner
from jujubefold.sidecar import instance
from jujubefold.sidecar import limiter
from jujubefold.sidecar import pace

# Seconds after the deadline during which an upstream's answer is accepted.
ANSWER_GRACE_S = 0.1
# Maximum bytes of answers buffered at the same time.
ANSWER_BUFFER_BYTES = 32 * 1024 * 1024
CONNECT_TIMEOUT_S = 0.5
# Connections allowed in addition to one for each slot: those being closed,
# and one being opened.
SPARE_CONNECTIONS = 4
# Seconds that a connection may be idle to be reused for a request that is
# not idempotent. The upstream may have closed an older one unnoticed, and
# such a request can't be sent again to find out.
MAX_IDLE_BEFORE_REUSE_S = 2.0
# Seconds within which a crashed upstream's remaining connections close.
CRASH_WINDOW_S = 0.05
SWEEP_S = 0.1
MAX_LOGGED_BYTES = 40

_LEAVING = b'1'
_MS = 1000
_DEADLINE_PASSED = calls.Refusal(
    errors.Outcome.DID_NOT_RUN,
    calls.Reason.DEADLINE,
    detail='the deadline passed before the request was sent to the upstream',
)


class Egress:
    """Admits requests to one upstream, sends them, and detects its crashes.

    Args:
        names: `attempt.HeaderNames`.
        clock: A `clock.Clock`.
        daemon_id: This daemon's `vm/incarnation`, which names it in crash
            reports.
        drain_seconds: Seconds for which an upstream that is leaving may
            still be sent requests.
        max_body_bytes: Maximum size of an answer body.
        on_slots_changed: Called without arguments when the number of usable
            slots changes.
        on_leaving: Called with the `instance.Announcement` of an upstream
            when its answer says that it leaves.
        event_log: An `eventlog.EventLog`.
        learns_capacity: Whether to learn how many requests the upstream
            handles well at once.

    Attributes:
        fetch_backlog: As in `limiter.Load`; set by the peer server.
        rollout_gate: The `rolloutgate.RolloutGate`; None without rollouts.
        demand: The `calldemand.DemandTable` of the upstream's runs.
        candidates: Returns each `balancer.Candidate` of a service; set by the
            fleet.
    """

    def __init__(
        self,
        names,
        clock,
        daemon_id,
        drain_seconds,
        max_body_bytes,
        on_slots_changed,
        on_leaving,
        event_log,
        learns_capacity=False,
    ):
        self.slot_table = limiter.SlotTable()
        self.instance_table = instance.InstanceTable()
        self.crashes = crashes.new_table()
        self.fetch_backlog = 0.0
        self.rollout_gate = None
        self._track = 0
        self.demand = calldemand.DemandTable()
        self.candidates = lambda service: ()
        self._names = names
        self._clock = clock
        self._daemon_id = daemon_id
        self._drain_seconds = drain_seconds
        self._max_body_bytes = max_body_bytes
        self._on_slots_changed = on_slots_changed
        self._on_leaving = on_leaving
        self._event_log = event_log
        self._capacity = capacitylearner.CapacityLearner(
            learns_capacity, self.slot_table, event_log
        )
        self._answers = bodymemory.Budget(ANSWER_BUFFER_BYTES)
        self._pool = None
        # Pools of earlier starts of the upstream, until their last exchange
        # has ended.
        self._retired_pools = []
        self._waiters = {}
        # Requests that hold a slot and were not resumed yet.
        self._admitted = collections.deque()
        self._resuming = False
        self._timer = None
        self._paced_timer = None
        self._cut_fingerprints = []
        self._request_keys = itertools.count(1)

    @property
    def pool(self):
        """The `callclient.Pool` of the current upstream, or None."""
        return self._pool

    @property
    def busy(self):
        """Whether any request is running or queued."""
        return bool(self.slot_table.running or self.slot_table.waiting)

    def load(self):
        """Return the gate's `limiter.Load`."""
        return limiter.load(
            self.slot_table,
            self._clock.monotonic(),
            self.fetch_backlog,
            self._track,
        )

    @property
    def offered_slots(self):
        """Slots that the upstream offers, closed by a rollout or not."""
        return instance.usable_slots(
            self.instance_table, self._clock.boottime(), self._drain_seconds
        )

    def _rollout_closed(self):
        """Return why a rollout closes the gate now; empty if it does not."""
        if self.rollout_gate is None:
            return ''
        return self.rollout_gate.admission(self.instance_table.current).closed

    def start(self):
        """Start the periodic check of queued requests and connections."""
        self._sweep()

    def close(self):
        """Stop timers and close connections."""
        for timer in (self._timer, self._paced_timer):
            if timer is not None:
                timer.cancel()
        for pool in self._pools():
            pool.close()

    # The upstream's state

    def handle_announcement(self, announcement):
        """Apply an `instance.Announcement`; return the `instance.Change`."""
        change = instance.handle_announcement(
            self.instance_table, announcement, self._clock.boottime()
        )
        if change is instance.Change.STARTED:
            self._connect_to(announcement.address)
            self._set_rate(None)
            self._capacity.reset()
        self._apply_change(change, announcement.id)
        return change

    def restore_departures(self, departures):
        """Restore the recorded departures of upstreams; see `instance`."""
        instance.restore_departures(self.instance_table, departures)
        self.update_slots()

    def handle_deregistration(self, upstream_id, born):
        """Apply an upstream's deregistration; return the `instance.Change`."""
        change = instance.handle_deregistration(
            self.instance_table, upstream_id, born, self._clock.boottime()
        )
        self._apply_change(change, upstream_id)
        return change

    def _apply_change(self, change, upstream_id):
        if change is instance.Change.STALE:
            self._event_log.record('upstream.stale', upstream=upstream_id)
        elif change is not instance.Change.NOTHING:
            self._event_log.record(f'upstream.{change}', upstream=upstream_id)
            self.update_slots()

    def _connect_to(self, address):
        if self._pool is not None:
            self._pool.retire()
            self._retired_pools.append(self._pool)
        self._pool = callclient.Pool(
            address,
            self.instance_table.current.slots + SPARE_CONNECTIONS,
            self._clock,
            self._answers,
            self._max_body_bytes,
            id_field=self._names.request,
            close_delimited=True,
        )

    def _pools(self):
        if self._pool is None:
            return ()
        return (*self._retired_pools, self._pool)

    def update_slots(self):
        """Update the usable slots and the warm-up factor of the upstream."""
        now = self._clock.monotonic()
        table = self.slot_table
        usable = self.offered_slots
        closed, track = '', 0
        if self.rollout_gate is not None:
            found = self.rollout_gate.admission(self.instance_table.current)
            closed, track = found.closed, found.track
        if closed:
            usable = 0
        table.warmup_factor = instance.warmup_factor(
            self.instance_table, self._clock.boottime()
        )
        self._capacity.set_slots(usable)
        if (usable, track) == (table.slots, self._track):
            return
        table.slots = usable
        self._track = track
        if usable:
            self._wake(limiter.fill_slots(table, now))
        else:
            draining = self.instance_table.draining_since is not None
            reason = (
                calls.Reason.DRAINING if draining else calls.Reason.NO_UPSTREAM
            )
            self._evict(limiter.close(table, reason, closed))
        self._on_slots_changed()

    # Requests

    async def run(self, attempt):
        """Send a request to the upstream once a slot is free.

        Args:
            attempt: An `attempt.Attempt`.

        Returns:
            An `attempt.Outcome`.
        """
        now = self._clock.monotonic()
        refusal = None
        if self.crashes.suspects:
            attempt.body.fetch()
            await attempt.body.read()
            refusal = crashes.refusal_for(
                self.crashes, attempts.fingerprint(attempt), now
            )
        if refusal is None:
            refusal = calldemand.refusal_for_parent(
                self.demand, attempt, self._call_wait, now
            )
        if refusal is not None:
            return self._refuse(attempt, refusal)
        # A request may be offered twice, so its id can't be the key.
        key = next(self._request_keys)
        request = limiter.Request(
            key,
            attempt.route,
            attempt.rank,
            attempt.arrived_at,
            attempt.objective_at,
            attempt.deadline,
            attempt.may_queue,
            attempt.call,
        )
        if not attempt.body.complete:
            refusal = limiter.refusal_for_fetch(
                self.slot_table, request, attempt.body.fetch_seconds, now
            )
            if refusal is not None:
                return self._refuse(attempt, refusal)
            attempt.body.fetch()
            await attempt.body.read()
            now = self._clock.monotonic()
            # Once its body is here, it may wait here.
            request = dataclasses.replace(request, may_queue=True)
        match limiter.acquire(self.slot_table, request, now):
            case calls.Refused(refusal=refusal):
                return self._refuse(attempt, refusal)
            case calls.Queued():
                refusal = await self._wait(key)
                if refusal is not None:
                    return self._refuse(attempt, refusal)
        outcome = await self._send(key, attempt)
        if outcome.answer is None:
            self._log_refusal('gate.failed', attempt, outcome.refusal)
        return outcome

    def _call_wait(self, service):
        """Return the seconds that a call to a service is assumed to wait."""
        now = self._clock.monotonic()
        return calldemand.assumed_wait(
            [
                balancer.expected_wait(candidate, now, call=True)
                for candidate in self.candidates(service)
                if candidate.reachable and candidate.load.slots
            ]
        )

    def _refuse(self, attempt, refusal):
        if refusal.reason is calls.Reason.NO_UPSTREAM and not refusal.detail:
            refusal = dataclasses.replace(
                refusal, detail=self._rollout_closed()
            )
        if refusal.reason is not calls.Reason.NO_SLOT:
            self._log_refusal('gate.refused', attempt, refusal)
        return attempts.Outcome(refusal=refusal)

    def _log_refusal(self, event, attempt, refusal):
        now = self._clock.monotonic()
        upstream = self.instance_table.current
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
                limiter.expected_duration(self.slot_table, attempt.route), 4
            ),
            running=len(self.slot_table.running),
            waiting=len(self.slot_table.waiting),
            slots=self.slot_table.slots,
            limit=self.instance_table.limit,
            upstream='' if upstream is None else upstream.id,
            sequence=0 if upstream is None else upstream.sequence,
        )

    async def _wait(self, key):
        waiter = eagertask.Waiter()
        self._waiters[key] = waiter
        self._evict(
            limiter.evict_overdue(self.slot_table, self._clock.monotonic())
        )
        self._schedule_paced_start()
        try:
            return await waiter
        except asyncio.CancelledError:
            self._waiters.pop(key, None)
            self._release(key, learn=False)
            raise

    async def _send(self, key, attempt):
        """Send a request that holds a slot, and wait for its outcome.

        A request that is not idempotent is not cancelled when its caller
        leaves, because how far it ran would be unknown.
        """
        calldemand.start_run(
            self.demand,
            attempt.request,
            attempt.route,
            attempt.rank,
            attempt.deadline,
            self._clock.monotonic(),
        )
        waiter = eagertask.Waiter()
        task = eagertask.EagerTask(
            self._forward(attempt),
            functools.partial(self._finish, key, attempt, waiter),
        )
        task.start()
        try:
            return await waiter
        except asyncio.CancelledError:
            if attempt.idempotent:
                task.cancel()
            raise

    def _finish(self, key, attempt, waiter, task):
        now = self._clock.monotonic()
        succeeded = (
            task.error is None
            and task.result.answer is not None
            and not task.result.failed
        )
        waited = calldemand.end_run(
            self.demand, attempt.request, now, succeeded
        )
        if succeeded:
            self._capacity.record(key, waited, now)
        if task.error is not None:
            self._release(key, learn=False)
            if isinstance(task.error, asyncio.CancelledError):
                return
            backgroundtasks.report_exception(task.error)
            refusal = calls.Refusal(
                errors.Outcome.UNKNOWN, calls.Reason.CANCELLED
            )
            outcome = attempts.Outcome(refusal=refusal, sent=True)
        else:
            outcome = task.result
            self._release(key, failed=outcome.failed)
        if outcome.answer is None:
            if outcome.refusal.reason is calls.Reason.UPSTREAM_CUT:
                self._suspect_crash(attempts.fingerprint(attempt))
        elif self.crashes.suspects:
            crashes.record_answer(
                self.crashes, attempts.fingerprint(attempt), now
            )
        waiter.set_result(outcome)

    async def _forward(self, attempt):
        body = attempt.body.data
        now = self._clock.monotonic()
        upstream = self.instance_table.current
        if not self.offered_slots:
            return attempts.Outcome(refusal=answers.UNREACHABLE)
        connection = await self._take_connection(attempt, now)
        if isinstance(connection, callclient.Failure):
            return self._interpret_failure(connection)
        now = self._clock.monotonic()
        if (
            upstream.id != self.instance_table.current.id
            or not self.offered_slots
        ):
            self._pool.release(connection)
            return attempts.Outcome(refusal=answers.UNREACHABLE)
        if now >= attempt.deadline:
            self._pool.release(connection)
            return attempts.Outcome(refusal=_DEADLINE_PASSED)
        closed = self._rollout_closed()
        if closed:
            self._pool.release(connection)
            refusal = dataclasses.replace(answers.UNREACHABLE, detail=closed)
            return attempts.Outcome(refusal=refusal)
        remaining_ms = max(1, int((attempt.deadline - now) * _MS))
        names = self._names
        message = callclient.ClientRequest(
            attempt.method,
            attempt.target,
            attempt.headers,
            [body] if body else [],
            len(body),
            attempt.request.encode('latin-1'),
        )
        head = callclient.encode_head(
            message,
            (
                (names.deadline, b'%d' % remaining_ms),
                (names.expected_upstream, upstream.id.encode('latin-1')),
            ),
        )
        exchange = self._exchange(attempt, upstream, connection, message, head)
        if self.rollout_gate is None:
            return await exchange
        return await self.rollout_gate.observe(
            upstream,
            attempt,
            instance.warmup_factor(self.instance_table, self._clock.boottime())
            == 1.0,
            exchange,
        )

    async def _exchange(self, attempt, upstream, connection, message, head):
        """Send a request on a connection and wait for its outcome."""
        now = self._clock.monotonic()
        answer_deadline = attempt.deadline + ANSWER_GRACE_S
        # Silence is no reason to end a request before its deadline.
        bounds = callclient.ExchangeLimits(answer_deadline, math.inf)
        sent_at = self._clock.boottime()
        result = await callclient.exchange(connection, message, head, bounds)
        if isinstance(result, callclient.Failure):
            return self._interpret_failure(result)
        self._answers.release(result.memory)
        outcome = answers.interpret(
            result,
            attempt,
            self._names,
            self._clock.monotonic() - now,
        )
        if outcome.refusal is answers.UNREACHABLE:
            instance.mark_unreachable(self.instance_table)
            self.update_slots()
        fields = dict(result.headers)
        if (
            self._names.request in fields
            and outcome.refusal != answers.UNREACHABLE
        ):
            self._read_limit(upstream, fields, sent_at)
            if fields.get(self._names.leaving) == _LEAVING:
                self._upstream_leaves(upstream)
        return outcome

    async def _take_connection(self, attempt, now):
        max_idle = (
            callclient.IDLE_TIMEOUT_S
            if attempt.idempotent
            else MAX_IDLE_BEFORE_REUSE_S
        )
        connection = self._pool.take_idle(max_idle)
        if connection is not None:
            return connection
        timeout = min(CONNECT_TIMEOUT_S, attempt.deadline - now)
        return await self._pool.acquire(max(0.0, timeout))

    def _upstream_leaves(self, upstream):
        change = instance.handle_leaving(
            self.instance_table, upstream, self._clock.boottime()
        )
        self._apply_change(change, upstream.id)
        if change is instance.Change.LEAVING:
            self._on_leaving(upstream)

    def _read_limit(self, upstream, fields, sent_at):
        """Apply the limit that the upstream names in an answer, if any.

        Args:
            upstream: The `instance.Announcement` of the upstream that the
                request was sent to.
            fields: Headers of its answer, by lower-case name.
            sent_at: `boottime` seconds at which the request was sent.
        """
        table = self.instance_table
        limit = None
        value = fields.get(self._names.limit)
        if value is not None:
            limit = instance.parse_limit(value)
            if limit is None:
                # The upstream is in need, so its last limit is kept.
                limit = table.limit
                self._event_log.record(
                    'upstream.limit_invalid',
                    upstream=upstream.id,
                    value=value[:MAX_LOGGED_BYTES].decode('latin-1'),
                )
        before = table.limit
        change = instance.handle_limit(
            table,
            upstream,
            limit,
            sent_at,
            self._clock.boottime(),
        )
        if change is instance.Change.LIMITED:
            self._event_log.record(
                'upstream.limited',
                upstream=upstream.id,
                limit=limit,
                before=before,
            )
            self._set_rate(limit)

    def _set_rate(self, per_second):
        now = self._clock.monotonic()
        pace.set_rate(self.slot_table.pace, per_second, now)
        self._wake(limiter.fill_slots(self.slot_table, now))
        self._schedule_paced_start()

    def _schedule_paced_start(self):
        """Set a timer for when the rate limit lets a queued request start."""
        if self._paced_timer is not None:
            self._paced_timer.cancel()
            self._paced_timer = None
        delay = limiter.paced_delay(self.slot_table, self._clock.monotonic())
        if delay is not None:
            loop = asyncio.get_running_loop()
            self._paced_timer = loop.call_later(delay, self._start_paced)

    def _start_paced(self):
        now = self._clock.monotonic()
        self._wake(limiter.fill_slots(self.slot_table, now))
        self._schedule_paced_start()

    def _interpret_failure(self, failure):
        if failure.kind is callclient.FailureKind.REFUSED:
            instance.mark_unreachable(self.instance_table)
            self.update_slots()
        if not failure.sent:
            return attempts.Outcome(refusal=answers.UNREACHABLE)
        return attempts.unknown_outcome(
            callclient.UNKNOWN_OUTCOME_REASONS[failure.kind], failure.detail
        )

    # Slots and waiters

    def _release(self, key, failed=False, learn=True):
        now = self._clock.monotonic()
        self._wake(limiter.release(self.slot_table, key, now, failed, learn))
        if self.slot_table.waiting:
            self._evict(limiter.evict_overdue(self.slot_table, now))
            self._schedule_paced_start()

    def _wake(self, keys):
        """Resume requests that were admitted, one after the other.

        One that ends at once frees its slot for the next one, which is resumed
        here and not within it: the queue may be longer than the stack.
        """
        self._admitted.extend(keys)
        if self._resuming:
            return
        self._resuming = True
        try:
            while self._admitted:
                waiter = self._waiters.pop(self._admitted.popleft(), None)
                if waiter is not None:
                    waiter.set_result(None)
        finally:
            self._resuming = False

    def _evict(self, refusals):
        for key, refusal in refusals:
            waiter = self._waiters.pop(key, None)
            if waiter is not None:
                waiter.set_result(refusal)

    def _sweep(self):
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(SWEEP_S, self._sweep)
        guarded = backgroundtasks.run_guarded
        guarded(self._evict_overdue)
        guarded(self.update_slots)
        for pool in self._pools():
            guarded(pool.sweep)
        self._retired_pools = [
            item for item in self._retired_pools if item.size
        ]

    def _evict_overdue(self):
        now = self._clock.monotonic()
        self._evict(limiter.evict_overdue(self.slot_table, now))

    # Crashes

    def _suspect_crash(self, request_fingerprint):
        self._cut_fingerprints.append(request_fingerprint)
        if len(self._cut_fingerprints) == 1:
            backgroundtasks.spawn(self._detect_crash())

    async def _detect_crash(self):
        """Report a crash if the upstream refuses connections.

        Runs once for all connections cut within `CRASH_WINDOW_S`.
        """
        await asyncio.sleep(CRASH_WINDOW_S)
        fingerprints, self._cut_fingerprints = self._cut_fingerprints, []
        connection = await self._pool.acquire(CONNECT_TIMEOUT_S)
        if not isinstance(connection, callclient.Failure):
            self._pool.release(connection)
            return
        if connection.kind is not callclient.FailureKind.REFUSED:
            return
        instance.mark_unreachable(self.instance_table)
        self.update_slots()
        self._event_log.record('upstream.crashed', requests=len(fingerprints))
        now = self._clock.monotonic()
        for event in crashes.record_crash(
            self.crashes, self._daemon_id, fingerprints, now
        ):
            self._event_log.record(event.name, detail=event.detail)
