"""Keyed calls: run once per idempotency key, then replay the answer."""

import asyncio

import msgspec

from jujubefold import calls
from jujubefold import callserver
from jujubefold import claimoutcome
from jujubefold import decoding
from jujubefold import errors
from jujubefold import events

KEY_RUNNING_RETRY_AFTER_S = 1.0
STORE_RETRY_AFTER_S = 2.0
# Longest time that a refusal is held back until its claim is released, so
# that another daemon can claim the key as soon as the caller retries.
RELEASE_TIMEOUT_S = 0.5

_KEY_RUNNING = calls.Refusal(
    errors.Outcome.UNKNOWN,
    calls.Reason.KEY_RUNNING,
    KEY_RUNNING_RETRY_AFTER_S,
    'an earlier request with this idempotency key is still running',
)
_KEY_IN_DOUBT = calls.Refusal(
    errors.Outcome.UNKNOWN,
    calls.Reason.KEY_UNKNOWN,
    detail='it is unknown whether an earlier request with this key ran',
)
_KEY_REUSED = calls.Refusal(
    errors.Outcome.DID_NOT_RUN,
    calls.Reason.KEY_REUSED,
    detail='the idempotency key was already used for a different request',
)
_ANSWER_UNREADABLE = calls.Refusal(
    errors.Outcome.RAN,
    calls.Reason.KEY_UNKNOWN,
    detail='the request ran, but its recorded answer cannot be decoded',
)


class Recorded(msgspec.Struct, frozen=True, array_like=True):
    """The answer to a key's first request, as stored with its claim."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Recorded)


class KeyedCalls:
    """Runs the request of each idempotency key at most once in the fleet.

    Args:
        claims: A `claims.Claims`.
        holder: `vm/incarnation` of this daemon.
        clock: A `clock.Clock`.
        record: Called with each `events.Event`.
    """

    def __init__(self, claims, holder, clock, record):
        self._claims = claims
        self._holder = holder
        self._clock = clock
        self._record = record
        self._tasks = set()

    async def run_once(self, call, progress, run):
        """Run a call if no request with its key has run yet.

        Args:
            call: A `calls.Call` with a key.
            progress: Its `callgate.Progress`.
            run: Coroutine function that runs the call. Its argument is a
                function to call right before the request is sent; if that
                returns false, the request must not be sent.

        Returns:
            A `callserver.Answer`, which may be the recorded one, or a
            `calls.Refusal`.
        """
        request = claimoutcome.ClaimRequest(
            call.path, call.key, call.fingerprint, self._holder
        )
        left = max(0.0, call.deadline - self._clock.monotonic())
        result = await self._spawn(self._claims.claim(request, left))
        match result:
            case claimoutcome.Claimed():
                return await self._run(result, progress, run)
            case claimoutcome.Answered(answer=answer):
                return _decode_answer(answer)
            case claimoutcome.Running():
                return _KEY_RUNNING
            case claimoutcome.InDoubt():
                return _KEY_IN_DOUBT
            case claimoutcome.Reused():
                return _KEY_REUSED
            case claimoutcome.Unavailable():
                return _unavailable_refusal(result)

    async def _run(self, claim, progress, run):
        def may_send():
            progress.committed = claim.may_start(self._clock.monotonic())
            return progress.committed

        try:
            outcome = await run(may_send)
        except asyncio.CancelledError:
            self._spawn(self._end_cancelled(claim, progress))
            raise
        if isinstance(outcome, callserver.Answer):
            self._spawn(
                self._claims.record_answer(claim, _encode_answer(outcome), 0.0)
            )
        elif outcome.ran is errors.Outcome.DID_NOT_RUN:
            await self._spawn(self._claims.release(claim, RELEASE_TIMEOUT_S))
        else:
            self._record(
                events.Event('key.in_doubt', detail=claim.request.key)
            )
            self._spawn(self._claims.mark_in_doubt(claim, 0.0))
        return outcome

    def _end_cancelled(self, claim, progress):
        if progress.committed:
            return self._claims.mark_in_doubt(claim, 0.0)
        return self._claims.release(claim, 0.0)

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _encode_answer(answer):
    return _encoder.encode(
        Recorded(answer.status, answer.headers, b''.join(answer.chunks))
    )


def _decode_answer(encoded):
    decoded = decoding.decode(_decoder, encoded, 'answer')
    if decoded.is_error():
        return _ANSWER_UNREADABLE
    recorded = decoded.ok
    body = recorded.body
    return callserver.Answer(
        recorded.status, list(recorded.headers), [body], len(body)
    )


def _unavailable_refusal(result):
    if result.earlier_ran is errors.Outcome.RAN:
        return calls.Refusal(
            errors.Outcome.RAN,
            calls.Reason.STORE_DOWN,
            STORE_RETRY_AFTER_S,
            'the request already ran; its recorded answer is unavailable',
        )
    return calls.Refusal(
        errors.Outcome.DID_NOT_RUN,
        calls.Reason.STORE_DOWN,
        STORE_RETRY_AFTER_S,
        f'this request was not run: {result.reason}',
    )
