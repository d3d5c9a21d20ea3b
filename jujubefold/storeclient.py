"""HTTP calls to the platform, each ending in a value."""

import asyncio
import concurrent.futures
import dataclasses

import expression
import urllib3

from jujubefold import errors
from jujubefold import storelimit

WORKERS = 4
# A call with less time left than this is not worth sending.
MIN_TIMEOUT_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One HTTP request to the platform.

    Args:
        operation: Protocol name, for metrics.
        kind: Which budget it draws on.
        method: HTTP method.
        url: Whole URL.
        headers: Header names and values.
        body: Body bytes, or None.
    """

    operation: str
    kind: storelimit.Kind
    method: str
    url: str
    headers: dict[str, str]
    body: bytes | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """An HTTP answer that came back whole."""

    status: int
    headers: urllib3.HTTPHeaderDict
    body: bytes


class StoreClient:
    """Calls the platform from a few threads under a limit.

    Args:
        clock: A `clock.Clock`.
        timeout: Seconds for one call, waiting for the limit included.
        limiter: A `storelimit.StoreLimit`.
    """

    def __init__(self, clock, timeout, limiter):
        self._clock = clock
        self._timeout = timeout
        self._limiter = limiter
        self._workers = concurrent.futures.ThreadPoolExecutor(
            WORKERS, thread_name_prefix='store'
        )
        self._http = urllib3.PoolManager(maxsize=WORKERS)

    async def call(self, request, interpret):
        """Make one call, and try no second time.

        Args:
            request: A `Request`.
            interpret: Turns an `Answer` into a result.

        Returns:
            What `interpret` returned, or `Error` of `errors.StoreNotRun`,
            or for a write `errors.StoreOutcomeUnknown`.
        """
        deadline = self._clock.monotonic() + self._timeout
        return await self._call(request, interpret, deadline)

    async def call_idempotent(self, request, interpret):
        """Make a call that may take effect twice; try again if in doubt.

        The second try happens within the same timeout, when the retry
        budget allows. The first may still arrive after it, whatever the
        second is told, so only its success is definite.

        Args:
            request: A `Request`.
            interpret: Turns an `Answer` into a result.

        Returns:
            As `call`.
        """
        deadline = self._clock.monotonic() + self._timeout
        result = await self._call(request, interpret, deadline)
        if not _is_unknown(result) or not self._may_retry(deadline):
            return result
        again = await self._call(request, interpret, deadline)
        return again if again.is_ok() else result

    async def _call(self, request, interpret, deadline):
        start = self._clock.monotonic()
        refusal = await self._limiter.enter(
            request.kind, (deadline - start) / 2
        )
        if refusal is not None:
            limited = storelimit.StoreOutcome.LIMITED
            self._limiter.limited(self._observe(request, limited, start))
            return expression.Error(refusal)
        left = deadline - self._clock.monotonic()
        answer = await self._send(request, max(MIN_TIMEOUT_S, left))
        result = answer.bind(lambda found: _checked(found, interpret))
        if request.kind is storelimit.Kind.READ:
            result = result.map_error(_read_failure)
        outcome = storelimit.outcome_of(result)
        received = len(answer.ok.body) if answer.is_ok() else 0
        self._limiter.leave(self._observe(request, outcome, start, received))
        return result

    def _may_retry(self, deadline):
        left = deadline - self._clock.monotonic()
        return left > MIN_TIMEOUT_S and self._limiter.may_retry()

    def close(self):
        """Close connections; calls under way end by their timeout."""
        self._workers.shutdown(wait=False, cancel_futures=True)
        self._http.clear()

    async def _send(self, request, timeout):
        work = self._workers.submit(self._exchange, request, timeout)
        try:
            async with asyncio.timeout(timeout * 1.25):
                return await asyncio.shield(asyncio.wrap_future(work))
        except TimeoutError:
            if work.cancel():
                return _not_run('no worker was free in time')
            return _unknown('no answer in time')

    def _exchange(self, request, timeout):
        try:
            answer = self._http.request(
                request.method,
                request.url,
                body=request.body,
                headers=request.headers,
                timeout=urllib3.Timeout(total=timeout),
                retries=False,
                redirect=False,
            )
        except (
            urllib3.exceptions.NewConnectionError,
            urllib3.exceptions.ConnectTimeoutError,
        ) as error:
            return _not_run(f'no connection: {error}')
        except urllib3.exceptions.ReadTimeoutError as error:
            # What made this connection silent may have hit the idle ones.
            self._http.clear()
            return _unknown(f'no answer: {error}')
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return _unknown(f'no whole answer: {error}')
        return expression.Ok(
            Answer(answer.status, answer.headers, answer.data)
        )

    def _observe(self, request, outcome, start, received=0):
        return storelimit.Observation(
            request.operation,
            request.kind,
            outcome,
            self._clock.monotonic() - start,
            len(request.body or b''),
            received,
        )


def _checked(answer, interpret):
    try:
        return interpret(answer)
    except ValueError as error:
        return _unknown(f'answer not understood: {error}')


def _is_unknown(result):
    return result.is_error() and isinstance(
        result.error, errors.StoreOutcomeUnknown
    )


def _read_failure(failure):
    if isinstance(failure, errors.StoreOutcomeUnknown):
        return errors.StoreNotRun(failure.reason)
    return failure


def _not_run(reason):
    return expression.Error(errors.StoreNotRun(reason))


def _unknown(reason):
    return expression.Error(errors.StoreOutcomeUnknown(reason))
