"""Requests of one machine, some of whose connections are reset repeatedly."""

import asyncio
import pathlib
import random
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import standin_case as cases  # noqa: E402
import standin_fleet as fleets  # noqa: E402
import standin_store as platform  # noqa: E402

SERVICE = 'fittings'
# Instances of the own zone are few and small, so that requests go to others.
NEAR_SLOTS = 1
FAR_SLOTS = 6
DEADLINE_S = {'/scan/x': 3.6, '/profile/x': 1.5}
WORK_S = {'/scan/x': 0.33, '/profile/x': 0.11}
PER_SECOND = 60
# Every so many requests is an upload.
UPLOADS = 10
# Resets follow each other, then comes a pause.
BURSTS = 7
RESETS = 8
RESET_GAP_S = 0.6
PAUSE_S = 5.0
SHARE = 0.55


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
            'timeout_s': DEADLINE_S[f'{prefix}x'],
            'target_latency_s': DEADLINE_S[f'{prefix}x'] / 2,
            'priority': 1,
            'service': SERVICE,
            'max_attempts': 2,
        }
        for name, prefix, kind in (
            ('scan-upload', '/scan/', 'non_idempotent'),
            ('client-profile', '/profile/', 'idempotent'),
        )
    ]
    store.put(
        'op',
        'config',
        platform.configuration(7, routes, ['catalogue', SERVICE]),
    )
    with tempfile.TemporaryDirectory() as folder:
        fleet = fleets.Fleet(store, folder)
        places = [('side-a-0', 'cairo-a', 'catalogue', FAR_SLOTS)]
        places += [
            (f'side-a-{n}', 'cairo-a', SERVICE, NEAR_SLOTS) for n in (1, 2, 3)
        ]
        places += [
            (f'side-b-{n}', 'cairo-b', SERVICE, FAR_SLOTS)
            for n in (1, 2, 3, 4, 5)
        ]
        for name, zone, service, slots in places:
            instance = fleets.Instance(
                f'i-{name}',
                service,
                record,
                slots,
                lambda message: WORK_S[message.first[1]],
            )
            fleet.add(name, zone, instance)
        try:
            if not await fleet.start():
                return (
                    cases.NOT_RUN,
                    record,
                    ['the daemons did not become ready'],
                )
            await asyncio.sleep(4.0)
            served, foreign, late = await run(fleet, record, trouble)
        finally:
            await fleet.close()
    notes = [
        f'{served} requests served, {len(foreign)} with the answer to another'
        f', {late} not answered before their deadline'
    ]
    notes.extend(f'MIXED: {line}' for line in foreign)
    if served < 100:
        return cases.NOT_RUN, record, [*notes, 'too few requests were served']
    return cases.BROKEN if foreign else cases.HELD, record, notes


async def run(fleet, record, trouble):
    """Send requests; return served, foreign and late ones."""
    caller = fleet.machines['side-a-0']
    rng = random.Random(1)
    served, foreign, late = 0, [], 0

    async def send(number):
        nonlocal served, late
        request_id = f'{number:016x}'
        method, target, body = 'GET', '/profile/x', b''
        if number % UPLOADS == 0:
            method, target, body = 'POST', '/scan/x', b'scan'
        status, answer = await fleets.call(
            record,
            caller,
            request_id,
            method,
            target,
            DEADLINE_S[target],
            body,
        )
        if status in (0, 504):
            late += 1
        if status == 200:
            served += 1
            if not answer.body.startswith(request_id.encode()):
                foreign.append(
                    f'{request_id} ({method}) got {answer.body.decode()}'
                )

    async def disturb():
        for _ in range(BURSTS):
            await asyncio.sleep(PAUSE_S)
            for _ in range(RESETS):
                if trouble:
                    record.add('reset', caller.name)
                    fleet.reset_connections(caller.name, SHARE, rng)
                await asyncio.sleep(RESET_GAP_S)

    disturbing = asyncio.ensure_future(disturb())
    calls = []
    while not disturbing.done():
        calls.append(asyncio.ensure_future(send(len(calls))))
        await asyncio.sleep(1 / PER_SECOND)
    await asyncio.gather(disturbing, *calls)
    await asyncio.sleep(PAUSE_S / 2)
    return served, foreign, late


if __name__ == '__main__':
    cases.main(play, __file__)
