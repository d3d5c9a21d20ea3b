"""Keys: tenants' keys that come and go, and requests that carry them."""

import asyncio
import dataclasses
import itertools
import random

from soak import testbed as testbeds
from tests import sidecars

REVOKE_S = 5.0
# Seconds between two changes of the keys, and between two requests.
CHANGE_INTERVAL_S = (1.0, 3.0)
CALL_INTERVAL_S = 0.05
# Keys in a version, and former ones that requests still carry.
KEYS = 2
FORMER_KEYS = 4
DEADLINE_MS = 2000
# Clock differences between the write to the store and its note here.
NOTE_MARGIN_S = 0.05


@dataclasses.dataclass(frozen=True, slots=True)
class KeyedRequest:
    """A request that carried a key.

    Args:
        request: Request id.
        key: Its key.
        sent_at: Loop time before it was sent.
        status: HTTP status; 0 if the connection was lost or none came.
    """

    request: str
    key: str
    sent_at: float
    status: int


class Keys:
    """Changes the keys of a testbed's versions, and sends requests.

    Args:
        testbed: A `testbed.Testbed`.
    """

    def __init__(self, testbed):
        self._testbed = testbed
        # Apart from the testbed's, so that a seed draws the same faults.
        self._rng = random.Random(testbed.seed + 1)
        self._numbers = itertools.count(1)
        self._issued = []
        self.requests = []
        for _ in range(KEYS):
            self._issue()
        # In the first version, since without tenants keys are passed on.
        testbed.keys = tuple(self._issued)

    def _issue(self):
        self._issued.append(f'key{next(self._numbers)}')

    async def change(self, until):
        """Remove the oldest key and add one, until an event is set."""
        while not until.is_set():
            await asyncio.sleep(self._rng.uniform(*CHANGE_INTERVAL_S))
            self._issue()
            self._testbed.keys = tuple(self._issued[-KEYS:])
            self._testbed.configure()

    async def call(self, until):
        """Send requests with present and former keys until an event is set."""
        loop = asyncio.get_running_loop()
        while not until.is_set():
            vm = self._rng.choice(self._testbed.vms)
            key = self._rng.choice(self._issued[-KEYS - FORMER_KEYS :])
            name = f'keyed-{next(self._numbers)}'
            sent_at = loop.time()
            status = 0
            try:
                async with asyncio.timeout(DEADLINE_MS / 1000 + 1.0):
                    answer = await sidecars.request(
                        vm.callers,
                        'GET',
                        f'{testbeds.KEYED_PREFIX}{name}',
                        {
                            'Host': sidecars.HOST,
                            'X-Request-Id': name,
                            'X-Deadline-Ms': DEADLINE_MS,
                            'Authorization': f'Token {key}',
                        },
                    )
                    status = answer.status
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                pass
            self.requests.append(KeyedRequest(name, key, sent_at, status))
            await asyncio.sleep(self._rng.expovariate(1 / CALL_INTERVAL_S))

    def violations(self):
        """Yield a line for each request that ran with a removed key."""
        executed = {}
        for vm in self._testbed.vms:
            for run in vm.upstream.requests:
                executed[run.id] = run
        for sent in self.requests:
            run = executed.get(sent.request)
            if run is None:
                continue
            names = {name.lower() for name in run.headers}
            if 'authorization' in names:
                yield f'key shown: {sent} reached an upstream with its key'
            oldest = sent.sent_at - REVOKE_S - NOTE_MARGIN_S
            if not any(
                sent.key in keys for keys in self._testbed.keys_since(oldest)
            ):
                yield f'removed key: {sent} ran {REVOKE_S} s after its removal'
