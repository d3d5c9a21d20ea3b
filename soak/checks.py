"""Checks of the results of callers and upstreams against the guarantees."""

import asyncio
import collections
import dataclasses
import itertools

from jujubefold.sidecar import enlistment
from soak import testbed as testbeds
from tests import sidecars

DEADLINE_MS = 2000
# Seconds after a request's deadline within which its answer must arrive.
ANSWER_MARGIN_S = 1.0
# Seconds after a kill or pause of a daemon during which its connections may
# be lost.
DISRUPTION_S = 3.0
# Seconds after the last fault within which all daemons have the newest
# version in force and serve requests.
RECOVERY_S = 8.0
# Seconds after an upstream first named a limit from which it must be kept,
# span in which its requests are counted, and how many there may be: a number
# of times what the limit allows, and a number more.
LIMIT_KNOWN_S = 3.0
LIMIT_SPAN_S = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
# Statuses which state that the request did not run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


@dataclasses.dataclass(frozen=True, slots=True)
class CallResult:
    """Result of one request, as its caller saw it.

    Args:
        request: Request id.
        target: Request target.
        write: Whether the request must not run twice.
        status: HTTP status, 0 when the connection was lost, or -1 when no
            answer came in time.
        body: Body of the answer.
        seconds: Time until the answer or the failure.
        excused: Whether a kill or pause of the daemon excuses a late or
            missing answer.
    """

    request: str
    target: str
    write: bool
    status: int
    body: bytes
    seconds: float
    excused: bool


class Callers:
    """Sends requests to all VMs and records the results.

    Args:
        testbed: A `testbed.Testbed`.
    """

    def __init__(self, testbed):
        self.results = []
        self._testbed = testbed
        self._ids = itertools.count(1)

    async def run(self, until):
        """Send requests to random VMs until an event is set."""
        while not until.is_set():
            await self.call(self._testbed.rng.choice(self._testbed.vms))
            await asyncio.sleep(self._testbed.rng.expovariate(20))

    async def call(self, vm):
        """Send one request to a VM and return its `CallResult`."""
        write = self._testbed.rng.random() < 0.5
        name = f'{vm.name}-{next(self._ids)}'
        target = f'/{"write" if write else "read"}/{name}'
        loop = asyncio.get_running_loop()
        started = loop.time()
        status, body = 0, b''
        try:
            async with asyncio.timeout(
                DEADLINE_MS / 1000 + ANSWER_MARGIN_S + 2
            ):
                answer = await sidecars.request(
                    vm.callers,
                    'POST' if write else 'GET',
                    target,
                    {
                        'Host': sidecars.HOST,
                        'X-Request-Id': name,
                        'X-Deadline-Ms': DEADLINE_MS,
                    },
                    b'b' if write else b'',
                )
                status, body = answer.status, answer.body
        except (OSError, asyncio.IncompleteReadError):
            pass
        except TimeoutError:
            status = -1
        result = CallResult(
            name,
            target,
            write,
            status,
            body,
            loop.time() - started,
            vm.disrupted_at + DISRUPTION_S > started,
        )
        self.results.append(result)
        return result


def violations(testbed, callers):
    """Yield one line for each guarantee that a request violated.

    Args:
        testbed: The `testbed.Testbed` after the faults.
        callers: The `Callers`.
    """
    executions = collections.Counter(
        run.id for vm in testbed.vms for run in vm.upstream.requests
    )
    for result in callers.results:
        count = executions[result.request]
        if result.write and count > 1:
            yield f'duplicate: {result} was executed {count} times'
        if result.write and result.status in NOT_RUN_STATUSES and count:
            yield f'ran-despite-refusal: {result}'
        if result.status == 200:
            body = f'{result.request} {result.target}'.encode()
            if result.body != body or not count:
                yield f'wrong-answer: {result}'
        if result.status not in (0, -1, 200, 502, 503, 504):
            yield f'unexpected-status: {result}'
        if result.status == -1 and not result.excused:
            yield f'no-answer: {result}'
        late = DEADLINE_MS / 1000 + ANSWER_MARGIN_S
        if result.seconds > late and not result.excused:
            yield f'late: {result}'
        if result.status == 0 and count and not result.excused:
            yield f'lost-connection: {result}'


async def unrecovered(testbed, callers):
    """Yield one line for each VM that does not serve the newest version.

    All VMs are asked at the same time, for up to `RECOVERY_S` seconds.
    Versions may go on being published meanwhile, and each has a route of its
    own: what is asked for is the route of the newest at that moment.
    """
    deadline = asyncio.get_running_loop().time() + RECOVERY_S
    answers = await asyncio.gather(
        *(_newest_once_served(testbed, vm, deadline) for vm in testbed.vms)
    )
    for vm, (target, status) in zip(testbed.vms, answers, strict=True):
        if status != 200:
            yield f'not recovered: {vm.name} answers {status} to {target}'


async def _newest_once_served(testbed, vm, deadline):
    """Send requests until one is served; return the last one and its status.

    Returns:
        Pair of the target and the status.
    """
    loop = asyncio.get_running_loop()
    target, status = None, None
    while loop.time() < deadline and status != 200:
        target = f'{testbed.target}x'
        try:
            async with asyncio.timeout(2.0):
                answer = await sidecars.request(
                    vm.callers,
                    'GET',
                    target,
                    {
                        'Host': sidecars.HOST,
                        'X-Request-Id': f'settle-{vm.name}',
                        'X-Deadline-Ms': 1000,
                    },
                )
                status = answer.status
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            status = 0
        await asyncio.sleep(0.05)
    return target, status


def drain_violations(testbed):
    """Yield a line for each request sent to an upstream after its drain."""
    for vm in testbed.vms:
        for run, seconds in vm.late_executions:
            yield (
                f'drained: {vm.name} was sent {run.id} {seconds:.2f} s after '
                f'its drain was announced; {testbeds.DRAIN_S} s are allowed'
            )


def limit_violations(testbed):
    """Yield a line for each limit of an upstream that was not kept."""
    for vm in testbed.vms:
        for limit in vm.limits:
            if limit.since is None:
                continue
            times = [
                time
                for time in limit.arrivals
                if time >= limit.since + LIMIT_KNOWN_S
            ]
            allowed = (
                LIMIT_FACTOR * limit.per_second * LIMIT_SPAN_S + LIMIT_SLACK
            )
            most = max(
                (
                    sum(first <= time < first + LIMIT_SPAN_S for time in times)
                    for first in times
                ),
                default=0,
            )
            if most > allowed:
                yield (
                    f'limit: {vm.name} got {most} requests in '
                    f'{LIMIT_SPAN_S} s at a limit of {limit.per_second:.1f} '
                    f'a second; {allowed:.0f} are allowed'
                )


async def lost_members(testbed):
    """Yield a line for each VM whose daemon's row stays lost."""
    loop = asyncio.get_running_loop()
    deadline = loop.time() + RECOVERY_S
    for vm in testbed.vms:
        key = (enlistment.MEMBERS_TABLE, vm.name)
        while key not in testbed.store.rows and loop.time() < deadline:
            await asyncio.sleep(0.05)
        if key not in testbed.store.rows:
            yield f'lost row: {vm.name} is not among the members'
