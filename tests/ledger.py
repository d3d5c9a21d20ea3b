"""Load generator that compares reported outcomes with actual executions."""

import collections
import dataclasses
import itertools
import json
import random
import threading
import time

import urllib3

CALL_TIMEOUT_S = 15.0
PAUSE_S = 0.005
# Reasons recorded with status 0: the connection was refused, or it ended
# before a complete answer was received.
CONNECTION_REFUSED = 'refused'
CONNECTION_LOST = 'cut'


@dataclasses.dataclass(frozen=True, slots=True)
class CallResult:
    """The last answer to a request.

    Args:
        status: HTTP status, 0 when no complete answer was received.
        outcome: Value of the outcome header, '' for none.
        reason: Value of the reason header, or why there is no answer.
        attempt: Number of times that the request was sent.
        earlier_answers: (status, reason) of the earlier attempts, oldest
            first.
    """

    status: int
    outcome: str
    reason: str
    attempt: int
    earlier_answers: tuple = ()


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedCall:
    """One request to send.

    Args:
        name: Request id, also the idempotency key.
        fault: Fault requested of the upstream, '' for none.
        body: Request body.
    """

    name: str
    fault: str
    body: bytes


class LoadGenerator:
    """Sends requests from several threads until it is stopped.

    Args:
        addresses: Callable that returns the daemons' caller addresses.
        path: Path prefix of the requests.
        keyed: Send POST with an idempotency key, and repeat requests that
            were not answered with 200 under the same key.
        threads: Number of concurrent callers.
        seed: Seed of the first caller's random choices; the others count up
            from it.
        prepare: Called with the `random.Random` of a caller; returns the
            fault to request ('' for none) and the number of random bytes to
            add to the body.
    """

    def __init__(
        self, addresses, path, keyed, threads=4, seed=1, prepare=None
    ):
        self.results = {}
        # Requests answered with 200 and a body other than the expected one.
        self.mismatched = []
        self._prepare = prepare or _plain_call
        self._addresses = addresses
        self._path = path
        self._with_keys = keyed
        self._numbers = itertools.count()
        self._running = True
        self._threads = [
            threading.Thread(target=self._run, args=(seed + n,), daemon=True)
            for n in range(threads)
        ]

    def __enter__(self):
        for thread in self._threads:
            thread.start()
        return self

    def __exit__(self, *failure):
        self._running = False
        for thread in self._threads:
            thread.join()

    @property
    def served(self):
        """Number of requests answered with 200 so far."""
        return sum(
            result.status == 200 for result in list(self.results.values())
        )

    @property
    def reason_counts(self):
        """Count of requests for each last (status, outcome, reason)."""
        return collections.Counter(
            (result.status, result.outcome, result.reason)
            for result in self.results.values()
        )

    def _run(self, seed):
        rng = random.Random(seed)
        http = urllib3.PoolManager(retries=False, timeout=CALL_TIMEOUT_S)
        while self._running:
            name = f'{self._path[1:]}-{next(self._numbers)}'
            fault, size = self._prepare(rng)
            body = name.encode() if self._with_keys else b''
            call = PlannedCall(name, fault, body + rng.randbytes(size))
            for attempt in range(1, 5 if self._with_keys else 2):
                result = self._send_to_any(http, rng, call, attempt)
                self._record(name, result)
                if result.status == 200:
                    break
                time.sleep(0.2)
            time.sleep(PAUSE_S)

    def resend(self, name, address):
        """Send a key again without a fault, and record the answer."""
        http = urllib3.PoolManager(retries=False, timeout=CALL_TIMEOUT_S)
        attempt = self.results[name].attempt + 1
        result = self._request(
            http, address, PlannedCall(name, '', name.encode()), attempt
        )
        self._record(name, result)
        return result

    def _record(self, name, result):
        before = self.results.get(name)
        if before is not None:
            earlier_answers = (
                *before.earlier_answers,
                (before.status, before.reason),
            )
            result = dataclasses.replace(
                result, earlier_answers=earlier_answers
            )
        self.results[name] = result

    def _send_to_any(self, http, rng, call, attempt):
        return self._request(
            http, rng.choice(self._addresses()), call, attempt
        )

    def _request(self, http, address, call, attempt):
        headers = {
            'jujubefold-request-id': call.name,
            'example-echo': call.name,
        }
        if call.fault:
            headers['example-fault'] = call.fault
        if self._with_keys:
            headers['idempotency-key'] = f'"{call.name}"'
        try:
            answer = http.request(
                'POST' if self._with_keys else 'GET',
                f'http://{address}{self._path}/{call.name}',
                body=call.body or None,
                headers=headers,
            )
        except urllib3.exceptions.NewConnectionError:
            return CallResult(0, '', CONNECTION_REFUSED, attempt)
        except urllib3.exceptions.HTTPError as error:
            return CallResult(0, '', f'{CONNECTION_LOST}: {error!r}', attempt)
        if answer.status == 200 and not _is_expected(answer.data, call):
            self.mismatched.append((call.name, answer.data[:100]))
        return CallResult(
            answer.status,
            answer.headers.get('jujubefold-outcome', ''),
            answer.headers.get('jujubefold-reason', ''),
            attempt,
        )


def _plain_call(rng):
    return '', 0


def _is_expected(data, call):
    if call.fault == 'mirror':
        return data == call.body
    found = json.loads(data)
    return (found['echo'], found['size']) == (call.name, len(call.body))


def executions(upstreams):
    """Return how often each request ran, summed over running upstreams."""
    total = collections.Counter()
    http = urllib3.PoolManager(retries=False, timeout=CALL_TIMEOUT_S)
    for upstream in upstreams:
        address = upstream.addresses['address']
        answer = http.request('GET', f'http://{address}/_executions')
        total.update(json.loads(answer.data))
    return total


def wrong_outcomes(results, executions_by_id):
    """Return the requests whose reported outcome contradicts executions.

    Args:
        results: Mapping from request id to `CallResult`.
        executions_by_id: Mapping from request id to number of executions.

    Returns:
        List of (request id, `CallResult`, number of executions).
    """
    return [
        (name, result, executions_by_id[name])
        for name, result in results.items()
        if not _is_consistent(result, executions_by_id[name])
    ]


def _is_consistent(result, execution_count):
    if result.outcome == 'ran':
        return execution_count == 1
    if result.outcome == 'did-not-run' and result.attempt == 1:
        return execution_count == 0
    return execution_count <= 1
