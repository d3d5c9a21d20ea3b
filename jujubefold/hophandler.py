"""Hop handler: serves the attempts that other daemons forward."""

import asyncio
import dataclasses

import msgspec

from jujubefold import callclient
from jujubefold import callgate
from jujubefold import callhandler
from jujubefold import calls
from jujubefold import callserver
from jujubefold import decoding
from jujubefold import errors
from jujubefold import gate
from jujubefold import hops
from jujubefold import httpheads
from jujubefold import problems

# Time in which a sender that lost its connection may join its attempt over
# a new one. After that the attempt is cancelled.
REJOIN_PERIOD_S = 1.0

PEER_LOST = calls.Refusal(
    errors.Outcome.UNKNOWN,
    calls.Reason.PEER_LOST,
    detail='lost contact with the daemon that the request was sent to',
)
DRAINING = calls.Refusal(
    errors.Outcome.DID_NOT_RUN,
    calls.Reason.DRAINING,
    callgate.RETRY_AFTER_S,
    'this daemon is shutting down',
)
_INVALID_ANSWER = calls.Refusal(
    errors.Outcome.UNKNOWN,
    calls.Reason.PEER_LOST,
    detail='the other daemon sent an invalid answer',
)


class HopHandler(callhandler.Handler):
    """Handles the requests of other daemons.

    Besides attempts these are three requests about an attempt sent before:
    join waits for its outcome, bar prevents it from starting, and cancel
    ends it.

    Args:
        identity: This daemon's `identity.Identity`.
        clock: A `clock.Clock`.
        call_gate: The `callgate.CallGate`.
        body_bytes: Largest request body accepted.
        spawn: Returns an `eagertask.EagerTask`, not started yet, for a
            coroutine, the request id and the exchange it replies to.
    """

    def __init__(self, identity, clock, call_gate, body_bytes, spawn):
        self._identity = identity
        self._clock = clock
        self._gate = call_gate
        self._body_bytes = body_bytes
        self._spawn = spawn
        self._routes = {}
        self._waiter_counts = {}

    def body_limit(self, request):
        """Return the largest request body accepted, in bytes."""
        return self._body_bytes

    def handle(self, exchange):
        """Handle one request."""
        request = exchange.request
        if request.path == hops.JOIN_PATH:
            self._handle_control(exchange, self._join)
        elif request.path == hops.BAR_PATH:
            self._handle_control(exchange, self._bar)
        elif request.path == hops.CANCEL_PATH:
            self._handle_control(exchange, self._cancel)
        else:
            self._handle_attempt(exchange)

    def _handle_attempt(self, exchange):
        request = exchange.request
        hop = hops.decode(request.fields.get(hops.HOP_HEADER, b''))
        if hop.is_error():
            exchange.reply(
                callserver.bad_request('jujubefold-hop header malformed')
            )
            return
        if request.during_drain:
            self._reply(exchange, DRAINING)
            return
        # A new request on a connection means that the previous answer
        # arrived, so the sender will not join that attempt again.
        session = request.session
        if session.last_attempt_id is not None:
            self._gate.discard_outcome(session.last_attempt_id)
        now = self._clock.monotonic()
        attempt = hops.to_attempt(hop.ok, request, self._routes, now)
        session.last_attempt_id = attempt.id
        message = callclient.ClientRequest(
            request.method,
            request.target,
            hops.public_headers(httpheads.end_to_end_headers(request.headers)),
            request.chunks,
            request.size,
        )
        self._reply_later(
            exchange,
            attempt.id,
            self._gate.join_or_run(attempt, message, hop.ok.allowance),
            hop.ok.request,
        )

    def _handle_control(self, exchange, handler):
        fields = exchange.request.fields
        attempt_id = hops.parse_attempt_id(
            fields.get(hops.ATTEMPT_HEADER, b'')
        )
        if attempt_id is None:
            exchange.reply(
                callserver.bad_request('jujubefold-attempt header malformed')
            )
            return
        own_id = f'{self._identity.vm}/{self._identity.incarnation}'
        if fields.get(hops.TARGET_HEADER) != own_id.encode('latin-1'):
            # The attempt was sent to another incarnation, which may have
            # run it.
            self._reply(exchange, PEER_LOST)
            return
        handler(exchange, attempt_id)

    def _join(self, exchange, attempt_id):
        self._reply_later(
            exchange,
            attempt_id,
            self._gate.join_or_bar(attempt_id),
            str(attempt_id),
        )

    def _bar(self, exchange, attempt_id):
        state = self._gate.bar(attempt_id).encode()
        exchange.reply(callserver.Answer(200, [], [state], len(state)))

    def _cancel(self, exchange, attempt_id):
        self._gate.cancel(attempt_id)
        exchange.reply(callserver.Answer(204, [], [], 0))

    def _reply_later(self, exchange, attempt_id, outcome, request):
        """Reply once the outcome is known.

        If the sender disconnects before, the attempt is cancelled after
        `REJOIN_PERIOD_S` unless another connection waits for it.
        """
        self._waiter_counts[attempt_id] = (
            self._waiter_counts.get(attempt_id, 0) + 1
        )
        task = self._spawn(
            self._await_and_reply(exchange, attempt_id, outcome),
            request,
            exchange,
        )

        def on_disconnect():
            task.cancel()
            loop = asyncio.get_running_loop()
            loop.call_later(
                REJOIN_PERIOD_S, self._cancel_if_unwanted, attempt_id
            )

        exchange.on_disconnect = on_disconnect
        task.start()

    def _remove_waiter(self, attempt_id):
        self._waiter_counts[attempt_id] -= 1
        if not self._waiter_counts[attempt_id]:
            del self._waiter_counts[attempt_id]

    def _cancel_if_unwanted(self, attempt_id):
        """Cancel an attempt if no connection waits for it any more."""
        if attempt_id not in self._waiter_counts:
            self._gate.cancel(attempt_id)

    async def _await_and_reply(self, exchange, attempt_id, outcome):
        try:
            self._reply(exchange, await outcome)
        finally:
            self._remove_waiter(attempt_id)

    def _reply(self, exchange, outcome):
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
    """Return the HTTP status if the reason alone does not determine it.

    Returns:
        502 if the upstream's answer was too large, because the 413 of this
        reason is for requests; else None.
    """
    answer_too_large = (
        refusal.reason is calls.Reason.TOO_LARGE
        and refusal.ran is not errors.Outcome.DID_NOT_RUN
    )
    return 502 if answer_too_large else None


def read_refusal(answer, fields, method):
    """Return the `calls.Refusal` in another daemon's answer.

    Args:
        answer: A `callserver.Answer`.
        fields: The answer's headers by lower-case name.
        method: Method of the request; an answer to HEAD has no body.
    """
    try:
        ran = errors.Outcome(fields.get(b'jujubefold-outcome', b'').decode())
        reason = calls.Reason(fields.get(b'jujubefold-reason', b'').decode())
        if method == 'HEAD':
            return calls.Refusal(ran, reason)
        problem = msgspec.json.decode(
            b''.join(answer.chunks), type=problems.Problem
        )
    except (ValueError, *decoding.FAULTS):
        return _INVALID_ANSWER
    return calls.Refusal(ran, reason, problem.retry_after, problem.detail)
