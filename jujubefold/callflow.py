"""Flow of the call path: from a caller's request to its whole answer."""

import asyncio
import dataclasses
import functools
import itertools

from jujubefold import bodymemory
from jujubefold import budget
from jujubefold import callclient
from jujubefold import callgate
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
from jujubefold import hophandler
from jujubefold import hops
from jujubefold import problems
from jujubefold import routing

SWEEP_INTERVAL_S = 0.05
IDLE_SWEEP_INTERVAL_S = 0.25
DRAIN_POLL_S = 0.02
# At least this long, late requests are refused instead of lost.
DRAIN_QUIET_S = 0.3
# Added to the caller's deadline so that the gate's own word arrives first.
PEER_DEADLINE_SLACK_S = 0.05
MAX_REJOINS = 4
REJOIN_PAUSE_S = 0.05
PEER_CONNECTIONS = 16
SMALLEST_BODY_LIMIT = 64 * 1024

_REACHED_NOBODY = calls.Refusal(
    errors.Ran.DID_NOT_RUN,
    calls.Reason.PEER_LOST,
    callgate.RETRY_S,
    'the other daemon could not be reached',
)
_OVERDUE = calls.Refusal(
    errors.Ran.UNKNOWN,
    calls.Reason.DEADLINE,
    detail='the deadline passed before the answer came',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Bounds of one daemon's call path.

    Args:
        request_bytes: Request bodies buffered at once.
        answer_bytes: Answer bodies buffered at once.
        body_bytes: Largest body that any route may allow.
        upstream_connections: Connections to the own upstream.
        timeouts: Bounds on what callers may take.
        peer_silence: Seconds after which a connection to another daemon is
            taken for lost; it shows life each `callserver.HEARTBEAT_S`.
    """

    request_bytes: int = 64 * 1024 * 1024
    answer_bytes: int = 48 * 1024 * 1024
    body_bytes: int = 32 * 1024 * 1024
    upstream_connections: int = 110
    timeouts: callserver.Timeouts = callserver.Timeouts()
    peer_silence: float = 2.0


@dataclasses.dataclass(frozen=True, slots=True)
class CompletedCall:
    """A call that was answered, for metrics.

    Args:
        route: Route name, '' when none matched.
        status: HTTP status given.
        ran: What the caller was told.
        reason: And why.
        seconds: From whole request to answer.
        attempts: Attempts made.
        local: Whether the last attempt went to this VM's upstream.
        upstream_seconds: Part of `seconds` that the own upstream took.
    """

    route: str
    status: int
    ran: errors.Ran
    reason: calls.Reason
    seconds: float
    attempts: int
    local: bool
    upstream_seconds: float = 0.0


class _Port:
    """One listening port: gives its requests to a coroutine function."""

    def __init__(self, serve, body_limit):
        self.body_limit = body_limit
        self._serve = serve

    def handle(self, exchange):
        """Serve one request."""
        self._serve(exchange)


class CallFlow:
    """Takes requests of callers and of other daemons, and answers them.

    Args:
        identity: This daemon's `identity.Identity`.
        clock: A `clock.Clock`.
        rng: A `random.Random`.
        mesh_in_force: Returns the `mesh.Mesh` in force.
        live_members: Returns other daemons as a tuple of
            `messages.Member`, the same tuple until a member changes.
        own_member: Returns this daemon's own `messages.Member`.
        gate_table: The `gate.GateTable` of the own upstream.
        routing_table: A `routing.RoutingTable`.
        crash_table: A `crashes.CrashTable`, or None for a new one.
        budgets: A `budget.Budgets`, or None for new ones.
        claims: A `claims.Claims` for requests with a key, or None.
        observe: Called with each `CompletedCall`.
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
        self._observe = observe or (lambda seen: None)
        self._record = record or (lambda event: None)
        self._limits = limits or Limits()
        self._sequence = itertools.count(1)
        self._requests = bodymemory.Budget(self._limits.request_bytes)
        self._answers = bodymemory.Budget(self._limits.answer_bytes)
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
            keys=self._new_keys(claims),
            new_pool=self._new_upstream_pool,
            record=self._record,
            emit=emit or (lambda effect: None),
            fail=_fail,
        )
        self._hops = hophandler.HopHandler(
            identity, clock, self._gate, self._limits.body_bytes, self._spawn
        )

    @property
    def upstream_address(self):
        """Where the own upstream listens, `ip:port`, or None."""
        return self._gate.address

    @upstream_address.setter
    def upstream_address(self, address):
        self._gate.set_address(address)

    @property
    def buffered_bytes(self):
        """Bytes of bodies held now."""
        return self._requests.used + self._answers.used

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
            _Port(self._take_call, self._call_limit), False
        )
        peers = self._new_server(self._hops, True)
        self._ports = (callers, peers)
        bound = (
            await callers.start(caller_bind),
            await peers.start(peer_bind, peer_server_tls),
        )
        self._sweep()
        return bound

    def upstream_changed(self, admitted=()):
        """Act on `gate.set_upstream`.

        Args:
            admitted: What it returned.
        """
        self._gate.wake(admitted)
        self._gate.expire()

    async def stop(self, grace):
        """Refuse new work, finish what runs, then close.

        Args:
            grace: Seconds for which running requests are waited for.

        Returns:
            Tuple of the ids of requests that were cut; empty when none.
        """
        for port, listening in zip(self._ports, (False, True), strict=False):
            # Other daemons may still have to join or bar their attempts.
            port.drain(listening)
        now = self._clock.monotonic()
        quiet = now + min(grace, DRAIN_QUIET_S)
        until = now + grace
        while now < quiet or (self._is_busy() and now < until):
            await asyncio.sleep(DRAIN_POLL_S)
            now = self._clock.monotonic()
        cut = self.in_flight
        for task in tuple(self._tasks):
            task.cancel()
        for port in self._ports:
            await port.close()
        if self._sweeper is not None:
            self._sweeper.cancel()
        for pool in self._pools.values():
            pool.close()
        self._gate.close()
        for request in cut:
            self._record(events.Event('call.cut_by_stop', request=request))
        return cut

    def _is_busy(self):
        return bool(self._tasks) or any(port.busy for port in self._ports)

    def _new_keys(self, claims):
        if claims is None:
            return None
        holder = f'{self._identity.vm}/{self._identity.incarnation}'
        return callkeys.Keys(claims, holder, self._clock, self._record)

    def _new_server(self, port, heartbeat):
        return callserver.Server(
            port,
            self._clock,
            self._requests,
            self._answers,
            self._limits.timeouts,
            heartbeat,
        )

    def _new_upstream_pool(self, address):
        return self._new_pool(address, self._limits.upstream_connections)

    def _new_pool(self, address, bound, tls=None):
        return callclient.Pool(
            address,
            bound,
            self._clock,
            self._answers,
            self._limits.body_bytes,
            tls,
        )

    def _pool_of(self, address):
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
            coroutine, functools.partial(self._served, exchange)
        )
        self._tasks[task] = request
        return task

    def _served(self, exchange, task):
        del self._tasks[task]
        if task.error is None:
            return
        if exchange is not None:
            exchange.drop()
        if not isinstance(task.error, asyncio.CancelledError):
            _fail(task.error)

    # Callers

    def _call_limit(self, request):
        mesh = self._mesh_in_force()
        route = mesh.match(request.host, request.path, request.method)
        if route is None:
            return SMALLEST_BODY_LIMIT
        return min(route.limit.body_bytes, self._limits.body_bytes)

    def _take_call(self, exchange):
        request = exchange.request
        mesh = self._mesh_in_force()
        now = self._clock.monotonic()
        read = callrequests.read(request, mesh, now, self._rng)
        if request.during_drain:
            exchange.reply(
                callserver.refusal_answer(hophandler.DRAINING, close=True)
            )
            return
        if read.is_error():
            self._refuse_unread(exchange, read.error, mesh)
            return
        trace = callgate.Trace()
        call = read.ok
        task = self._spawn(
            self._serve(exchange, call, trace), call.request, exchange
        )

        def gone():
            if not trace.committed:
                task.cancel()

        exchange.on_disconnect = gone
        task.start()

    def _refuse_unread(self, exchange, refusal, mesh):
        name = callrequests.request_id(exchange.request, self._rng)
        subject = problems.RequestContext(name or '', mesh.number)
        answer = callserver.refusal_answer(refusal, subject)
        self._observe(
            CompletedCall(
                '', answer.status, refusal.ran, refusal.reason, 0.0, 0, False
            )
        )
        exchange.reply(answer)

    async def _serve(self, exchange, call, trace):
        began = self._clock.monotonic()
        request = exchange.request
        if not call.fingerprint:
            digest = await callrequests.large_fingerprint(request, call.route)
            call = dataclasses.replace(call, fingerprint=digest)
        header = request.fields.get(b'jujubefold-retry-budget', b'')
        tour = _Tour(
            call,
            callrequests.message(request, call.route),
            callretries.Retries(
                budget.incoming_allowance(
                    header.decode('latin-1'), call.route.retry, call.depth
                )
            ),
            trace,
        )
        budget.record_first_attempt(self._budgets, call.route, began)
        outcome = await self._try_all(tour)
        subject = problems.RequestContext(call.request, call.version)
        if isinstance(outcome, callserver.Answer):
            answer = outcome
            answer.headers.extend(
                problems.outcome_headers(
                    errors.Ran.RAN, calls.Reason.NONE, subject
                )
            )
            ran, reason = errors.Ran.RAN, calls.Reason.NONE
        else:
            answer = callserver.refusal_answer(
                outcome, subject, hophandler.status_of(outcome)
            )
            ran, reason = outcome.ran, outcome.reason
            self._note(call, outcome)
        exchange.reply(answer)
        now = self._clock.monotonic()
        self._observe(
            CompletedCall(
                call.route.name,
                answer.status,
                ran,
                reason,
                now - began,
                tour.tries,
                tour.own,
                trace.upstream,
            )
        )

    def _note(self, call, refusal):
        if refusal.ran is errors.Ran.UNKNOWN:
            self._record(
                events.Event(
                    'call.unknown',
                    version=call.version,
                    request=call.request,
                    detail=refusal.reason,
                )
            )

    async def _try_all(self, tour):
        """Try until an outcome is final; return it.

        A try that may have run is not undone by a later one that did not:
        the caller is then told of the doubt.
        """
        doubt = refusal = None
        while True:
            choice = self._choose(tour)
            if isinstance(choice, calls.NoUpstream):
                return doubt or refusal or choice.refusal
            outcome = await self._try_one(tour, choice)
            if isinstance(outcome, callserver.Answer):
                return outcome
            refusal = outcome
            if refusal.ran is not errors.Ran.DID_NOT_RUN:
                doubt = refusal
            now = self._clock.monotonic()
            if not callretries.allow(
                self._budgets, tour.retries, tour.call, refusal, now
            ):
                return doubt or refusal
            if refusal.reason is calls.Reason.BARRED:
                # Only its connection was lost: the daemon itself answers.
                tour.tried.discard(choice.vm)

    def _choose(self, tour):
        now = self._clock.monotonic()
        own = routing.OwnUpstream(
            self._own_member(), gate.current_load(self._gate.table)
        )
        context = dispatch.Context(now, self._clock.wall(), self._rng)
        return routing.choose(
            self._routing,
            tour.call,
            self._live_members(),
            own,
            tour.tried,
            context,
        )

    async def _try_one(self, tour, choice):
        tour.tries += 1
        name = calls.AttemptId(
            self._identity.vm,
            self._identity.incarnation,
            next(self._sequence),
        )
        attempt = calls.Attempt(name, tour.call)
        part = tour.retries.allowance.split_off()
        tour.own = isinstance(choice, calls.LocalUpstream)
        if tour.own:
            tour.tried.add(self._identity.vm)
            outcome = await self._gate.run(
                attempt, tour.message, part, tour.trace
            )
        else:
            tour.tried.add(choice.vm)
            outcome = await self._forward(choice, attempt, tour.message, part)
        if _is_refused(outcome):
            # No upstream saw it, so it was no retry of the request either.
            tour.retries.allowance.restore(part + (tour.tries > 1))
        return outcome

    # Forwarding to another daemon

    async def _forward(self, peer, attempt, message, part):
        began = self._clock.monotonic()
        routing.record_sent(self._routing, peer.vm, began)
        outcome = load = None
        try:
            result = await self._send_hop(peer, attempt, message, part)
            outcome, load = self._read_outcome(result, message.method)
        finally:
            now = self._clock.monotonic()
            routing.record_result(
                self._routing,
                _observation(peer.vm, outcome, load, now - began),
                now,
            )
        return outcome

    async def _send_hop(self, peer, attempt, message, part):
        """Send an attempt and, if its connection is lost, ask for it again.

        Returns:
            A `callserver.Answer` of the other daemon or a `calls.Refusal`.
        """
        now = self._clock.monotonic()
        extra = ((hops.HOP_HEADER, hops.encode(attempt, part, now)),)
        call = attempt.call
        try:
            result = await self._exchange(peer, call, message, extra)
            if isinstance(result, callserver.Answer):
                return result
            if not result.sent:
                return _REACHED_NOBODY
            if result.kind is callclient.FailureKind.DEADLINE:
                self._cancel_hop(peer, attempt.id)
                return _OVERDUE
            return await self._rejoin(peer, attempt)
        except asyncio.CancelledError:
            self._cancel_hop(peer, attempt.id)
            raise

    async def _rejoin(self, peer, attempt):
        self._record(
            events.Event(
                'peer.rejoin', request=attempt.call.request, detail=peer.vm
            )
        )
        message = self._control(peer, hops.JOIN_PATH, attempt.id)
        for _ in range(MAX_REJOINS):
            self._pool_of(peer.call_address).close_idle()
            result = await self._exchange(peer, attempt.call, message)
            if isinstance(result, callserver.Answer):
                return result
            if result.kind is callclient.FailureKind.DEADLINE:
                return _OVERDUE
            await asyncio.sleep(REJOIN_PAUSE_S)
        return hophandler.LOST

    def _cancel_hop(self, peer, name):
        message = self._control(peer, hops.CANCEL_PATH, name)
        self._spawn(self._send_cancel(peer, message), str(name)).start()

    async def _send_cancel(self, peer, message):
        pool = self._pool_of(peer.call_address)
        connection = await pool.acquire(callclient.CONNECT_TIMEOUT_S)
        if isinstance(connection, callclient.Failure):
            return
        deadline = self._clock.monotonic() + callclient.CONNECT_TIMEOUT_S
        bounds = callclient.ExchangeLimits(deadline, self._limits.peer_silence)
        head = callclient.encode_head(message)
        result = await callclient.exchange(connection, message, head, bounds)
        if isinstance(result, callserver.Answer):
            self._answers.release(result.memory)

    def _control(self, peer, path, name):
        target = f'{peer.vm}/{peer.incarnation}'.encode('latin-1')
        headers = [
            (b'host', peer.call_address.encode()),
            (hops.ATTEMPT_HEADER, str(name).encode('latin-1')),
            (hops.TARGET_HEADER, target),
        ]
        return callclient.OutboundRequest(
            'POST', path.encode(), headers, [], 0
        )

    async def _exchange(self, peer, call, message, extra=()):
        pool = self._pool_of(peer.call_address)
        keeps = routing.keeps_connection(self._routing, peer.vm)
        pool.max_idle = 1 if keeps else 0
        connection = pool.take_idle()
        if connection is None:
            left = call.deadline - self._clock.monotonic()
            connection = await pool.acquire(max(0.0, left))
            if isinstance(connection, callclient.Failure):
                return connection
        bounds = callclient.ExchangeLimits(
            call.deadline + PEER_DEADLINE_SLACK_S, self._limits.peer_silence
        )
        head = callclient.encode_head(message, extra)
        return await callclient.exchange(connection, message, head, bounds)

    def _read_outcome(self, result, method):
        """Return outcome and load from what another daemon answered."""
        if isinstance(result, calls.Refusal):
            return result, None
        fields = dict(result.headers)
        load = gate.Load.parse(
            fields.get(b'jujubefold-load', b'').decode('latin-1')
        )
        if fields.get(b'jujubefold-outcome') == b'ran':
            result.headers = hops.public_headers(result.headers)
            return result, load
        self._answers.release(result.memory)
        return hophandler.read_refusal(result, fields, method), load


@dataclasses.dataclass(slots=True)
class _Tour:
    """One call's way through its tries."""

    call: calls.Call
    message: callclient.OutboundRequest
    retries: callretries.Retries
    trace: callgate.Trace
    tried: set = dataclasses.field(default_factory=set)
    tries: int = 0
    own: bool = False


def _is_refused(outcome):
    """Return whether an outcome proves that no upstream saw the attempt."""
    return (
        isinstance(outcome, calls.Refusal)
        and outcome.ran is errors.Ran.DID_NOT_RUN
    )


def _fail(error):
    """Hand a broken invariant to the shell, through its event loop."""
    asyncio.get_running_loop().call_exception_handler(
        {'message': 'the call path broke', 'exception': error}
    )


def _observation(vm, outcome, load, seconds):
    refusal = outcome if isinstance(outcome, calls.Refusal) else None
    lost = refusal is not None and refusal.reason is calls.Reason.PEER_LOST
    return routing.AttemptResult(
        vm=vm,
        succeeded=outcome is not None and refusal is None,
        refused=(
            refusal is not None
            and refusal.ran is errors.Ran.DID_NOT_RUN
            and not lost
        ),
        lost=lost,
        seconds=seconds,
        load=load,
    )
