"""Port for other daemons: takes their attempts, joins, bars and cancels."""

import asyncio
import dataclasses

import msgspec

from jujubefold import callclient
from jujubefold import callgate
from jujubefold import calls
from jujubefold import callserver
from jujubefold import errors
from jujubefold import gate
from jujubefold import hops
from jujubefold import problems

# Seconds in which a sender whose connection was lost may ask again.
REJOIN_GRACE_S = 1.0

LOST = calls.Refusal(
    errors.Ran.UNKNOWN,
    calls.Reason.PEER_LOST,
    detail='the daemon that had the request was lost',
)
DRAINING = calls.Refusal(
    errors.Ran.DID_NOT_RUN,
    calls.Reason.DRAINING,
    callgate.RETRY_S,
    'this daemon is leaving',
)
_DAMAGED = calls.Refusal(
    errors.Ran.UNKNOWN,
    calls.Reason.PEER_LOST,
    detail='the other daemon gave an answer that makes no sense',
)


class HopHandler:
    """Serves requests of other daemons.

    Args:
        identity: This daemon's `identity.Identity`.
        clock: A `clock.Clock`.
        call_gate: The `callgate.CallGate`.
        body_bytes: Largest body taken.
        spawn: Makes an eager task of a coroutine, a request id and the
            exchange that it answers.
    """

    def __init__(self, identity, clock, call_gate, body_bytes, spawn):
        self._identity = identity
        self._clock = clock
        self._gate = call_gate
        self._body_bytes = body_bytes
        self._spawn = spawn
        self._routes = {}
        self._listeners = {}

    def body_limit(self, request):
        """Return the largest body taken, in bytes."""
        return self._body_bytes

    def handle(self, exchange):
        """Serve one request."""
        request = exchange.request
        if request.path == hops.JOIN_PATH:
            self._take_named(exchange, self._join)
        elif request.path == hops.BAR_PATH:
            self._take_named(exchange, self._bar)
        elif request.path == hops.CANCEL_PATH:
            self._take_named(exchange, self._cancel)
        else:
            self._take_attempt(exchange)

    def _take_attempt(self, exchange):
        request = exchange.request
        hop = hops.decode(request.fields.get(hops.HOP_HEADER, b''))
        if hop.is_error():
            exchange.reply(callserver.bad_request('hop header malformed'))
            return
        if request.during_drain:
            self._reply_hop(exchange, DRAINING)
            return
        # On one connection a new request means that the answer before it
        # arrived, so nobody will ask for that attempt again.
        session = request.session
        if session.last_attempt_id is not None:
            self._gate.forget(session.last_attempt_id)
        now = self._clock.monotonic()
        attempt = hops.to_attempt(hop.ok, request, self._routes, now)
        session.last_attempt_id = attempt.id
        message = callclient.OutboundRequest(
            request.method,
            request.target,
            hops.public_headers(
                callclient.end_to_end_headers(request.headers)
            ),
            request.chunks,
            request.size,
        )
        self._answer_hop(
            exchange,
            attempt.id,
            self._gate.join_or_run(attempt, message, hop.ok.allowance),
            hop.ok.request,
        )

    def _take_named(self, exchange, serve):
        fields = exchange.request.fields
        name = hops.parse_attempt_id(fields.get(hops.ATTEMPT_HEADER, b''))
        if name is None:
            exchange.reply(callserver.bad_request('attempt malformed'))
            return
        me = f'{self._identity.vm}/{self._identity.incarnation}'
        if fields.get(hops.TARGET_HEADER) != me.encode('latin-1'):
            # Another start of this daemon may have run it.
            self._reply_hop(exchange, LOST)
            return
        serve(exchange, name)

    def _join(self, exchange, name):
        self._answer_hop(
            exchange, name, self._gate.join_or_bar(name), str(name)
        )

    def _bar(self, exchange, name):
        state = self._gate.bar(name).encode()
        exchange.reply(callserver.Answer(200, [], [state], len(state)))

    def _cancel(self, exchange, name):
        self._gate.cancel(name)
        exchange.reply(callserver.Answer(204, [], [], 0))

    def _answer_hop(self, exchange, name, outcome, request):
        """Reply with an awaited outcome; notice if the sender leaves."""
        self._listeners[name] = self._listeners.get(name, 0) + 1
        task = self._spawn(
            self._reply_when_known(exchange, name, outcome), request, exchange
        )

        def gone():
            task.cancel()
            loop = asyncio.get_running_loop()
            loop.call_later(REJOIN_GRACE_S, self._give_up, name)

        exchange.on_disconnect = gone
        task.start()

    def _stop_listening(self, name):
        self._listeners[name] -= 1
        if not self._listeners[name]:
            del self._listeners[name]

    def _give_up(self, name):
        """Cancel an attempt that no connection waits for any more."""
        if name not in self._listeners:
            self._gate.cancel(name)

    async def _reply_when_known(self, exchange, name, outcome):
        try:
            self._reply_hop(exchange, await outcome)
        finally:
            self._stop_listening(name)

    def _reply_hop(self, exchange, outcome):
        load = str(gate.current_load(self._gate.table)).encode()
        if isinstance(outcome, callserver.Answer):
            answer = dataclasses.replace(
                outcome,
                headers=[
                    *outcome.headers,
                    (b'jujubefold-outcome', b'ran'),
                    (b'jujubefold-load', load),
                ],
            )
        else:
            answer = callserver.refusal_answer(
                outcome, status=status_of(outcome)
            )
            answer.headers.append((b'jujubefold-load', load))
        exchange.reply(answer)


def status_of(refusal):
    """Return the status where the reason alone does not give it."""
    answer_too_large = (
        refusal.reason is calls.Reason.TOO_LARGE
        and refusal.ran is not errors.Ran.DID_NOT_RUN
    )
    return 502 if answer_too_large else None


def read_refusal(answer, fields, method):
    """Return the refusal in another daemon's answer."""
    try:
        ran = errors.Ran(fields.get(b'jujubefold-outcome', b'').decode())
        reason = calls.Reason(fields.get(b'jujubefold-reason', b'').decode())
        if method == 'HEAD':
            return calls.Refusal(ran, reason)
        problem = msgspec.json.decode(
            b''.join(answer.chunks), type=problems.Problem
        )
    except (ValueError, msgspec.DecodeError):
        return _DAMAGED
    return calls.Refusal(ran, reason, problem.retry_after, problem.detail)
