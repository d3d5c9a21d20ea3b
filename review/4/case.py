"""An instance spoils one byte of some answers: the first of their status."""

import asyncio
import pathlib
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from standins import case as cases  # noqa: E402
from standins import fleet as fleets  # noqa: E402
from standins import platform  # noqa: E402

SERVICE = 'orders'
TIMEOUT_S = 2.0
DEADLINE_S = 3.3
WORK_S = 0.07
PER_SECOND = 60
SECONDS = 70.0
# Every so many answers of the garbling instance is spoiled.
SPOILED = 50
# What the rule allows after the route's timeout, and how many requests and
# which share of them may exceed it.
SLACK_S = 0.5
MIN_LATE = 8
LATE_SHARE = 0.5


class Garbler(fleets.Instance):
    """An instance that spoils some answers."""

    spoils = False
    answers = 0

    def answer(self, request_id):
        """Return the bytes of an answer."""
        data = super().answer(request_id)
        self.answers += 1
        if self.spoils and self.answers % SPOILED == 0:
            self._record.add('spoiled', request_id, self.id)
            return data.replace(b'HTTP/1.1 200', b'HTTP/1.1 600', 1)
        return data


async def play(trouble):
    record = fleets.Record()
    store = platform.Store()
    await store.start()
    routes = [
        {
            'name': name,
            'host': 'shop.example',
            'prefix': prefix,
            'kind': kind,
            'timeout_s': TIMEOUT_S,
            'target_latency_s': 0.5,
            'priority': 1,
            'service': SERVICE,
            'max_attempts': 2,
        }
        for name, prefix, kind in (
            ('deposit-confirm', '/deposit/', 'non_idempotent'),
            ('ledger-check', '/ledger/', 'idempotent'),
        )
    ]
    store.put(
        'op',
        'config',
        platform.configuration(7, routes, ['catalogue', SERVICE]),
    )
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleets.Fleet(store, folder)
        for name, service, kind in (
            ('side-a-1', 'catalogue', fleets.Instance),
            ('side-a-2', SERVICE, fleets.Instance),
            ('side-a-3', SERVICE, fleets.Instance),
            ('side-a-4', SERVICE, Garbler),
        ):
            instance = kind(
                f'i-{name}', service, record, work=lambda message: WORK_S
            )
            fleet.add(name, 'cairo-a', instance)
        try:
            if not await fleet.start():
                return (
                    cases.NOT_RUN,
                    record,
                    ['the daemons did not become ready'],
                )
            await asyncio.sleep(4.0)
            fleet.machines['side-a-4'].instance.spoils = trouble
            results = await run(fleet, record)
        finally:
            await fleet.close()
    served = sum(status == 200 for status, _ in results.values())
    # A request without an answer was waited for until the client's deadline.
    unanswered = [
        key for key, (_, took) in results.items() if took > TIMEOUT_S
    ]
    late = [
        key
        for key in unanswered
        if results[key][0] == 0 or results[key][1] > TIMEOUT_S + SLACK_S
    ]
    notes = [
        f'{served} of {len(results)} requests served, {len(unanswered)}'
        f' unanswered at their timeout, {len(late)} also {SLACK_S} s later'
    ]
    notes.extend(f'CONFIG: {key} was never answered' for key in late)
    if served < 100:
        return cases.NOT_RUN, record, [*notes, 'too few were served']
    broken = len(late) >= MIN_LATE and (
        len(late) > LATE_SHARE * len(unanswered)
    )
    return cases.BROKEN if broken else cases.HELD, record, notes


async def run(fleet, record):
    """Send requests; return the status and seconds of each by its id."""
    caller = fleet.machines['side-a-1']
    loop = asyncio.get_running_loop()
    results = {}

    async def send(number):
        request_id = f'{number:016x}'
        method, target, body = 'GET', '/ledger/x', b''
        if number % 2:
            method, target, body = 'POST', '/deposit/x', b'deposit'
        began_at = loop.time()
        status, _ = await fleets.call(
            record, caller, request_id, method, target, DEADLINE_S, body
        )
        results[request_id] = status, loop.time() - began_at

    end = loop.time() + SECONDS
    calls = []
    while loop.time() < end:
        calls.append(asyncio.ensure_future(send(len(calls))))
        await asyncio.sleep(1 / PER_SECOND)
    await asyncio.gather(*calls)
    return results


if __name__ == '__main__':
    cases.main(play, __file__)
