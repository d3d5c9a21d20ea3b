"""Tests of the body memory budget and of daemons with many large bodies."""

import asyncio
import contextlib
import json
import pathlib
import signal
import subprocess
import sys

import testtools

from jujubefold import bodymemory
from jujubefold import callserver
from tests import callnodes

RSS_LIMIT_KB = 256 * 1024
MEGABYTE = 1 << 20
ROOT = pathlib.Path(__file__).parent.parent
PHOTOS = 60
# Sendings of a photo that is refused without having run.
MAX_SENDINGS = 5


@contextlib.contextmanager
def run_module(*arguments):
    """Run a module; yield its process and its first line, parsed as JSON."""
    process = subprocess.Popen(
        [sys.executable, '-m', *arguments], stdout=subprocess.PIPE, cwd=ROOT
    )
    try:
        yield process, json.loads(process.stdout.readline())
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


def peak_rss_kb(pid):
    """Return the peak resident set size of a process in KiB."""
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    line = next(line for line in status.splitlines() if 'VmHWM' in line)
    return int(line.split()[1])


async def count_executions(address):
    """Return how often an example upstream ran each request, by id."""
    answer = await callnodes.Caller(address).send(path='/_executions')
    return json.loads(b''.join(answer.chunks))


class TestBudget(testtools.TestCase):
    def test_reservations_are_granted_in_order_within_the_limit(self):
        budget = bodymemory.Budget(10)
        granted = []
        held = [bodymemory.Reservation() for _ in range(4)]

        def ask(index, size):
            return budget.reserve(
                held[index], size, lambda: granted.append(index)
            )

        self.assertTrue(ask(0, 6))
        self.assertFalse(ask(1, 5))
        self.assertFalse(ask(2, 1))
        self.assertFalse(ask(3, 4))
        self.assertEqual(6, budget.used)
        budget.release(held[0])
        self.assertEqual([1, 2, 3], granted)
        self.assertEqual(10, budget.used)
        for reservation in held:
            budget.release(reservation)
        self.assertEqual(0, budget.used)

    def test_released_waiter_lets_the_next_one_in(self):
        budget = bodymemory.Budget(10)
        granted = []
        first, second, third = (bodymemory.Reservation() for _ in range(3))
        budget.reserve(first, 6, None)
        budget.reserve(second, 9, lambda: granted.append('second'))
        budget.reserve(third, 4, lambda: granted.append('third'))
        budget.release(second)
        self.assertEqual(['third'], granted)

    def test_largest_is_refused_if_all_holders_wait_for_more(self):
        budget = bodymemory.Budget(10)
        refused = []
        held = [
            bodymemory.Reservation(
                on_refused=lambda index=index: refused.append(index)
            )
            for index in range(3)
        ]
        budget.reserve(held[0], 4, None)
        budget.reserve(held[1], 5, None)
        # Whoever holds memory and does not wait will release it.
        self.assertFalse(budget.reserve(held[0], 2, lambda: None))
        self.assertFalse(budget.reserve(held[2], 7, lambda: None))
        self.assertEqual([], refused)
        self.assertFalse(budget.reserve(held[1], 2, lambda: None))
        self.assertEqual([1], refused)
        budget.release(held[1])
        self.assertEqual(6, held[0].size)


class TestDaemonMemory(testtools.TestCase):
    def test_many_large_bodies_stay_within_the_limit(self):
        async def send_photo(caller, chunks, name, number):
            for _ in range(MAX_SENDINGS):
                answer = await caller.send(
                    'POST',
                    '/photo',
                    chunks,
                    jujubefold_request_id=name,
                    example_fault='large:5' if number % 2 else '',
                    example_echo=number,
                )
                self.assertIsInstance(answer, callserver.Answer)
                if callnodes.outcome(answer)[0] != 'did-not-run':
                    break
                # On a busy machine a body may wait for memory for too long.
                fields = dict(answer.headers)
                await asyncio.sleep(float(fields[b'retry-after']))
            if number % 2:
                # A refusal is short, and says why.
                start = b''.join(answer.chunks)[:1000]
                self.assertEqual(5 * MEGABYTE, answer.size, start)
            else:
                self.assertIn(
                    b'{"echo":"%d","size":%d,' % (number, 10 * MEGABYTE),
                    b''.join(answer.chunks),
                )

        async def send_all(addresses):
            chunks = [bytes(MEGABYTE)] * 10
            callers = [callnodes.Caller(address) for address in addresses]
            await asyncio.gather(
                *(
                    send_photo(
                        callers[number % 2],
                        chunks,
                        f'photo-{number}',
                        number // 2,
                    )
                    for number in range(PHOTOS)
                )
            )

        with contextlib.ExitStack() as stack:

            def start(*arguments):
                return stack.enter_context(run_module(*arguments))

            _, upstream = start(
                'jujubefold.example', '--service=example', '--slots=64'
            )
            address = upstream['address']
            gate, gate_addresses = start(
                'bench.callnode', f'--upstream={address}', '--slots=6'
            )
            entry, entry_addresses = start(
                'bench.callnode',
                f'--peer={gate_addresses["peers"]}',
                '--vm=entry',
            )
            asyncio.run(
                send_all(
                    [gate_addresses['callers'], entry_addresses['callers']]
                )
            )
            for process in (gate, entry):
                self.assertLess(peak_rss_kb(process.pid), RSS_LIMIT_KB)
            # None ran twice, as would those whose refusal was not true.
            self.assertEqual(
                {f'photo-{number}': 1 for number in range(PHOTOS)},
                asyncio.run(count_executions(address)),
            )


class TestExampleUpstream(testtools.TestCase):
    def test_sigterm_drains_and_executions_are_counted(self):
        async def ask(address, process):
            caller = callnodes.Caller(address)
            slow_request = asyncio.ensure_future(
                caller.send(
                    jujubefold_request_id='a', example_fault='delay:300'
                )
            )
            await asyncio.sleep(0.1)
            executions = await caller.send(path='/_executions')
            self.assertEqual({'a': 1}, json.loads(b''.join(executions.chunks)))
            process.send_signal(signal.SIGTERM)
            self.assertEqual(200, (await slow_request).status)

        with run_module(
            'jujubefold.example', '--service=example', '--slots=2'
        ) as (process, addresses):
            self.assertEqual('example', addresses['service'])
            asyncio.run(ask(addresses['address'], process))
            self.assertEqual(0, process.wait(10))

    def test_excess_requests_are_shed_and_deadlines_kept(self):
        async def ask(address):
            caller = callnodes.Caller(address)
            slow_request = asyncio.ensure_future(
                caller.send(example_fault='delay:60000')
            )
            await asyncio.sleep(0.1)
            shed = await caller.send(jujubefold_request_id='b')
            fields = dict(shed.headers)
            self.assertEqual(b'1', fields[b'retry-after'])
            slow_request.cancel()
            await asyncio.sleep(0.1)
            timed_out = await caller.send(
                example_fault='delay:60000', jujubefold_deadline_ms=50
            )
            self.assertEqual((503, 504), (shed.status, timed_out.status))
            executions = await caller.send(path='/_executions')
            self.assertNotIn(b'"b"', b''.join(executions.chunks))

        with run_module(
            'jujubefold.example', '--service=example', '--slots=1'
        ) as (_, addresses):
            asyncio.run(ask(addresses['address']))

    def test_crash_fault_ends_the_process(self):
        async def ask(address):
            await callnodes.Caller(address).send(example_fault='crash')

        with run_module('jujubefold.example', '--service=example') as (
            process,
            addresses,
        ):
            asyncio.run(ask(addresses['address']))
            self.assertEqual(70, process.wait(10))
