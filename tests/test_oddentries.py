"""Tests of entries of another writer: too deep, too large, out of range.

Each place that reads input from outside must reject such an entry alone.
"""

import asyncio
import itertools
import json

import expression
import msgspec
import testtools

from jujubefold import callkeys
from jujubefold import callserver
from jujubefold import clock
from jujubefold import contacts
from jujubefold import decoding
from jujubefold import errors
from jujubefold import hophandler
from jujubefold import hops
from jujubefold.platform import configuration
from jujubefold.platform import rollouts
from jujubefold.platform import store
from jujubefold.sidecar import departures
from jujubefold.sidecar import enlistment
from jujubefold.sidecar import frames
from jujubefold.sidecar import options
from jujubefold.sidecar import rolloutmessages
from jujubefold.sidecar import roster
from jujubefold.sidecar import rowfeed
from tests import rowstore
from tests import sidecars

DEPTH = 20_000
NESTED = b'[' * DEPTH + b']' * DEPTH
NESTED_MSGPACK = b'\x91' * DEPTH + b'\x90'
HUGE = 10**30
ODD_ADDRESSES = (
    '10.0.0.1:99999',
    '10.0.0.1:65536',
    '10.0.0.1:0',
    '10.0.0.1:-1',
    '999.0.0.1:80',
    '1..2:80',
    'example.org:80',
    '',
)


def with_nested_field(document):
    """Return JSON bytes of an object with one field that nests deeply."""
    return json.dumps(document)[:-1].encode() + b',"odd":' + NESTED + b'}'


def member(**overrides):
    return {
        'vm': 'odd',
        'incarnation': 7,
        'address': '10.0.0.1:80',
        'service': 'pickups',
        'region': 'r',
        'failure_domain': 'a',
        'capacity': 0.0,
        **overrides,
    }


ODD_MEMBERS = (
    with_nested_field(member()),
    NESTED,
    *(
        json.dumps(member(**overrides)).encode()
        for overrides in (
            {'incarnation': HUGE},
            {'incarnation': 2**63},
            {'incarnation': -1},
            {'capacity': HUGE**20},
            {'vm': 'vm-1'},
            *({'address': address} for address in ODD_ADDRESSES),
        )
    ),
)


class TestMembers(testtools.TestCase):
    def test_odd_rows_leave_the_other_members_and_their_changes(self):
        """Guards against a list that is not followed any more."""

        async def scenario(fleet):
            await fleet.add('vm-1')
            await fleet.add('vm-2')
            await fleet.wait_until_linked()
            known = fleet.daemons['vm-2'].fleet.roster.members['vm-1']
            table = enlistment.MEMBERS_TABLE
            for number, value in enumerate(ODD_MEMBERS):
                await fleet.feed.put(table, f'odd-{number}', value)
            await fleet.feed.put(table, 'odd', ODD_MEMBERS[0])
            await fleet.add('vm-3')
            await fleet.wait_until_linked()
            await sidecars.wait_until(
                lambda: (
                    sum(
                        fields['peer'].startswith('odd')
                        for event, fields in fleet.event_logs['vm-1'].records
                        if event == 'member.invalid'
                    )
                    > len(ODD_MEMBERS)
                ),
                3.0,
            )
            for vm, sidecar in fleet.daemons.items():
                self.assertEqual(
                    {'vm-1', 'vm-2', 'vm-3'} - {vm},
                    set(sidecar.fleet.roster.members),
                )
                self.assertNotIn('store.lost', fleet.events(vm))
            self.assertEqual(
                known, fleet.daemons['vm-2'].fleet.roster.members['vm-1']
            )

        sidecars.run_scenario(scenario)

    def test_odd_members_of_other_daemons_are_ignored(self):
        """Guards against a daemon of a release that passes them on."""

        async def scenario(fleet):
            await fleet.add('vm-1')
            first = fleet.daemons['vm-1'].fleet
            valid = roster.Member(**member())
            odd = [
                msgspec.structs.replace(valid, address=address)
                for address in ODD_ADDRESSES
            ]
            odd.append(msgspec.structs.replace(valid, incarnation=-1))
            odd.append(msgspec.structs.replace(valid, vm=''))
            first.apply_members(frames.MembersChanged(0, 1, 1, tuple(odd), ()))
            for item in odd:
                first.add_member(item)
            self.assertEqual({}, dict(first.roster.members))
            self.assertEqual(
                2 * len(odd), fleet.events('vm-1').count('member.invalid')
            )

        sidecars.run_scenario(scenario)

    def test_odd_rows_of_contacts_name_nobody(self):
        async def scenario():
            class Rows:
                async def read(self, keys):
                    row = type('Row', (), {'values': {'other': HUGE}})
                    return expression.Ok([row, None])

            found = await contacts.ContactTable(Rows(), 1.0).read()
            self.assertEqual(('', ''), found.addresses)

        asyncio.run(scenario())


class TestAnnouncements(testtools.TestCase):
    def test_odd_heartbeats_are_rejected_and_change_nothing(self):
        """Guards against loads that can't be sent to other daemons."""

        async def scenario(fleet):
            await fleet.add('vm-1')
            await fleet.add('vm-2', service='routes')
            await fleet.wait_until_linked()
            announced = fleet.daemons['vm-1'].egress.instance_table.current
            info = {'service': 'pickups', 'version': 'v1', 'slots': 4}
            status = {'state': 'ready', 'sequence': 9, 'cold_remaining_s': 0}
            for overrides in (
                {'born': HUGE},
                {'born': 2**63},
                {'born': -1},
                {'info': {**info, 'slots': HUGE}},
                {'info': {**info, 'slots': 2**31}},
                {'status': {**status, 'sequence': HUGE}},
                {'status': {**status, 'sequence': -1}},
                {'status': {**status, 'cold_remaining_s': 1e300}},
                *({'address': address} for address in ODD_ADDRESSES),
            ):
                answer = await fleet.announce('vm-1', **overrides)
                self.assertEqual(400, answer, overrides)
            for body in (NESTED.decode(), with_nested_field({}).decode()):
                for call in ('heartbeat', 'deregister'):
                    response = await fleet.call_lifecycle_api(
                        'vm-1', call, body
                    )
                    self.assertEqual(400, response.status, call)
            for body in (f'{{"born":{HUGE}}}', '{"born":-1}'):
                response = await fleet.call_lifecycle_api(
                    'vm-1', 'deregister', body
                )
                self.assertEqual(400, response.status, body)
            self.assertIs(
                announced, fleet.daemons['vm-1'].egress.instance_table.current
            )
            response = await fleet.call('vm-2', '/read/x')
            self.assertEqual(200, response.status)

        sidecars.run_scenario(scenario)

    def test_ids_that_no_header_can_carry_are_rejected(self):
        """Guards against an id that adds a header to requests."""

        async def scenario(fleet):
            await fleet.add('vm-1')
            await fleet.wait_until_linked()
            for name in ('a%0d%0aX-Odd:%201', '%E2%82%AC', 'a%00', 'a' * 300):
                fleet.upstreams['vm-1'].name = name
                self.assertEqual(400, await fleet.announce('vm-1', born=9))
                response = await fleet.call_lifecycle_api('vm-1', 'deregister')
                self.assertEqual(400, response.status)
            response = await fleet.call('vm-1', '/read/x')
            self.assertEqual(200, response.status)

        sidecars.run_scenario(scenario)


class OddStore(rowstore.RowStore):
    """Answers each call with the next one of some bodies."""

    def __init__(self, *bodies):
        super().__init__()
        self._bodies = itertools.cycle(bodies)

    def handle(self, exchange):
        body = next(self._bodies)
        exchange.reply(callserver.Answer(200, [], [body], len(body)))


class TestStore(testtools.TestCase):
    def test_odd_departures_count_as_none(self):
        """Guards against a daemon that never uses its upstream again."""

        async def scenario():
            for value in (
                NESTED,
                with_nested_field({'i-1': 1}),
                b'{"i-1":%d}' % HUGE,
                b'{"i-1":-1}',
            ):
                feed = rowfeed.MemoryRowFeed()
                await feed.put(departures.TABLE, 'vm-1', value)
                event_log = sidecars.RecordingEventLog()
                recorder = departures.Departures(
                    feed, 'vm-1', clock.SystemClock(), event_log
                )
                self.assertEqual({}, await recorder.load())
                self.assertEqual('departures.invalid', event_log.records[0][0])
                self.assertTrue(await recorder.record('i-2', 2))

        asyncio.run(scenario())

    def test_odd_answers_of_the_store_are_failed_reads(self):
        """Guards against an error that ends what waits for the read."""

        async def scenario():
            row_store = OddStore(
                NESTED,
                with_nested_field({'rows': [], 'row_version': 1}),
                b'{"rows":[],"row_version":%d}' % HUGE,
                b'{"rows":[],"row_version":1,"now_s":1e999}',
            )
            await row_store.start(f'{sidecars.LOOPBACK}:0')
            feed = store.PlatformRowFeed(
                options.Store(row_store.address),
                clock.SystemClock(),
                lambda *_: None,
                sidecars.RecordingEventLog(),
            )
            for _ in range(4):
                for found in (
                    await feed.read('t'),
                    await feed.get('t', 'k'),
                    await feed.changes('t', 0, 0.0),
                ):
                    self.assertIsInstance(found.error, errors.StoreNotRun)
            await row_store.close()

        asyncio.run(scenario())


class TestConfigurations(testtools.TestCase):
    def test_odd_configurations_are_invalid(self):
        for changes in (
            {'version': HUGE},
            {'version': 2**63},
            {'routes': [sidecars.route('r', '/r/', priority=HUGE)]},
            {'routes': [sidecars.route('r', '/r/', priority=-HUGE)]},
            {'routes': [sidecars.route('r', '/r/', max_attempts=HUGE)]},
            {'routes': [sidecars.route('r', '/r/', timeout_s=1e300)]},
            {'max_body_bytes': HUGE},
            {'idle_timeout_s': 1e300},
        ):
            body = sidecars.document(**changes)
            found = configuration.Decoder().decode(body)
            self.assertTrue(found.is_error(), changes)
        for column in ('routes', 'services', 'limits', 'tenants'):
            document = json.loads(sidecars.document())
            document[column] = 'ODD'
            body = json.dumps(document).encode().replace(b'"ODD"', NESTED)
            found = configuration.Decoder().decode(body)
            self.assertTrue(found.is_error(), column)


class TestMessages(testtools.TestCase):
    def test_odd_frames_end_their_connection_only(self):
        for body in (
            NESTED_MSGPACK,
            b'\x92\xa5offer' + NESTED_MSGPACK,
            b'\x92\xa5other' + NESTED_MSGPACK,
        ):
            data = len(body).to_bytes(4, 'big') + body
            decoder = frames.FrameDecoder()
            self.assertRaises(ValueError, list, decoder.feed(data))

    def test_odd_messages_on_rollouts_are_invalid(self):
        compressed = rolloutmessages.encode(
            msgspec.Raw(b'\x92\xa5state' + NESTED_MSGPACK)
        )
        for decode in (
            rolloutmessages.decode_report,
            rolloutmessages.decode_states,
        ):
            self.assertTrue(decode(compressed).is_error())

    def test_odd_orders_of_rollouts_are_invalid(self):
        order = {'service': 's', 'to': 'v2', 'duration_s': 1}
        for value in (
            NESTED,
            with_nested_field(order),
            json.dumps({**order, 'duration_s': 1e300}).encode(),
            json.dumps({**order, 'duration_s': HUGE**20}).encode(),
        ):
            row = rowfeed.Row('rollout/s', value, 1)
            self.assertTrue(rollouts.decode_order(row, 0).is_error())

    def test_odd_requests_and_answers_of_daemons_are_invalid(self):
        self.assertTrue(hops.decode(NESTED).is_error())
        answer = callkeys._decode_answer(NESTED_MSGPACK)
        self.assertIs(callkeys._ANSWER_UNREADABLE, answer)
        refusal = hophandler.read_refusal(
            callserver.Answer(503, [], [NESTED], len(NESTED)),
            {
                b'jujubefold-outcome': b'did-not-run',
                b'jujubefold-reason': b'draining',
            },
            'GET',
        )
        self.assertIs(hophandler._INVALID_ANSWER, refusal)


class TestDecoding(testtools.TestCase):
    def test_each_failure_of_a_decoder_is_a_value(self):
        plain = msgspec.json.Decoder()
        for data in (NESTED, b'{', b'"\xff"', b''):
            found = decoding.decode(plain, data, 'here')
            self.assertEqual('here', found.error.where)
        self.assertEqual([1], decoding.decode(plain, b'[1]', 'here').ok)
