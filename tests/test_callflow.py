"""Tests of the call flow: reported outcomes against actual executions."""

import asyncio
import contextlib
import dataclasses
import functools
import random
from unittest import mock

import hypothesis
from hypothesis import strategies
import testtools

from jujubefold import budget
from jujubefold import callclient
from jujubefold import callflow
from jujubefold import callserver
from jujubefold import claims
from jujubefold import clock
from jujubefold import example
from jujubefold import faults
from jujubefold import gate
from jujubefold import hops
from jujubefold import mesh
from jujubefold import messages
from jujubefold import objectstore
from jujubefold import table
from tests import callnodes
from tests import sidecars

SHORT_PEER_SILENCE = callflow.Limits(peer_silence=1.2)


@contextlib.asynccontextmanager
async def running_fleet(*upstreams, limits=None, **extra):
    """Yield a running fleet.

    Args:
        upstreams: For each node, whether it has an upstream.
    """
    fleet = callnodes.Fleet(limits=limits, **extra)
    try:
        for upstream in upstreams:
            await fleet.add(upstream=upstream)
        yield fleet
    finally:
        await fleet.stop()


async def wait_until(condition):
    """Wait until a function returns true, for 10 s at least."""
    for _ in range(2000):
        if condition():
            return
        await asyncio.sleep(0.005)
    raise AssertionError('condition not met in time')


def count_executions(fleet, request):
    """Return how often a request ran, summed over all upstreams."""
    return sum(
        node.upstream.executions[request]
        for node in fleet.nodes
        if node.upstream is not None
    )


async def add_faulty_link(fleet, node):
    """Route a node's traffic with other daemons through a faulty link."""
    link = callnodes.FaultyLink(node.member.call_address)
    address = await link.start()
    node.member = messages.Member(
        **{
            name: getattr(node.member, name)
            for name in node.member.__struct_fields__
        }
        | {'call_address': address}
    )
    fleet.refresh_members()
    return link


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault of the upstream and the result expected by its caller.

    Args:
        fault: Fault requested from the example upstream.
        status: HTTP status expected.
        outcome: Outcome and reason expected in the headers.
        executions: Executions expected.
    """

    name: str
    fault: str
    method: str
    path: str
    status: int
    outcome: tuple
    executions: int


FAULTS = (
    Fault('none', '', 'POST', '/x', 200, ('ran', 'none'), 1),
    Fault('crash', 'crash', 'POST', '/x', 502, ('unknown', 'upstream-cut'), 1),
    Fault('cut', 'cut', 'POST', '/x', 502, ('unknown', 'upstream-cut'), 1),
    Fault(
        'cut, idempotent',
        'cut',
        'GET',
        '/x',
        502,
        ('unknown', 'upstream-cut'),
        2,
    ),
    Fault(
        'silent',
        'silent',
        'POST',
        '/quick',
        504,
        ('unknown', 'upstream-silent'),
        1,
    ),
    Fault(
        'late',
        'delay:1500',
        'POST',
        '/quick',
        504,
        ('unknown', 'upstream-silent'),
        1,
    ),
    Fault(
        'shed', 'shed', 'POST', '/x', 503, ('did-not-run', 'upstream-shed'), 0
    ),
)

# Path, headers, body size, and the status and reason of the refusal.
REFUSALS = (
    ('/orders', {}, 0, 400, 'key-required'),
    ('/orders', {'idempotency_key': '"'}, 0, 400, 'malformed'),
    ('/x', {'jujubefold_depth': 32}, 0, 508, 'too-deep'),
    ('/x', {'jujubefold_depth': 'x'}, 0, 400, 'malformed'),
    ('/x', {'jujubefold_deadline_ms': 0}, 0, 504, 'deadline'),
    ('/x', {'jujubefold_deadline_ms': '-1'}, 0, 400, 'malformed'),
    ('/x', {'jujubefold_request_id': 'a b'}, 0, 400, 'malformed'),
    ('/small', {}, 1001, 413, 'too-large'),
)


class TestCallFlow(testtools.TestCase):
    def run_scenario(self, scenario, *upstreams, **extra):
        async def run():
            async with running_fleet(*upstreams, **extra) as fleet:
                await asyncio.wait_for(scenario(fleet), 60)

        asyncio.run(run())

    def check_outcome(self, fleet, answer, request, idempotent=False):
        outcome = callnodes.outcome(answer)[0]
        executions = count_executions(fleet, request)
        if outcome == 'ran':
            self.assertTrue(executions, request)
        elif outcome == 'did-not-run':
            self.assertEqual(0, executions, request)
        if not idempotent:
            self.assertLessEqual(executions, 1, request)

    def test_upstream_faults_are_reported_to_callers(self):
        async def scenario(fleet):
            entry = fleet.nodes[0]
            caller = callnodes.Caller(entry.caller_address)
            for case in FAULTS:
                answer = await caller.send(
                    case.method,
                    case.path,
                    jujubefold_request_id=case.name.replace(', ', '-'),
                    example_fault=case.fault,
                )
                name = case.name.replace(', ', '-')
                self.assertEqual(case.status, answer.status, name)
                self.assertEqual(case.outcome, callnodes.outcome(answer), name)
                self.assertEqual(
                    case.executions, count_executions(fleet, name), name
                )
                if case.fault == 'crash':
                    await self.restart_upstreams(fleet)

        for upstreams in ((True, True), (False, True, True)):
            self.run_scenario(scenario, *upstreams)

    def test_earlier_shed_is_no_proof_that_a_request_did_not_run(self):
        """Guards against a refusal that is written once more."""
        for with_id, expected in (
            (False, (502, 'unknown', 'upstream-garbled')),
            (True, (200, 'ran', 'none')),
        ):

            async def scenario(fleet, with_id=with_id, expected=expected):
                upstream = sidecars.Upstream()
                await upstream.start()
                fleet.nodes[0].flow.upstream_address = upstream.address
                first = 'jujubefold-request-id: first\r\n' if with_id else ''
                shed = (
                    'HTTP/1.1 503 Full\r\njujubefold-shed: 1\r\n'
                    f'{first}Content-Length: 0\r\n\r\n'
                ).encode()

                async def answer(request, writer):
                    if len(upstream.requests) > 1:
                        writer.write(shed)
                        await writer.drain()
                        await asyncio.sleep(0.05)
                    await upstream.answer(request, writer)

                upstream.handler = answer
                caller = callnodes.Caller(fleet.nodes[0].caller_address)
                for name in ('first', 'second'):
                    found = await caller.send(
                        'POST', '/x', (b'b',), jujubefold_request_id=name
                    )
                self.assertEqual(
                    expected, (found.status, *callnodes.outcome(found))
                )
                self.assertEqual(2, len(upstream.requests))
                await upstream.stop()

            self.run_scenario(scenario, True)

    async def restart_upstreams(self, fleet):
        for node in fleet.nodes:
            if node.upstream is None:
                continue
            counted = node.upstream.executions
            await node.upstream.kill()
            node.upstream = example.Upstream(
                example.Behaviour(), crash=lambda: None
            )
            node.upstream.executions = counted
            node.flow.upstream_address = await node.upstream.start(
                callnodes.ANY_PORT
            )

    def test_refusals_state_the_reason_in_headers_and_body(self):
        async def scenario(fleet):
            caller = callnodes.Caller(fleet.nodes[0].caller_address)
            for path, headers, size, status, reason in REFUSALS:
                pieces = [bytes(size)] if size else []
                answer = await caller.send('POST', path, pieces, **headers)
                self.assertEqual(status, answer.status, (path, headers))
                self.assertEqual(
                    ('did-not-run', reason), callnodes.outcome(answer)
                )
                self.assertIn(reason.encode(), b''.join(answer.chunks))
            self.assertFalse(fleet.nodes[0].upstream.executions)

        self.run_scenario(scenario, True)

    def test_upstreams_get_context_headers_but_no_private_ones(self):
        async def scenario(fleet):
            received = []
            upstream = fleet.nodes[1].upstream
            original_handle = upstream.handle
            upstream._server.handler.handle = lambda exchange: (
                received.append(exchange.request.fields),
                original_handle(exchange),
            )
            caller = callnodes.Caller(fleet.nodes[0].caller_address)
            await caller.send(
                jujubefold_request_id='r',
                jujubefold_deadline_ms=900,
                jujubefold_depth=3,
                jujubefold_attempt='forged',
                jujubefold_hop='forged',
                connection='x-secret',
                x_secret='1',
                x_kept='2',
                te='trailers',
            )
            fields = received[0]
            self.assertEqual(b'r', fields[b'jujubefold-request-id'])
            self.assertEqual(b'4', fields[b'jujubefold-depth'])
            self.assertEqual(b'0', fields[b'jujubefold-retry-budget'])
            self.assertEqual(b'7', fields[b'jujubefold-version'])
            self.assertTrue(0 < int(fields[b'jujubefold-deadline-ms']) <= 900)
            self.assertEqual(b'2', fields[b'x-kept'])
            for name in (
                b'jujubefold-attempt',
                b'jujubefold-hop',
                b'x-secret',
                b'te',
            ):
                self.assertNotIn(name, fields)

        self.run_scenario(scenario, False, True)

    def test_slot_limit_and_answer_matching_under_load(self):
        async def one(caller, number):
            path = f'/x?{number}'
            answer = await caller.send(
                'POST', path, [b'y' * number], example_echo=number
            )
            self.assertEqual(200, answer.status, answer)
            self.assertIn(
                b'{"echo":"%d","size":%d,' % (number, number),
                b''.join(answer.chunks),
            )

        async def scenario(fleet):
            for node in fleet.nodes:
                caller = callnodes.Caller(node.caller_address)
                await asyncio.gather(
                    *(one(caller, number) for number in range(30))
                )
            upstream = fleet.nodes[1].upstream
            self.assertLessEqual(upstream.most_running, 6)
            self.assertEqual(0, fleet.nodes[0].flow.buffered_bytes)

        self.run_scenario(scenario, False, True)

    def test_caller_disconnect_frees_slots_and_queue(self):
        async def scenario(fleet):
            gate_node = fleet.nodes[1]
            for node in fleet.nodes:
                caller = callnodes.Caller(node.caller_address)
                pending = [
                    asyncio.ensure_future(
                        caller.send('POST', example_fault='delay:60000')
                    )
                    for _ in range(8)
                ]
                table = gate_node.gate_table
                await wait_until(lambda: len(table.queue) == 2)
                await wait_until(lambda: gate_node.upstream.running == 6)
                for task in pending:
                    task.cancel()
                await wait_until(lambda: not table.running and not table.queue)
                await wait_until(lambda: not gate_node.upstream.running)
                answer = await caller.send('POST')
                self.assertEqual(200, answer.status)
            self.assertEqual(12, gate_node.upstream.cancelled)

        self.run_scenario(scenario, False, True)

    def test_answer_lost_between_daemons_is_fetched_again(self):
        async def scenario(fleet):
            entry, gate_node = fleet.nodes
            link = await add_faulty_link(fleet, gate_node)
            caller = callnodes.Caller(entry.caller_address)
            link.lose_answers = 1
            answer = await caller.send('POST', jujubefold_request_id='a')
            self.assertEqual(('ran', 'none'), callnodes.outcome(answer))
            self.assertEqual(1, count_executions(fleet, 'a'))
            await link.stop()

        self.run_scenario(scenario, False, True)

    def test_peer_connection_stalled_before_the_request(self):
        async def scenario(fleet):
            entry, gate_node = fleet.nodes
            link = await add_faulty_link(fleet, gate_node)
            caller = callnodes.Caller(entry.caller_address)
            await caller.send('POST')
            link.stall()
            answer = await caller.send('POST', jujubefold_request_id='a')
            self.assertEqual(('ran', 'none'), callnodes.outcome(answer))
            self.assertEqual(1, count_executions(fleet, 'a'))
            names = [event.name for event in entry.events]
            self.assertIn('peer.silent', names)
            await link.stop()

        self.run_scenario(scenario, False, True, limits=SHORT_PEER_SILENCE)

    def test_peer_connection_stalled_while_the_request_runs(self):
        async def scenario(fleet):
            entry, gate_node = fleet.nodes
            link = await add_faulty_link(fleet, gate_node)
            caller = callnodes.Caller(entry.caller_address)
            pending = asyncio.ensure_future(
                caller.send(
                    'POST',
                    jujubefold_request_id='a',
                    example_fault='delay:2000',
                )
            )
            await wait_until(lambda: count_executions(fleet, 'a'))
            link.stall()
            answer = await pending
            self.assertEqual(('ran', 'none'), callnodes.outcome(answer))
            self.assertEqual(1, count_executions(fleet, 'a'))
            await link.stop()

        self.run_scenario(scenario, False, True, limits=SHORT_PEER_SILENCE)

    def test_slow_answer_is_not_a_stalled_connection(self):
        async def scenario(fleet):
            entry = fleet.nodes[0]
            caller = callnodes.Caller(entry.caller_address)
            answer = await caller.send('POST', example_fault='delay:2500')
            self.assertEqual(('ran', 'none'), callnodes.outcome(answer))
            self.assertEqual([], entry.events)

        self.run_scenario(scenario, False, True, limits=SHORT_PEER_SILENCE)

    def test_daemon_stopped_while_it_runs_the_request(self):
        async def scenario(fleet):
            entry, gate_node = fleet.nodes
            caller = callnodes.Caller(entry.caller_address)
            pending = asyncio.ensure_future(
                caller.send(
                    'POST',
                    jujubefold_request_id='a',
                    example_fault='delay:1000',
                )
            )
            await wait_until(lambda: count_executions(fleet, 'a'))
            await gate_node.flow.stop(0)
            answer = await pending
            self.assertEqual(
                ('unknown', 'peer-lost'), callnodes.outcome(answer)
            )
            self.check_outcome(fleet, answer, 'a')

        self.run_scenario(scenario, False, True)

    def test_request_that_waits_for_a_connection_tells_of_its_deadline(self):
        # With all connections to the other daemon busy for as long as the
        # caller waits, it was answered 502, as if a daemon were lost.
        async def scenario(fleet):
            caller = callnodes.Caller(fleet.nodes[0].caller_address)
            slow_request = asyncio.ensure_future(
                caller.send('POST', example_fault='delay:2000')
            )
            await asyncio.sleep(0.2)
            answer = await caller.send('POST', '/quick')
            self.assertEqual(
                ('did-not-run', 'deadline'), callnodes.outcome(answer)
            )
            self.assertEqual(504, answer.status)
            self.assertEqual(200, (await slow_request).status)

        with mock.patch.object(callflow, 'PEER_CONNECTIONS', 1):
            self.run_scenario(scenario, False, True)

    def test_connection_that_closes_before_its_use_is_replaced(self):
        # The closing of a kept connection by the other daemon, seen at its
        # use, was answered 502 though nothing had been sent.
        async def scenario(fleet):
            caller = callnodes.Caller(fleet.nodes[0].caller_address)
            self.assertEqual(200, (await caller.send()).status)
            (pool,) = fleet.nodes[0].flow._pools.values()
            (connection,) = pool._open
            take_idle = pool.take_idle

            def close_and_take():
                connection._transport.close()
                return take_idle()

            with mock.patch.object(pool, 'take_idle', close_and_take):
                answer = await caller.send()
            self.assertEqual(('ran', 'none'), callnodes.outcome(answer))

        self.run_scenario(scenario, False, True)

    def test_request_that_was_not_sent_may_be_sent_again(self):
        async def scenario(fleet):
            entry, gate_node = fleet.nodes
            link = await add_faulty_link(fleet, gate_node)
            await link.stop()
            caller = callnodes.Caller(entry.caller_address)
            answer = await caller.send('POST')
            self.assertEqual(
                ('did-not-run', 'peer-lost'), callnodes.outcome(answer)
            )
            self.assertEqual(503, answer.status)
            self.assertIn(b'Connect call failed', b''.join(answer.chunks))

        self.run_scenario(scenario, False, True)

    def test_other_incarnation_cannot_report_did_not_run(self):
        async def scenario(fleet):
            entry, gate_node = fleet.nodes
            link = await add_faulty_link(fleet, gate_node)
            caller = callnodes.Caller(entry.caller_address)
            pending = asyncio.ensure_future(
                caller.send(
                    'POST',
                    jujubefold_request_id='a',
                    example_fault='delay:1000',
                )
            )
            await wait_until(lambda: count_executions(fleet, 'a'))
            other_node = await fleet.add(upstream=False)
            link.target = other_node.member.call_address
            link.abort_all()
            answer = await pending
            self.assertEqual(
                ('unknown', 'peer-lost'), callnodes.outcome(answer)
            )
            await link.stop()

        self.run_scenario(scenario, False, True)

    def test_resent_attempt_joins_and_gets_the_same_answer(self):
        async def scenario(fleet):
            node = fleet.nodes[0]
            caller = callnodes.Caller(node.member.call_address)
            hop = hops.Hop(
                'other', 5, 1, 'a', '1.2.3.4', 'h', 'all', 7, 5,
                5000, 5000, 0, 0, '', False, 'f',
            )  # fmt: skip
            fields = {
                'jujubefold_hop': hops._encoder.encode(hop).decode(),
                'example_fault': 'delay:200',
            }
            pending = [
                asyncio.ensure_future(caller.send('POST', **fields))
                for _ in range(3)
            ]
            await wait_until(lambda: count_executions(fleet, 'a'))
            control = {
                'jujubefold_attempt': 'other/5/1',
                'jujubefold_target': 'vm1/1',
            }
            state = await caller.send('POST', hops.BAR_PATH, **control)
            self.assertEqual([b'running'], state.chunks)
            pending.append(
                asyncio.ensure_future(
                    caller.send('POST', hops.JOIN_PATH, **control)
                )
            )
            answers = await asyncio.gather(*pending)
            answers.append(await caller.send('POST', **fields))
            answers.append(
                await caller.send('POST', hops.JOIN_PATH, **control)
            )
            bodies = {b''.join(answer.chunks) for answer in answers}
            self.assertEqual(1, len(bodies))
            self.assertEqual({200}, {answer.status for answer in answers})
            self.assertEqual(1, count_executions(fleet, 'a'))
            state = await caller.send('POST', hops.BAR_PATH, **control)
            self.assertEqual([b'ended'], state.chunks)

        self.run_scenario(scenario, True)

    def test_barred_attempt_never_runs(self):
        async def scenario(fleet):
            caller = callnodes.Caller(fleet.nodes[0].member.call_address)
            control = {
                'jujubefold_attempt': 'other/5/1',
                'jujubefold_target': 'vm1/1',
            }
            state = await caller.send('POST', hops.BAR_PATH, **control)
            self.assertEqual([gate.BarState.BARRED.encode()], state.chunks)
            hop = hops.Hop(
                'other', 5, 1, 'a', '1.2.3.4', 'h', 'all', 7, 5,
                5000, 5000, 0, 0, '', False, 'f',
            )  # fmt: skip
            answer = await caller.send(
                'POST', jujubefold_hop=hops._encoder.encode(hop).decode()
            )
            self.assertEqual(
                ('did-not-run', 'barred'), callnodes.outcome(answer)
            )
            self.assertEqual(0, count_executions(fleet, 'a'))
            for target, attempt in (('vm1/2', 'o/1/1'), ('vm1/1', 'o/x/1')):
                answer = await caller.send(
                    'POST',
                    hops.JOIN_PATH,
                    jujubefold_attempt=attempt,
                    jujubefold_target=target,
                )
                self.assertNotIn(answer.status, (200, 503))

        self.run_scenario(scenario, True)

    def test_call_is_retried_when_the_upstream_refuses_connections(self):
        async def scenario(fleet):
            first = fleet.nodes[0]
            await first.upstream.kill()
            caller = callnodes.Caller(first.caller_address)
            answer = await caller.send('POST', jujubefold_request_id='a')
            self.assertEqual(('ran', 'none'), callnodes.outcome(answer))
            self.assertEqual(1, count_executions(fleet, 'a'))
            await fleet.nodes[1].upstream.kill()
            answer = await caller.send('POST', jujubefold_request_id='b')
            self.assertEqual('did-not-run', callnodes.outcome(answer)[0])

        self.run_scenario(scenario, True, True)

    def test_retry_after_unreachable_upstream_uses_no_budget(self):
        async def scenario(fleet):
            first = fleet.nodes[0]
            await first.upstream.kill()
            caller = callnodes.Caller(first.caller_address)
            answer = await caller.send('POST', jujubefold_request_id='a')
            self.assertEqual(('ran', 'none'), callnodes.outcome(answer))

        no_budget = functools.partial(budget.new_budgets, 0)
        self.run_scenario(scenario, True, True, budgets=no_budget)

    def test_idempotent_calls_cut_by_a_crash_are_retried_past_refusals(self):
        async def scenario(fleet):
            first = fleet.nodes[0]
            await fleet.nodes[1].upstream.kill()
            reads = [
                asyncio.ensure_future(
                    callnodes.Caller(first.caller_address).send(
                        'GET',
                        jujubefold_request_id=f'r{number}',
                        example_fault='delay:300',
                    )
                )
                for number in range(4)
            ]
            await wait_until(lambda: len(first.gate_table.running) >= 2)
            await first.upstream.kill()
            for read in reads:
                answer = await read
                self.assertEqual(('ran', 'none'), callnodes.outcome(answer))

        self.run_scenario(scenario, True, True, True)

    def test_requests_cut_together_are_recorded_as_a_crash(self):
        async def scenario(fleet):
            node = fleet.nodes[0]
            caller = callnodes.Caller(node.caller_address)
            pending = [
                asyncio.ensure_future(
                    caller.send('POST', example_fault='delay:60000')
                )
                for _ in range(3)
            ]
            await wait_until(lambda: node.upstream.running == 3)
            await node.upstream.kill()
            for answer in await asyncio.gather(*pending):
                self.assertEqual(
                    ('unknown', 'upstream-cut'), callnodes.outcome(answer)
                )
            names = [event.name for event in node.events]
            await wait_until(
                lambda: 'upstream.crashed' in [e.name for e in node.events]
            )
            self.assertEqual(3, names.count('call.unknown'))

        self.run_scenario(scenario, True)

    def test_large_bodies_both_ways(self):
        async def scenario(fleet):
            pieces = [bytes([n]) * (1 << 20) for n in range(10)]
            for node in fleet.nodes:
                caller = callnodes.Caller(node.caller_address)
                answer = await caller.send('POST', '/x', pieces)
                self.assertEqual(200, answer.status)
                self.assertIn(b'"size":10485760', b''.join(answer.chunks))
                answer = await caller.send('POST', example_fault='large:10')
                self.assertEqual(10 << 20, answer.size)
            await wait_until(lambda: not fleet.nodes[0].flow.buffered_bytes)
            await wait_until(lambda: not fleet.nodes[1].flow.buffered_bytes)

        self.run_scenario(scenario, False, True)

    def test_stop_finishes_uploads_and_returns_cancelled_requests(self):
        async def scenario(fleet):
            node = fleet.nodes[0]
            host, _, port = node.caller_address.rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(
                b'POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n'
                b'jujubefold-request-id: a\r\n\r\nab'
            )
            caller = callnodes.Caller(node.caller_address)
            pending = asyncio.ensure_future(
                caller.send('POST', example_fault='delay:60000')
            )
            await wait_until(lambda: node.upstream.running)
            stopping = asyncio.ensure_future(node.flow.stop(1.0))
            await asyncio.sleep(0.1)
            writer.write(b'cd')
            answer = await asyncio.wait_for(reader.read(), 10)
            self.assertIn(b'jujubefold-outcome: ran', answer)
            self.assertIn(b'"size":4', answer)
            writer.close()
            self.assertEqual(1, len(await stopping))
            self.assertIsInstance(await pending, callclient.Failure)

        self.run_scenario(scenario, True)

    def test_draining_daemon_refuses_a_request_begun_before(self):
        async def scenario(fleet):
            node = fleet.nodes[0]
            caller = callnodes.Caller(node.caller_address)
            pending = asyncio.ensure_future(
                caller.send('POST', example_fault='delay:300')
            )
            await wait_until(lambda: node.upstream.running)
            host, _, port = node.caller_address.rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b'GET /x HTTP/1.1\r\nHo')
            await asyncio.sleep(0.05)
            stopping = asyncio.ensure_future(node.flow.stop(5.0))
            await asyncio.sleep(0.05)
            writer.write(b'st: a\r\n\r\n')
            answer = await asyncio.wait_for(reader.read(), 10)
            self.assertEqual(b'HTTP/1.1 503', answer[:12])
            self.assertIn(b'jujubefold-reason: draining', answer)
            self.assertIn(b'connection: close', answer)
            self.assertEqual(200, (await pending).status)
            self.assertEqual((), await stopping)
            writer.close()

        self.run_scenario(scenario, True)

    def test_requests_on_open_connections_are_refused_while_draining(self):
        async def scenario(fleet):
            entry, gate_node = fleet.nodes
            caller = callnodes.Caller(gate_node.caller_address)
            forwarded_caller = callnodes.Caller(entry.caller_address)
            for each in (caller, forwarded_caller):
                self.assertEqual(200, (await each.send('POST')).status)
            stopping = asyncio.ensure_future(gate_node.flow.stop(5.0))
            await asyncio.sleep(0.05)
            for each in (caller, forwarded_caller):
                answer = await each.send('POST', jujubefold_request_id='a')
                self.assertEqual(
                    ('did-not-run', 'draining'), callnodes.outcome(answer)
                )
            self.assertEqual(0, count_executions(fleet, 'a'))
            self.assertEqual((), await stopping)

        self.run_scenario(scenario, False, True)

    def test_answer_over_the_memory_limit_is_not_truncated(self):
        async def scenario(fleet):
            caller = callnodes.Caller(fleet.nodes[0].caller_address)
            answer = await caller.send('POST', example_fault='large:3')
            self.assertEqual(502, answer.status)
            self.assertEqual(
                ('unknown', 'too-large'), callnodes.outcome(answer)
            )

        limits = callflow.Limits(answer_bytes=2 << 20)
        for upstreams in ((True,), (False, True)):
            self.run_scenario(scenario, *upstreams, limits=limits)

    def test_forwarded_call_keeps_the_version_of_its_first_daemon(self):
        async def scenario(fleet):
            entry, gate_node = fleet.nodes
            old = callnodes.new_route('old', '/old-only')
            gate_node.configuration = mesh.Mesh(number=6, routes=(old,))
            for node, wanted in (
                (entry, (200, b'7')),
                (gate_node, (404, b'6')),
            ):
                caller = callnodes.Caller(node.caller_address)
                answer = await caller.send(path='/new')
                version = dict(answer.headers)[b'jujubefold-version']
                self.assertEqual(wanted, (answer.status, version))
            self.assertEqual(
                ('did-not-run', 'no-route'), callnodes.outcome(answer)
            )

        self.run_scenario(scenario, False, True)

    def test_answers_state_version_and_request(self):
        async def scenario(fleet):
            for node in fleet.nodes:
                caller = callnodes.Caller(node.caller_address)
                answer = await caller.send('HEAD', jujubefold_request_id='a')
                self.assertIsInstance(answer, callserver.Answer)
                fields = dict(answer.headers)
                self.assertEqual(b'7', fields[b'jujubefold-version'])
                self.assertEqual(b'a', fields[b'jujubefold-request-id'])
                self.assertNotIn(b'jujubefold-load', fields)

        self.run_scenario(scenario, False, True)


class SharedStore:
    """The table and objects that the claims of all daemons share.

    Attributes:
        slow_claims: Whether claims are returned after their start window.
    """

    def __init__(self):
        self.faults = faults.InjectedFault()
        self.rows = table.MemoryTable()
        self.slow_claims = False

    def claims_for(self, node_identity):
        """Return a new `claims.Claims` for one daemon."""
        system = clock.SystemClock()
        rng = random.Random(node_identity.vm)
        node_claims = claims.Claims(
            faults.FaultyTable(self.rows, self.faults),
            objectstore.MemoryObjectStore(system),
            system,
            rng,
        )
        claim = node_claims.claim

        async def claim_and_pause(request, timeout):
            found = await claim(request, timeout)
            if self.slow_claims:
                return dataclasses.replace(found, start_by=0.0)
            return found

        node_claims.claim = claim_and_pause
        return node_claims


class TestKeys(testtools.TestCase):
    """Keyed requests run at most once, at the local or a remote upstream."""

    def run_scenario(self, scenario):
        async def run(upstreams):
            store = SharedStore()
            async with running_fleet(
                *upstreams, claims=store.claims_for
            ) as fleet:
                node = fleet.nodes[0]
                caller = callnodes.Caller(node.caller_address)

                async def order(name, key='k', body=b'x', **extra):
                    return await caller.send(
                        'POST',
                        '/orders',
                        [body],
                        idempotency_key=key,
                        jujubefold_request_id=name,
                        **extra,
                    )

                await asyncio.wait_for(scenario(fleet, store, order), 30)

        for upstreams in ((True,), (False, True)):
            asyncio.run(run(upstreams))

    def test_resend_gets_the_first_answer(self):
        async def scenario(fleet, store, order):
            first = await order('a')
            second = await order('b', key='"k"')
            self.assertEqual(first.chunks, second.chunks)
            self.assertEqual(('ran', 'none'), callnodes.outcome(second))
            self.assertEqual(1, count_executions(fleet, 'a'))
            self.assertEqual(0, count_executions(fleet, 'b'))

        self.run_scenario(scenario)

    def test_resend_to_another_host_gets_the_first_answer(self):
        async def scenario(fleet, store, order):
            first = await order('a', host='10.0.0.1')
            second = await order('b', host='10.0.0.2:80')
            self.assertEqual(first.chunks, second.chunks)
            self.assertEqual(0, count_executions(fleet, 'b'))

        self.run_scenario(scenario)

    def test_concurrent_requests_with_one_key_run_once(self):
        async def scenario(fleet, store, order):
            answers = await asyncio.gather(
                *(order('a', example_fault='delay:200') for _ in range(5))
            )
            outcomes = sorted(callnodes.outcome(answer) for answer in answers)
            self.assertEqual(1, count_executions(fleet, 'a'))
            self.assertEqual(1, outcomes.count(('ran', 'none')))
            self.assertEqual(4, outcomes.count(('unknown', 'key-running')))

        self.run_scenario(scenario)

    def test_key_reused_for_another_body_is_refused(self):
        async def scenario(fleet, store, order):
            await order('a')
            answer = await order('b', body=b'y')
            self.assertEqual(422, answer.status)
            self.assertEqual(
                ('did-not-run', 'key-reused'), callnodes.outcome(answer)
            )
            self.assertEqual(0, count_executions(fleet, 'b'))

        self.run_scenario(scenario)

    def test_unknown_outcome_of_a_key_stays_unknown(self):
        async def scenario(fleet, store, order):
            answer = await order('a', example_fault='cut')
            self.assertEqual(
                ('unknown', 'upstream-cut'), callnodes.outcome(answer)
            )
            for name in 'bc':
                answer = await order(name)
                self.assertEqual(
                    ('unknown', 'key-unknown'), callnodes.outcome(answer)
                )
                self.assertEqual(0, count_executions(fleet, name))

        self.run_scenario(scenario)

    def test_shed_request_releases_its_key(self):
        async def scenario(fleet, store, order):
            answer = await order('a', example_fault='shed')
            self.assertEqual(
                ('did-not-run', 'upstream-shed'), callnodes.outcome(answer)
            )
            answer = await order('b')
            self.assertEqual(('ran', 'none'), callnodes.outcome(answer))
            self.assertEqual(1, count_executions(fleet, 'b'))

        self.run_scenario(scenario)

    def test_store_outage_is_refused_within_the_deadline(self):
        async def scenario(fleet, store, order):
            store.faults.set(faults.Mode.DOWN)
            answer = await order('a', jujubefold_deadline_ms=300)
            self.assertEqual('did-not-run', callnodes.outcome(answer)[0])
            self.assertIn(
                callnodes.outcome(answer)[1], ('store-down', 'deadline')
            )
            self.assertEqual(0, count_executions(fleet, 'a'))
            store.faults.set(faults.Mode.NONE)
            answer = await order('b')
            self.assertEqual(('ran', 'none'), callnodes.outcome(answer))

        self.run_scenario(scenario)

    def test_claim_past_its_start_window_runs_nothing(self):
        async def scenario(fleet, store, order):
            store.slow_claims = True
            answer = await order('a')
            self.assertEqual('did-not-run', callnodes.outcome(answer)[0])
            self.assertEqual(0, count_executions(fleet, 'a'))
            store.slow_claims = False
            answer = await order('b')
            self.assertEqual(('ran', 'none'), callnodes.outcome(answer))

        self.run_scenario(scenario)

    def test_answer_is_recorded_after_the_caller_disconnects(self):
        async def scenario(fleet, store, order):
            pending = asyncio.ensure_future(
                order('a', example_fault='delay:300')
            )
            await wait_until(lambda: count_executions(fleet, 'a'))
            pending.cancel()
            await wait_until(lambda: not fleet.nodes[-1].gate_table.running)
            answer = await order('b')
            self.assertEqual(('ran', 'none'), callnodes.outcome(answer))
            self.assertEqual(0, count_executions(fleet, 'b'))

        self.run_scenario(scenario)


STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(('POST', 'GET', 'order')),
        strategies.sampled_from(
            ('', '', '', 'shed', 'cut', 'crash', 'delay:30', 'delay:400')
        ),
        strategies.sampled_from(
            ('none', 'none', 'cut', 'silent', 'lose', 'leave', 'twice')
        ),
    ),
    min_size=6,
    max_size=16,
)


class TestRandomFaults(testtools.TestCase):
    """Guards the reported outcomes under random combinations of faults.

    Requests that are not idempotent run at most once, reported outcomes
    match what ran, and no caller gets the answer to another request.
    """

    @hypothesis.settings(derandomize=True, max_examples=12, deadline=None)
    @hypothesis.given(steps=STEPS, seed=strategies.integers(0, 99))
    def test_random_faults_combined(self, steps, seed):
        asyncio.run(asyncio.wait_for(self.run_steps(steps, seed), 60))

    async def run_steps(self, steps, seed):
        rng = random.Random(seed)
        store = SharedStore()
        async with running_fleet(
            False,
            True,
            True,
            limits=SHORT_PEER_SILENCE,
            claims=store.claims_for,
        ) as fleet:
            links = [
                await add_faulty_link(fleet, node) for node in fleet.nodes[1:]
            ]
            callers = [
                callnodes.Caller(node.caller_address) for node in fleet.nodes
            ]
            pending = {}
            for number, step in enumerate(steps):
                await self.start_step(
                    number, step, callers, links, rng, pending
                )
                await asyncio.sleep(rng.random() * 0.05)
            for number, (step, tasks) in pending.items():
                answers = await asyncio.gather(*tasks, return_exceptions=True)
                self.check_step(fleet, number, step, answers)
            for link in links:
                await link.stop()

    async def start_step(self, number, step, callers, links, rng, pending):
        method, fault, disruption = step
        link = rng.choice(links)
        caller = rng.choice(callers)
        extra = {'idempotency_key': f'k{number}'} if method == 'order' else {}
        send = functools.partial(
            caller.send,
            'GET' if method == 'GET' else 'POST',
            '/orders' if method == 'order' else '/x',
            jujubefold_request_id=f'r{number}',
            jujubefold_deadline_ms=6000,
            example_fault=fault,
            example_echo=number,
            **extra,
        )
        if disruption == 'lose':
            link.lose_answers = 1
        duplicate = disruption == 'twice' and method == 'order'
        tasks = [asyncio.ensure_future(send()) for _ in range(1 + duplicate)]
        pending[number] = step, tasks
        await asyncio.sleep(rng.random() * 0.02)
        if disruption == 'cut':
            link.abort_all()
        elif disruption == 'silent':
            link.stall()
        elif disruption == 'leave':
            tasks[0].cancel()

    def check_step(self, fleet, number, step, answers):
        executions = count_executions(fleet, f'r{number}')
        if step[0] != 'GET':
            self.assertLessEqual(executions, 1, step)
        for answer in answers:
            if isinstance(answer, asyncio.CancelledError):
                continue
            self.assertIsInstance(answer, callserver.Answer, step)
            outcome = callnodes.outcome(answer)[0]
            if outcome == 'ran':
                self.assertTrue(executions, step)
                body = b''.join(answer.chunks)
                self.assertIn(b'"echo":"%d"' % number, body)
            elif outcome == 'did-not-run' and len(answers) == 1:
                self.assertEqual(0, executions, step)
            else:
                self.assertIn(outcome, ('unknown', 'did-not-run'))
