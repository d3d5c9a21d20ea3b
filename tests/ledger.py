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
# Reasons kept with status 0: nobody listened, or no whole answer came.
REFUSED = 'refused'
CUT = 'cut'


@dataclasses.dataclass(frozen=True, slots=True)
class Told:
    """What a caller learned of one request, last answer.

    Args:
        status: HTTP status, 0 when no whole answer came.
        outcome: Value of the outcome header, '' when none came.
        reason: Value of the reason header.
        sent: Times that the caller sent it.
        earlier: What was told to the earlier sendings, oldest first.
    """

    status: int
    outcome: str
    reason: str
    sent: int
    earlier: tuple = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Wanted:
    """One request as a caller sends it.

    Args:
        fault: Fault that the upstream is asked for, '' for none.
    """

    name: str
    fault: str
    body: bytes


class Load:
    """Callers in threads that send requests until stopped.

    Args:
        addresses: Callable that returns the daemons' caller addresses.
        path: Path called.
        keyed: Send POST with an idempotency key, and send again what was
            not answered 200, with the same key.
        threads: Callers at once.
        seed: Seed of their choices.
        prepare: Called with the `random.Random` of the caller; returns
            the fault asked for ('' for none) and the bytes of the body
            that a `mirror` sends.
    """

    def __init__(
        self, addresses, path, keyed, threads=4, seed=1, prepare=None
    ):
        self.told = {}
        # Requests whose 200 was not the whole answer to themselves.
        self.mixed = []
        self._prepare = prepare or _plain
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
            name = f'{self._path[1:]}-{next(self._numbers)}'
            fault, size = self._prepare(rng)
            body = name.encode() if self._keyed else b''
            wanted = Wanted(name, fault, body + rng.randbytes(size))
            for sent in range(1, 5 if self._keyed else 2):
                told = self._send(http, rng, wanted, sent)
                self._keep(name, told)
                if told.status == 200:
                    break
                time.sleep(0.2)
            time.sleep(PAUSE_S)

    def resend(self, name, address):
        """Send a key again without a fault, and keep what is told."""
        http = urllib3.PoolManager(retries=False, timeout=CALL_TIMEOUT_S)
        sent = self.told[name].sent + 1
        told = self._ask(http, address, Wanted(name, '', name.encode()), sent)
        self._keep(name, told)
        return told

    def _keep(self, name, told):
        before = self.told.get(name)
        if before is not None:
            earlier = (*before.earlier, (before.status, before.reason))
            told = dataclasses.replace(told, earlier=earlier)
        self.told[name] = told

    def _send(self, http, rng, wanted, sent):
        return self._ask(http, rng.choice(self._addresses()), wanted, sent)

    def _ask(self, http, address, wanted, sent):
        headers = {
            'jujubefold-request-id': wanted.name,
            'example-echo': wanted.name,
        }
        if wanted.fault:
            headers['example-fault'] = wanted.fault
        if self._keyed:
            headers['idempotency-key'] = f'"{wanted.name}"'
        try:
            answer = http.request(
                'POST' if self._keyed else 'GET',
                f'http://{address}{self._path}/{wanted.name}',
                body=wanted.body or None,
                headers=headers,
            )
        except urllib3.exceptions.NewConnectionError:
            return Told(0, '', REFUSED, sent)
        except urllib3.exceptions.HTTPError as error:
            return Told(0, '', f'{CUT}: {error!r}', sent)
        if answer.status == 200 and not _is_whole(answer.data, wanted):
            self.mixed.append((wanted.name, answer.data[:100]))
        return Told(
            answer.status,
            answer.headers.get('jujubefold-outcome', ''),
            answer.headers.get('jujubefold-reason', ''),
            sent,
        )


def _plain(rng):
    return '', 0


def _is_whole(data, wanted):
    if wanted.fault == 'mirror':
        return data == wanted.body
    found = json.loads(data)
    return (found['echo'], found['size']) == (wanted.name, len(wanted.body))


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
