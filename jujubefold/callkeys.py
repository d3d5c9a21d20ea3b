"""Idempotency keys on the call path: run once, then repeat the answer."""

import asyncio

import msgspec

from jujubefold import calls
from jujubefold import callserver
from jujubefold import claimoutcome
from jujubefold import errors
from jujubefold import events

RUNNING_RETRY_S = 1.0
STORE_RETRY_S = 2.0
# Seconds that a refusal waits for its claim to be freed, so that another
# daemon can claim the key at once.
RELEASE_WAIT_S = 0.5

_RUNNING = calls.Refusal(
    errors.Ran.UNKNOWN,
    calls.Reason.KEY_RUNNING,
    RUNNING_RETRY_S,
    'an earlier request with this key is running',
)
_IN_DOUBT = calls.Refusal(
    errors.Ran.UNKNOWN,
    calls.Reason.KEY_UNKNOWN,
    detail='whether the request with this key ran is not known',
)
_REUSED = calls.Refusal(
    errors.Ran.DID_NOT_RUN,
    calls.Reason.KEY_REUSED,
    detail='the key was used before for a different request',
)
_DAMAGED = calls.Refusal(
    errors.Ran.RAN,
    calls.Reason.KEY_UNKNOWN,
    detail='the request ran, but its recorded answer cannot be read',
)


class Recorded(msgspec.Struct, frozen=True, array_like=True):
    """The first answer to a key, as kept by the store."""

    status: int
    headers: list[tuple[bytes, bytes]]
    body: bytes


_encoder = msgspec.msgpack.Encoder()
_decoder = msgspec.msgpack.Decoder(Recorded)


class Keys:
    """Runs each key at most once over the fleet.

    Args:
        claimed: A `claims.Claims`.
        holder: `vm/incarnation` of this daemon.
        clock: A `clock.Clock`.
        record: Called with each `events.Event`.
    """

    def __init__(self, claimed, holder, clock, record):
        self._claims = claimed
        self._holder = holder
        self._clock = clock
        self._record = record
        self._tasks = set()

    async def once(self, call, trace, run):
        """Run a call if its key never ran, else say what is known.

        Args:
            call: A `calls.Call` with a key.
            trace: Its `callgate.Trace`.
            run: Coroutine function that takes a function to call right
                before the request is sent; false forbids it.

        Returns:
            A `callserver.Answer` or a `calls.Refusal`.
        """
        request = claimoutcome.ClaimRequest(
            call.path, call.key, call.fingerprint, self._holder
        )
        left = max(0.0, call.deadline - self._clock.monotonic())
        found = await self._spawn(self._claims.claim(request, left))
        match found:
            case claimoutcome.Claimed():
                return await self._run(found, trace, run)
            case claimoutcome.Answered(answer=answer):
                return _repeat(answer)
            case claimoutcome.Running():
                return _RUNNING
            case claimoutcome.InDoubt():
                return _IN_DOUBT
            case claimoutcome.Reused():
                return _REUSED
            case claimoutcome.Unavailable():
                return _unavailable(found)

    async def _run(self, claimed, trace, run):
        def start():
            trace.committed = claimed.may_start(self._clock.monotonic())
            return trace.committed

        try:
            outcome = await run(start)
        except asyncio.CancelledError:
            self._spawn(self._cancelled(claimed, trace))
            raise
        if isinstance(outcome, callserver.Answer):
            self._spawn(self._claims.settle(claimed, _encode(outcome), 0.0))
        elif outcome.ran is errors.Ran.DID_NOT_RUN:
            await self._spawn(self._claims.release(claimed, RELEASE_WAIT_S))
        else:
            self._record(
                events.Event('key.in_doubt', detail=claimed.request.key)
            )
            self._spawn(self._claims.doubt(claimed, 0.0))
        return outcome

    def _cancelled(self, claimed, trace):
        if trace.committed:
            return self._claims.doubt(claimed, 0.0)
        return self._claims.release(claimed, 0.0)

    def _spawn(self, coroutine):
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def _encode(answer):
    return _encoder.encode(
        Recorded(answer.status, answer.headers, b''.join(answer.chunks))
    )


def _repeat(data):
    try:
        recorded = _decoder.decode(data)
    except msgspec.DecodeError:
        return _DAMAGED
    body = recorded.body
    return callserver.Answer(
        recorded.status, list(recorded.headers), [body], len(body)
    )


def _unavailable(found):
    if found.earlier is errors.Ran.RAN:
        return calls.Refusal(
            errors.Ran.RAN,
            calls.Reason.STORE_DOWN,
            STORE_RETRY_S,
            'the request ran before; its answer cannot be read now',
        )
    return calls.Refusal(
        errors.Ran.DID_NOT_RUN,
        calls.Reason.STORE_DOWN,
        STORE_RETRY_S,
        f'this sending did not run: {found.reason}',
    )
