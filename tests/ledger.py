"""A ledger of requests: what callers were told against what ran."""

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


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    """What a caller learned of one request, last answer.

    Args:
        status: HTTP status, 0 when no whole answer came.
        outcome: Value of the outcome header, '' when none came.
        reason: Value of the reason header.
        sent: Times that the caller sent it.
    """

    status: int
    outcome: str
    reason: str
    sent: int


class Load:
    """Callers in threads that send requests until stopped.

    Args:
        addresses: Callable that returns the daemons' caller addresses.
        path: Path called.
        keyed: Send POST with an idempotency key, and send again what was
            not answered 200, with the same key.
        threads: Callers at once.
        seed: Seed of their choices.
    """

    def __init__(self, addresses, path, keyed, threads=4, seed=1):
        self.told = {}
        self._addresses = addresses
        self._path = path
        self._keyed = keyed
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
        """Requests answered 200 so far."""
        return sum(told.status == 200 for told in list(self.told.values()))

    @property
    def reasons(self):
        """How often each outcome and reason was the last one told."""
        return collections.Counter(
            (told.status, told.outcome, told.reason)
            for told in self.told.values()
        )

    def _run(self, seed):
        rng = random.Random(seed)
        http = urllib3.PoolManager(retries=False, timeout=CALL_TIMEOUT_S)
        while self._running:
            name = f'r-{next(self._numbers)}'
            for sent in range(1, 5 if self._keyed else 2):
                told = self._send(http, rng, name, sent)
                self.told[name] = told
                if told.status == 200:
                    break
                time.sleep(0.2)
            time.sleep(PAUSE_S)

    def _send(self, http, rng, name, sent):
        address = rng.choice(self._addresses())
        headers = {'jujubefold-request-id': name}
        body = None
        if self._keyed:
            headers['idempotency-key'] = f'"{name}"'
            body = name.encode()
        try:
            answer = http.request(
                'POST' if self._keyed else 'GET',
                f'http://{address}{self._path}/{name}',
                body=body,
                headers=headers,
            )
        except urllib3.exceptions.HTTPError:
            return Told(0, '', '', sent)
        return Told(
            answer.status,
            answer.headers.get('jujubefold-outcome', ''),
            answer.headers.get('jujubefold-reason', ''),
            sent,
        )


def executions(upstreams):
    """Return how often each request ran, over live upstream processes."""
    total = collections.Counter()
    http = urllib3.PoolManager(retries=False, timeout=CALL_TIMEOUT_S)
    for upstream in upstreams:
        address = upstream.addresses['address']
        answer = http.request('GET', f'http://{address}/_executions')
        total.update(json.loads(answer.data))
    return total


def lies(told, ran):
    """Return the requests whose callers were told what is not so.

    Args:
        told: Mapping from request id to `Told`, one key a request.
        ran: Mapping from request id to executions.

    Returns:
        List of (request id, `Told`, executions).
    """
    return [
        (name, what, ran[name])
        for name, what in told.items()
        if not _is_true(what, ran[name])
    ]


def _is_true(what, count):
    if what.outcome == 'ran':
        return count == 1
    if what.outcome == 'did-not-run' and what.sent == 1:
        return count == 0
    return count <= 1
