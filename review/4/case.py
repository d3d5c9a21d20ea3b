"""An instance leaves while the store is down; then its daemon is killed."""

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
PER_SECOND = 12
# Bounds of the deployment.
DRAIN_S = 2.0
CONTACT_S = 3.0
# Seconds from the acknowledgement to the store's return, from there to the
# kill, and until the next start.
STORE_DOWN_S = 0.8
KILL_AFTER_S = 0.3
DOWN_S = 0.3
# Seconds after its sending at which the heartbeat arrives.
LATE_S = 4.0
# Seconds for which the leaving instance still serves.
SERVES_S = 14.0


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
        for name, service in (
            ('side-a-1', 'catalogue'),
            ('side-a-2', SERVICE),
            ('side-a-3', SERVICE),
        ):
            instance = fleets.Instance(
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
            statuses, acknowledged, late = await run(fleet, record, trouble)
        finally:
            await fleet.close()
    served = sum(status == 200 for status in statuses.values())
    lost = [key for key, _ in late if statuses.get(key) != 200]
    notes = [
        f'{served} requests served, {len(late)} reached the leaving instance'
        f' later than {DRAIN_S} s after its acknowledgement,'
        f' {len(lost)} of them were lost when it ended'
    ]
    notes.extend(
        f'DRAIN: {request_id} ran {after:.2f} s after the acknowledgement'
        for request_id, after in late
    )
    if served < 100 or not acknowledged:
        return (
            cases.NOT_RUN,
            record,
            [*notes, 'too few were served, or nothing was acknowledged'],
        )
    return cases.BROKEN if late else cases.HELD, record, notes


async def run(fleet, record, trouble):
    """Let an instance leave.

    Returns:
        Each request's status by its id, whether the leaving was acknowledged,
            and the id and time of each that ran there too late.
    """
    caller = fleet.machines['side-a-1']
    leaving = fleet.machines['side-a-2']
    instance = leaving.instance
    loop = asyncio.get_running_loop()
    sent_at = {}
    ran_at = {}
    statuses = {}
    instance.on_run = lambda key: ran_at.setdefault(key, loop.time())

    async def send(number):
        request_id = f'{number:016x}'
        sent_at[request_id] = loop.time()
        statuses[request_id], _ = await fleets.call(
            record, caller, request_id, 'POST', '/scan/x', DEADLINE_S, b'scan'
        )

    async def send_all():
        calls = []
        while True:
            calls.append(asyncio.ensure_future(send(len(calls))))
            await asyncio.sleep(1 / PER_SECOND)

    sending = asyncio.ensure_future(send_all())
    await asyncio.sleep(4.0)
    # This heartbeat is delayed on its way; the instance sends no other one.
    late_beat = instance.heartbeat(leaving.zone)
    late_at = loop.time() + LATE_S
    leaving.stop_heartbeats()
    if trouble:
        record.add('store', 'down')
        fleet.store.down = True
    await asyncio.sleep(0.3)
    acknowledged = await leaving.announce(instance.deregistration())
    acknowledged_at = loop.time()
    record.add('deregistered', instance.id, acknowledged)
    await asyncio.sleep(STORE_DOWN_S)
    fleet.store.down = False
    record.add('store', 'up')
    await asyncio.sleep(KILL_AFTER_S)
    if trouble:
        record.add('killed', leaving.name)
        await leaving.kill(DOWN_S)
        record.add('started', leaving.name)
    calm_at = loop.time() + CONTACT_S
    await asyncio.sleep(max(0.0, late_at - loop.time()))
    record.add(
        'late heartbeat', instance.id, await leaving.announce(late_beat)
    )
    await asyncio.sleep(acknowledged_at + SERVES_S - loop.time())
    record.add('ends', instance.id)
    instance.end()
    await asyncio.sleep(2.0)
    sending.cancel()
    await asyncio.sleep(DEADLINE_S)
    late = [
        (key, at - acknowledged_at)
        for key, at in ran_at.items()
        if sent_at[key] > calm_at and at > acknowledged_at + DRAIN_S
    ]
    return statuses, acknowledged, late


if __name__ == '__main__':
    cases.main(play, __file__)
