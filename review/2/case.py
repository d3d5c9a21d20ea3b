"""Requests that may run once, while a machine is cut off for two seconds."""

import asyncio
import pathlib
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import standin_case as cases  # noqa: E402
import standin_fleet as fleets  # noqa: E402
import standin_store as platform  # noqa: E402

SERVICE = 'fittings'
DEADLINE_S = 3.6
WORK_S = 0.33
PER_SECOND = 16
# Every other upload is small.
BODIES = (b's' * 60_000, b's' * 300)
# Statuses that promise that a request has not run and never will.
PROMISES = (408, 421, 429, 503)
ROUNDS = 6
CUT_S = 2.0
PAUSE_S = 6.0


async def play(trouble):
    record = fleets.Record()
    store = platform.Store()
    await store.start()
    route = {
        'name': 'scan-upload',
        'host': 'shop.example',
        'prefix': '/scan/',
        'kind': 'non_idempotent',
        'timeout_s': DEADLINE_S,
        'target_latency_s': 1.8,
        'priority': 1,
        'service': SERVICE,
        'max_attempts': 2,
    }
    store.put(
        'op',
        'config',
        platform.configuration(7, [route], ['catalogue', SERVICE]),
    )
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleets.Fleet(store, folder)
        for name, zone, service in (
            ('side-a-1', 'cairo-a', 'catalogue'),
            ('side-b-1', 'cairo-b', SERVICE),
            ('side-c-1', 'cairo-c', SERVICE),
        ):
            instance = fleets.Instance(
                f'i-{name}', service, record, work=lambda message: WORK_S
            )
            fleet.add(name, zone, instance)
        try:
            if not await fleet.start():
                return (
                    cases.NOT_RUN,
                    record,
                    ['the daemons did not become ready'],
                )
            await asyncio.sleep(3.0)
            statuses = await run(fleet, record, trouble)
        finally:
            await fleet.close()
    runs = {}
    for machine in fleet.machines.values():
        for request_id in machine.instance.runs:
            runs.setdefault(request_id, []).append(machine.instance.id)
    refused = [key for key in sorted(runs) if statuses.get(key) in PROMISES]
    twice = [key for key, places in sorted(runs.items()) if len(places) > 1]
    served = sum(status == 200 for status in statuses.values())
    notes = [
        f'{served} requests served, {len(refused)} refused though they ran,'
        f' {len(twice)} ran more than once'
    ]
    notes.extend(
        f'REFUSED: {key} ran at {runs[key][0]}, answered {statuses[key]}'
        for key in refused
    )
    notes.extend(
        f'TWICE: {key} ran at {" and ".join(runs[key])}' for key in twice
    )
    if served < 100:
        return cases.NOT_RUN, record, [*notes, 'too few were served']
    return cases.BROKEN if refused else cases.HELD, record, notes


async def run(fleet, record, trouble):
    """Send requests for all rounds; return each one's status by its id."""
    caller = fleet.machines['side-a-1']
    cut = fleet.machines['side-b-1']
    statuses = {}

    async def send(number):
        request_id = f'{number:016x}'
        statuses[request_id], _ = await fleets.call(
            record,
            caller,
            request_id,
            'POST',
            '/scan/x',
            DEADLINE_S,
            BODIES[number % len(BODIES)],
        )

    async def disturb():
        for _ in range(ROUNDS):
            await asyncio.sleep(PAUSE_S)
            if trouble:
                record.add('cut', cut.name, 'begins')
                await cut.cut_off(CUT_S)
                record.add('cut', cut.name, 'ends')
            else:
                await asyncio.sleep(CUT_S)

    disturbing = asyncio.ensure_future(disturb())
    calls = []
    while not disturbing.done():
        calls.append(asyncio.ensure_future(send(len(calls))))
        await asyncio.sleep(1 / PER_SECOND)
    await asyncio.gather(disturbing, *calls)
    await asyncio.sleep(PAUSE_S / 2)
    return statuses


if __name__ == '__main__':
    cases.main(play, __file__)
