"""Call flow: forwards callers' requests, retries them and sends answers."""

import asyncio
import dataclasses
import functools
import itertools

from jujubefold import bodymemory
from jujubefold import budget
from jujubefold import callclient
from jujubefold import callgate
from jujubefold import callhandler
from jujubefold import callkeys
from jujubefold import callrequests
from jujubefold import callretries
from jujubefold import calls
from jujubefold import callserver
from jujubefold import crashes
from jujubefold import dispatch
from jujubefold import eagertask
from jujubefold import errors
from jujubefold import events
from jujubefold import gate
from jujubefold import hopexchange
from jujubefold import hophandler
from jujubefold import hops
from jujubefold import problems
from jujubefold import routing

SWEEP_INTERVAL_S = 0.05
IDLE_SWEEP_INTERVAL_S = 0.25
DRAIN_POLL_S = 0.02
# Shortest drain, unless the grace period is shorter. Requests that arrive in
# this time over open connections are refused; without it they would be lost
# when the ports close.
MIN_DRAIN_S = 0.3
# Added to the caller's deadline, so that the other daemon's own refusal
# arrives before this daemon gives up waiting.
PEER_DEADLINE_MARGIN_S = 0.05
MAX_REJOINS = 4
REJOIN_INTERVAL_S = 0.05
PEER_CONNECTIONS = 16
UNROUTED_BODY_LIMIT = 64 * 1024

_DEADLINE_PASSED = calls.Refusal(
    errors.Outcome.UNKNOWN,
    calls.Reason.DEADLINE,
    detail='the deadline passed before the answer came',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Resource limits and timeouts of one daemon's call path.

    Args:
        request_bytes: Total size of request bodies buffered at once.
        answer_bytes: Total size of answer bodies buffered at once.
        body_bytes: Largest body, whatever limit a route allows.
        upstream_connections: Most connections to this VM's upstream.
        timeouts: Timeouts for requests and answers of callers.
        peer_silence: Seconds without data after which a connection to
            another daemon is considered lost. A daemon that works on a
            request sends a heartbeat every `callserver.HEARTBEAT_S`.
    """

    request_bytes: int = 64 * 1024 * 1024
    answer_bytes: int = 48 * 1024 * 1024
    body_bytes: int = 32 * 1024 * 1024
    upstream_connections: int = 110
    timeouts: callserver.Timeouts = callserver.Timeouts()
    peer_silence: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class CompletedCall:
    """Measurements of a completed call.

    Args:
        route: Route name, '' when none matched.
        status: HTTP status of the answer.
        ran: Outcome reported to the caller.
        reason: Reason reported to the caller.
        seconds: Time from the complete request to the answer.
        attempts: Number of attempts made.
        local: Whether the last attempt went to this VM's upstream.
        upstream_seconds: Part of `seconds` that this VM's upstream took.
    """

    route: str
    status: int
    ran: errors.Outcome
    reason: calls.Reason
    seconds: float
    attempts: int
    local: bool
    upstream_seconds: float = 0.0


class CallFlow:
    """Serves the requests of callers and of other daemons.

    Args:
        identity: This daemon's `identity.Identity`.
        clock: A `clock.Clock`.
        rng: A `random.Random`.
        mesh_in_force: Returns the `mesh.Mesh` in force.
        live_members: Returns the other daemons as a tuple of
            `messages.Member`; the same tuple until a member changes.
        own_member: Returns this daemon's own `messages.Member`.
        gate_table: The `gate.GateTable` of this VM's upstream.
        routing_table: A `routing.RoutingTable`.
        crash_table: A `crashes.CrashTable`, or None for a new one.
        budgets: A `budget.Budgets`, or None for new ones.
        claims: A `claims.Claims` for requests with an idempotency key, or
            None.
        observe: Called with each `CompletedCall`, for metrics.
        record: Called with each `events.Event`.
        emit: Called with each `effects.Effect` of a decision.
        limits: A `Limits`.
    """

    def __init__(
        self,
        *,
        identity,
        clock,
        rng,
        mesh_in_force,
        live_members,
        own_member,
        gate_table,
        routing_table,
        crash_table=None,
        budgets=None,
        claims=None,
        observe=None,
        record=None,
        emit=None,
        limits=None,
    ):
        self._identity = identity
        self._clock = clock
        self._rng = rng
        self._mesh_in_force = mesh_in_force
        self._live_members = live_members
        self._own_member = own_member
        self._routing = routing_table
        self._budgets = budgets or budget.new_budgets()
        self._observe = observe or (lambda call: None)
        self._record = record or (lambda event: None)
        self._limits = limits or Limits()
        self._sequence = itertools.count(1)
        self._request_memory = bodymemory.Budget(self._limits.request_bytes)
        self._answer_memory = bodymemory.Budget(self._limits.answer_bytes)
        self._pools = {}
        self._tls = None
        self._tasks = {}
        self._ports = ()
        self._sweeper = None
        self._gate = callgate.CallGate(
            identity=identity,
            clock=clock,
            table=gate_table,
            crash_table=crash_table or crashes.new_table(),
            keyed_calls=self._new_keyed_calls(claims),
            new_pool=self._new_upstream_pool,
            record=self._record,
            emit=emit or (lambda effect: None),
            fail=_report_error,
        )
        self._hops = hophandler.HopHandler(
            identity, clock, self._gate, self._limits.body_bytes, self._spawn
        )

    @property
    def upstream_address(self):
        """Address of this VM's upstream, `ip:port`, or None."""
        return self._gate.address

    @upstream_address.setter
    def upstream_address(self, address):
        self._gate.set_address(address)

    @property
    def buffered_bytes(self):
        """Bytes of request and answer bodies buffered now."""
        return self._request_memory.used + self._answer_memory.used

    @property
    def in_flight(self):
        """Ids of the requests being served now."""
        return tuple(self._tasks.values())

    async def start(
        self, caller_bind, peer_bind, peer_server_tls=None, peer_tls=None
    ):
        """Listen for callers and for other daemons.

        Args:
            caller_bind: `ip:port` for callers; port 0 for any.
            peer_bind: `ip:port` for other daemons.
            peer_server_tls: `ssl.SSLContext` of the port for daemons.
            peer_tls: `ssl.SSLContext` for connections to other daemons.

        Returns:
            Both bound `ip:port`, callers' first.
        """
        self._tls = peer_tls
        callers = self._new_server(
            callhandler.FunctionHandler(
                self._accept_call, self._body_limit_of
            ),
            False,
        )
        peers = self._new_server(self._hops, True)
        self._ports = (callers, peers)
        addresses = (
            await callers.start(caller_bind),
            await peers.start(peer_bind, peer_server_tls),
        )
        self._sweep()
        return addresses

    def upstream_changed(self, admitted=()):
        """Apply a change made by `gate.set_upstream`.

        Args:
            admitted: Ids of the attempts that `gate.set_upstream` admitted.
        """
        self._gate.resume_queued(admitted)
        self._gate.expire_queued()

    async def stop(self, grace):
        """Refuse new requests, wait for the running ones, then close.

        Args:
            grace: Seconds to wait for running requests before they are
                cancelled.

        Returns:
            Tuple of the ids of the requests that were cancelled.
        """
        for port, listening in zip(self._ports, (False, True), strict=False):
            # Other daemons may still need new connections to join or bar
            # their attempts.
            port.drain(listening)
        now = self._clock.monotonic()
        min_end = now + min(grace, MIN_DRAIN_S)
        end = now + grace
        while now < min_end or (self._is_busy() and now < end):
            await asyncio.sleep(DRAIN_POLL_S)
            now = self._clock.monotonic()
        cancelled = self.in_flight
        for task in tuple(self._tasks):
            task.cancel()
        for port in self._ports:
            await port.close()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for pool in self._pools.values():
            pool.close()
        self._gate.close()
        for request in cancelled:
            self._record(events.Event('call.cut_by_stop', request=request))
        return cancelled

    def _is_busy(self):
        return bool(self._tasks) or any(port.busy for port in self._ports)

    def _new_keyed_calls(self, claims):
        if claims is None:
            return None
        holder = f'{self._identity.vm}/{self._identity.incarnation}'
        return callkeys.KeyedCalls(claims, holder, self._clock, self._record)

    def _new_server(self, port, heartbeat):
        return callserver.Server(
            port,
            self._clock,
            self._request_memory,
            self._answer_memory,
            self._limits.timeouts,
            heartbeat,
        )

    def _new_upstream_pool(self, address):
        return self._new_pool(
            address,
            self._limits.upstream_connections,
            id_field=calls.REQUEST_ID.encode(),
        )

    def _new_pool(self, address, max_connections, tls=None, id_field=None):
        return callclient.Pool(
            address,
            max_connections,
            self._clock,
            self._answer_memory,
            self._limits.body_bytes,
            tls,
            id_field,
        )

    def _peer_pool(self, address):
        pool = self._pools.get(address)
        if pool is None:
            pool = self._new_pool(address, PEER_CONNECTIONS, self._tls)
            self._pools[address] = pool
        return pool

    def _sweep(self):
        for address, pool in tuple(self._pools.items()):
            if pool.sweep():
                self._record(events.Event('peer.silent', detail=address))
            if not pool.size:
                del self._pools[address]
        if self._gate.pool is not None:
            self._gate.pool.sweep()
        interval = SWEEP_INTERVAL_S if self._tasks else IDLE_SWEEP_INTERVAL_S
        loop = asyncio.get_running_loop()
        self._sweeper = loop.call_later(interval, self._sweep)

    def _spawn(self, coroutine, request, exchange=None):
        task = eagertask.EagerTask(
            coroutine, functools.partial(self._task_ended, exchange)
        )
        self._tasks[task] = request
        return task

    def _task_ended(self, exchange, task):
        del self._tasks[task]
        if task.error is None:
            return
        if exchange is not None:
            exchange.drop()
        if not isinstance(task.error, asyncio.CancelledError):
            _report_error(task.error)

    # Callers

    def _body_limit_of(self, request):
        mesh = self._mesh_in_force()
        route = mesh.match(request.host, request.path, request.method)
        if route is None:
            return UNROUTED_BODY_LIMIT
        return min(route.limit.body_bytes, self._limits.body_bytes)

    def _accept_call(self, exchange):
        request = exchange.request
        mesh = self._mesh_in_force()
        now = self._clock.monotonic()
        parsed = callrequests.parse(request, mesh, now, self._rng)
        if request.during_drain:
            exchange.reply(
                callserver.refusal_answer(hophandler.DRAINING, close=True)
            )
            return
        if parsed.is_error():
            self._refuse_invalid(exchange, parsed.error, mesh)
            return
        progress = callgate.Progress()
        call = parsed.ok
        task = self._spawn(
            self._serve(exchange, call, progress), call.request, exchange
        )

        def on_disconnect():
            if not progress.committed:
                task.cancel()

        exchange.on_disconnect = on_disconnect
        task.start()

    def _refuse_invalid(self, exchange, refusal, mesh):
        request_id = callrequests.request_id(exchange.request, self._rng)
        context = problems.RequestContext(request_id or '', mesh.number)
        answer = callserver.refusal_answer(refusal, context)
        self._observe(
            CompletedCall(
                '', answer.status, refusal.ran, refusal.reason, 0.0, 0, False
            )
        )
        exchange.reply(answer)

    async def _serve(self, exchange, call, progress):
        began = self._clock.monotonic()
        request = exchange.request
        if not call.fingerprint:
            digest = await callrequests.fingerprint_async(request, call.route)
            call = dataclasses.replace(call, fingerprint=digest)
        header = request.fields.get(b'jujubefold-retry-budget', b'')
        state = _CallState(
            call,
            callrequests.forwarded_message(request, call.route),
            callretries.RetryState(
                budget.incoming_allowance(
                    header.decode('latin-1'), call.route.retry, call.depth
                )
            ),
            progress,
        )
        budget.record_first_attempt(self._budgets, call.route, began)
        outcome = await self._run_attempts(state)
        context = problems.RequestContext(call.request, call.version)
        if isinstance(outcome, callserver.Answer):
            answer = outcome
            answer.headers.extend(
                problems.outcome_headers(
                    errors.Outcome.RAN, calls.Reason.NONE, context
                )
            )
            ran, reason = errors.Outcome.RAN, calls.Reason.NONE
        else:
            answer = callserver.refusal_answer(
                outcome, context, hophandler.status_of(outcome)
            )
            ran, reason = outcome.ran, outcome.reason
            self._record_unknown_outcome(call, outcome)
        exchange.reply(answer)
        now = self._clock.monotonic()
        self._observe(
            CompletedCall(
                call.route.name,
                answer.status,
                ran,
                reason,
                now - began,
                state.attempts,
                state.local,
                progress.upstream_seconds,
            )
        )

    def _record_unknown_outcome(self, call, refusal):
        if refusal.ran is errors.Outcome.UNKNOWN:
            self._record(
                events.Event(
                    'call.unknown',
                    version=call.version,
                    request=call.request,
                    detail=refusal.reason,
                )
            )

    async def _run_attempts(self, state):
        """Make attempts until one is final and return the call's outcome.

        After an attempt that may have run, a later refusal must not state
        that the request did not run: the refusal of the last attempt that
        may have run is returned instead.
        """
        unknown = refusal = None
        while True:
            choice = self._choose(state)
            if isinstance(choice, calls.NoUpstream):
                return unknown or refusal or choice.refusal
            outcome = await self._run_attempt(state, choice)
            if isinstance(outcome, callserver.Answer):
                return outcome
            refusal = outcome
            if refusal.ran is not errors.Outcome.DID_NOT_RUN:
                unknown = refusal
            now = self._clock.monotonic()
            if not callretries.allow(
                self._budgets, state.retries, state.call, refusal, now
            ):
                return unknown or refusal
            if refusal.reason is calls.Reason.BARRED:
                # Only the connection was lost: the daemon answered the
                # join, so it may be chosen again.
                state.tried_vms.discard(choice.vm)

    def _choose(self, state):
        now = self._clock.monotonic()
        own = routing.OwnState(
            self._own_member(), gate.current_load(self._gate.table)
        )
        context = dispatch.Context(now, self._clock.wall(), self._rng)
        return routing.choose(
            self._routing,
            state.call,
            self._live_members(),
            own,
            state.tried_vms,
            context,
        )

    async def _run_attempt(self, state, choice):
        state.attempts += 1
        attempt_id = calls.AttemptId(
            self._identity.vm,
            self._identity.incarnation,
            next(self._sequence),
        )
        attempt = calls.Attempt(attempt_id, state.call)
        allowance = state.retries.allowance.split_off()
        state.local = isinstance(choice, calls.LocalUpstream)
        if state.local:
            state.tried_vms.add(self._identity.vm)
            outcome = await self._gate.run(
                attempt, state.message, allowance, state.progress
            )
        else:
            state.tried_vms.add(choice.vm)
            outcome = await self._forward(
                choice, attempt, state.message, allowance
            )
        if _is_proven_not_run(outcome):
            # No upstream received the attempt, so it does not count as a
            # retry of the request.
            state.retries.allowance.restore(allowance + (state.attempts > 1))
        return outcome

    # Forwarding to another daemon

    async def _forward(self, peer, attempt, message, allowance):
        began = self._clock.monotonic()
        routing.record_sent(self._routing, peer.vm, began)
        outcome = load = None
        try:
            result = await self._send_to_peer(
                peer, attempt, message, allowance
            )
            outcome, load = self._decode_peer_answer(result, message.method)
        finally:
            now = self._clock.monotonic()
            routing.record_result(
                self._routing,
                _attempt_result(peer.vm, outcome, load, now - began),
                now,
            )
        return outcome

    async def _send_to_peer(self, peer, attempt, message, allowance):
        """Send an attempt to another daemon.

        If the connection is lost, the attempt's outcome is requested again
        over a new one.

        Returns:
            The other daemon's `callserver.Answer` or a `calls.Refusal`.
        """
        now = self._clock.monotonic()
        extra = ((hops.HOP_HEADER, hops.encode(attempt, allowance, now)),)
        call = attempt.call
        try:
            result = await self._exchange(peer, call, message, extra)
            if isinstance(result, callserver.Answer):
                return result
            if not result.sent:
                return hopexchange.unsent_refusal(
                    result, call.deadline, self._clock.monotonic()
                )
            if result.kind is callclient.FailureKind.DEADLINE:
                self._cancel_at_peer(peer, attempt.id)
                return _DEADLINE_PASSED
            return await self._rejoin(peer, attempt)
        except asyncio.CancelledError:
            self._cancel_at_peer(peer, attempt.id)
            raise

    async def _rejoin(self, peer, attempt):
        self._record(
            events.Event(
                'peer.rejoin', request=attempt.call.request, detail=peer.vm
            )
        )
        message = self._control_message(peer, hops.JOIN_PATH, attempt.id)
        for _ in range(MAX_REJOINS):
            self._peer_pool(peer.call_address).close_idle()
            result = await self._exchange(peer, attempt.call, message)
            if isinstance(result, callserver.Answer):
                return result
            if result.kind is callclient.FailureKind.DEADLINE:
                return _DEADLINE_PASSED
            await asyncio.sleep(REJOIN_INTERVAL_S)
        return hophandler.PEER_LOST

    def _cancel_at_peer(self, peer, attempt_id):
        message = self._control_message(peer, hops.CANCEL_PATH, attempt_id)
        self._spawn(self._send_cancel(peer, message), str(attempt_id)).start()

    async def _send_cancel(self, peer, message):
        pool = self._peer_pool(peer.call_address)
        connection = await pool.acquire(callclient.CONNECT_TIMEOUT_S)
        if isinstance(connection, callclient.Failure):
            return
        deadline = self._clock.monotonic() + callclient.CONNECT_TIMEOUT_S
        bounds = callclient.ExchangeLimits(deadline, self._limits.peer_silence)
        head = callclient.encode_head(message)
        result = await callclient.exchange(connection, message, head, bounds)
        if isinstance(result, callserver.Answer):
            self._answer_memory.release(result.memory)

    def _control_message(self, peer, path, attempt_id):
        target = f'{peer.vm}/{peer.incarnation}'.encode('latin-1')
        headers = [
            (b'host', peer.call_address.encode()),
            (hops.ATTEMPT_HEADER, str(attempt_id).encode('latin-1')),
            (hops.TARGET_HEADER, target),
        ]
        return callclient.ClientRequest('POST', path.encode(), headers, [], 0)

    async def _exchange(self, peer, call, message, extra=()):
        pool = self._peer_pool(peer.call_address)
        keeps = routing.keeps_connection(self._routing, peer.vm)
        pool.max_idle = 1 if keeps else 0
        bounds = callclient.ExchangeLimits(
            call.deadline + PEER_DEADLINE_MARGIN_S, self._limits.peer_silence
        )
        head = callclient.encode_head(message, extra)
        return await hopexchange.send(
            pool, message, head, bounds, call.deadline, self._clock
        )

    def _decode_peer_answer(self, result, method):
        """Return the outcome and the `gate.Load` in a daemon's answer.

        Args:
            result: A `callserver.Answer` or a `calls.Refusal`.
            method: Method of the request.
        """
        if isinstance(result, calls.Refusal):
            return result, None
        fields = dict(result.headers)
        load = gate.Load.parse(
            fields.get(b'jujubefold-load', b'').decode('latin-1')
        )
        if fields.get(b'jujubefold-outcome') == b'ran':
            result.headers = hops.public_headers(result.headers)
            return result, load
        self._answer_memory.release(result.memory)
        return hophandler.read_refusal(result, fields, method), load


@dataclasses.dataclass(slots=True)
class _CallState:
    """State of one call across its attempts.

    Args:
        call: The `calls.Call`.
        message: The request as it is forwarded.
        retries: What the call may still retry.
        progress: Progress of the attempt at this VM's upstream.
        tried_vms: VMs that are not chosen again.
        attempts: Number of attempts made.
        local: Whether the last attempt went to this VM's upstream.
    """

    call: calls.Call
    message: callclient.ClientRequest
    retries: callretries.RetryState
    progress: callgate.Progress
    tried_vms: set = dataclasses.field(default_factory=set)
    attempts: int = 0
    local: bool = False


def _is_proven_not_run(outcome):
    """Return whether an outcome proves that no upstream ran the attempt."""
    return (
        isinstance(outcome, calls.Refusal)
        and outcome.ran is errors.Outcome.DID_NOT_RUN
    )


def _report_error(error):
    """Report an unexpected exception to the event loop's error handler."""
    asyncio.get_running_loop().call_exception_handler(
        {'message': 'unexpected error on the call path', 'exception': error}
    )


def _attempt_result(vm, outcome, load, seconds):
    refusal = outcome if isinstance(outcome, calls.Refusal) else None
    lost = refusal is not None and refusal.reason is calls.Reason.PEER_LOST
    return routing.AttemptResult(
        vm=vm,
        succeeded=outcome is not None and refusal is None,
        refused=(
            refusal is not None
            and refusal.ran is errors.Outcome.DID_NOT_RUN
            and not lost
        ),
        lost=lost,
        seconds=seconds,
        load=load,
    )
