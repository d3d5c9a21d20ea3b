"""An instance spoils one byte of some answers: the first of their status.

The clients send further requests before the first one has been answered.
"""

import asyncio
import pathlib
import sys
import tempfile

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import standin_case as cases  # noqa: E402
import standin_fleet as fleets  # noqa: E402
import standin_store as platform  # noqa: E402
import standin_web as web  # noqa: E402

SERVICE = 'fittings'
TIMEOUT_S = DEADLINE_S = 1.5
WORK_S = 0.11
# Clients, each with a connection of its own, and requests that each sends at
# once, every so many seconds.
CLIENTS = 12
TOGETHER = 3
PAUSE_S = 0.5
SECONDS = 60.0
# Every so many answers of the garbling instance is spoiled.
SPOILED = 50


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
    route = {
        'name': 'client-profile',
        'host': 'shop.example',
        'prefix': '/profile/',
        'kind': 'idempotent',
        'timeout_s': TIMEOUT_S,
        'target_latency_s': 0.5,
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
    served = sum(answered == sent for sent, answered in results)
    foreign = [
        (sent, answered)
        for sent, answered in results
        if answered not in (sent, None)
    ]
    none = sum(answered is None for _, answered in results)
    notes = [
        f'{served} requests served, {len(foreign)} with the answer to another,'
        f' {none} not answered before their deadline'
    ]
    notes.extend(
        f'MIXED: {sent} got the answer to {answered}'
        for sent, answered in foreign
    )
    if served < 100:
        return cases.NOT_RUN, record, [*notes, 'too few were served']
    return cases.BROKEN if foreign else cases.HELD, record, notes


async def run(fleet, record):
    """Let all clients send requests.

    Returns:
        Pairs of a request's id and the id in the answer that its client got
            in its turn; None without an answer.
    """
    caller = fleet.machines['side-a-1']
    results = []
    await asyncio.gather(
        *(client(number, caller, record, results) for number in range(CLIENTS))
    )
    return results


async def client(number, caller, record, results):
    """Send requests on a connection, and on a new one after a failure."""
    loop = asyncio.get_running_loop()
    end = loop.time() + SECONDS
    await asyncio.sleep(PAUSE_S * number / CLIENTS)
    count = 0
    connection = None
    while loop.time() < end:
        if connection is None:
            connection = await asyncio.open_connection(
                *web.split(caller.callers)
            )
        reader, writer = connection
        sent = [f'{number:04x}{count + n:012x}' for n in range(TOGETHER)]
        count += TOGETHER
        for request_id in sent:
            record.add('sent', request_id)
            writer.write(
                web.request(
                    'GET',
                    '/profile/x',
                    [
                        ('Host', 'shop.example'),
                        ('X-Request-Id', request_id),
                        ('X-Deadline-Ms', str(round(DEADLINE_S * 1000))),
                    ],
                )
            )
        answered = []
        try:
            async with asyncio.timeout(DEADLINE_S):
                for _ in sent:
                    message = await web.read(reader)
                    found = message.fields.get('x-request-id')
                    if message.first[1] == '200':
                        answered.append(found)
                    else:
                        # A refusal of the daemon's own names no request.
                        answered.append(found or sent[len(answered)])
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            writer.close()
            connection = None
        answered += [None] * (len(sent) - len(answered))
        for request_id, found in zip(sent, answered, strict=True):
            record.add('answered', request_id, found)
            results.append((request_id, found))
        await asyncio.sleep(PAUSE_S)
    if connection is not None:
        connection[1].close()


if __name__ == '__main__':
    cases.main(play, __file__)
