"""HTTP client for the platform; failures are returned as values."""

import asyncio
import concurrent.futures
import dataclasses

import expression
import urllib3

from jujubefold import errors
from jujubefold import storelimit

WORKERS = 4
# Minimum timeout of a call; a retry with less time left is not worth sending.
MIN_TIMEOUT_S = 0.02


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One HTTP request to the platform.

    Args:
        operation: Protocol name, for metrics.
        kind: `storelimit.Kind` whose rate limit applies.
        method: HTTP method.
        url: Full URL.
        headers: Header values by name.
        body: Body bytes, or None.
    """

    operation: str
    kind: storelimit.Kind
    method: str
    url: str
    headers: dict[str, str]
    body: bytes | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """An HTTP response that was received completely."""

    status: int
    headers: urllib3.HTTPHeaderDict
    body: bytes


class StoreClient:
    """Calls the platform from `WORKERS` threads, within limits.

    Args:
        clock: A `clock.Clock`.
        timeout: Seconds for one call, including the wait for the limiter.
        limiter: A `storelimit.StoreLimiter`.
    """

    def __init__(self, clock, timeout, limiter):
        self._clock = clock
        self._timeout = timeout
        self._limiter = limiter
        self._workers = concurrent.futures.ThreadPoolExecutor(
            WORKERS, thread_name_prefix='store'
        )
        self._http = urllib3.PoolManager(maxsize=WORKERS)

    async def call(self, request, parse):
        """Make one call without a retry.

        Args:
            request: A `Request`.
            parse: Function that turns a `Response` into a result; a
                ValueError from it means a malformed response.

        Returns:
            The result of `parse`, or `Error` of `errors.StoreNotRun` or,
            for a write, of `errors.StoreOutcomeUnknown`.
        """
        deadline = self._clock.monotonic() + self._timeout
        return await self._call(request, parse, deadline)

    async def call_idempotent(self, request, parse):
        """Make an idempotent call; retry it once if its outcome is unknown.

        The retry is made within the same timeout and needs a token of the
        retry budget. The first call may still arrive after a retry that
        failed, so of the retry's results only a success is used.

        Args:
            request: A `Request`.
            parse: As in `call`.

        Returns:
            As `call`.
        """
        deadline = self._clock.monotonic() + self._timeout
        result = await self._call(request, parse, deadline)
        if not _is_unknown(result) or not self._may_retry(deadline):
            return result
        retried = await self._call(request, parse, deadline)
        return retried if retried.is_ok() else result

    async def _call(self, request, parse, deadline):
        start = self._clock.monotonic()
        refusal = await self._limiter.acquire(
            request.kind, (deadline - start) / 2
        )
        if refusal is not None:
            limited = storelimit.StoreOutcome.LIMITED
            self._limiter.record_limited(
                self._new_observation(request, limited, start)
            )
            return expression.Error(refusal)
        remaining = deadline - self._clock.monotonic()
        response = await self._send(request, max(MIN_TIMEOUT_S, remaining))
        result = response.bind(lambda found: _parse(found, parse))
        if request.kind is storelimit.Kind.READ:
            result = result.map_error(_read_failure)
        outcome = storelimit.outcome_of(result)
        received = len(response.ok.body) if response.is_ok() else 0
        self._limiter.record_result(
            self._new_observation(request, outcome, start, received)
        )
        return result

    def _may_retry(self, deadline):
        remaining = deadline - self._clock.monotonic()
        return remaining > MIN_TIMEOUT_S and self._limiter.take_retry_token()

    def close(self):
        """Close connections; calls in progress run until their timeout."""
        self._workers.shutdown(wait=False, cancel_futures=True)
        self._http.clear()

    async def _send(self, request, timeout):
        future = self._workers.submit(self._exchange, request, timeout)
        try:
            async with asyncio.timeout(timeout * 1.25):
                return await asyncio.shield(asyncio.wrap_future(future))
        except TimeoutError:
            if future.cancel():
                return _not_run(
                    'request not sent: no worker thread was free in time'
                )
            return _unknown('no response within the timeout')

    def _exchange(self, request, timeout):
        try:
            response = self._http.request(
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
            return _not_run(f'cannot connect: {error}')
        except urllib3.exceptions.ReadTimeoutError as error:
            # The cause of this timeout may have affected the idle
            # connections too.
            self._http.clear()
            return _unknown(f'no response: {error}')
        except (urllib3.exceptions.HTTPError, OSError) as error:
            return _unknown(f'incomplete response: {error}')
        return expression.Ok(
            Response(response.status, response.headers, response.data)
        )

    def _new_observation(self, request, outcome, start, received=0):
        return storelimit.Observation(
            request.operation,
            request.kind,
            outcome,
            self._clock.monotonic() - start,
            len(request.body or b''),
            received,
        )


def _parse(response, parse):
    try:
        return parse(response)
    except ValueError as error:
        return _unknown(f'malformed response: {error}')


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
