"""Failures of whole processes two at once, under load, from a fixed seed."""

import collections
import contextlib
import itertools
import json
import random
import signal
import socket
import threading
import time

import urllib3

from bench import fleets
from jujubefold import adminmodels
from jujubefold import porcelain
from jujubefold import timeline
from tests import ledger
from tests import relay
from tests import test_fleet

SEED = 11
LOAD_S = 1.5
SETTLE_S = 15.0
# Silent much longer than probes, suspicion and a claim's start window.
LONG_PAUSE_S = 12.0
DOMAIN_PAUSE_S = 8.0
MEGABYTE = 1024 * 1024
CRASH_BOUND = 6
PIPELINED = 40
CONNECTIONS = 6


class FaultCase(test_fleet.FleetCase):
    """A fleet whose upstreams' executions outlive their processes."""

    @property
    def journal(self):
        """Path of the file with the id of each request that began."""
        return self.fleet.folder / 'journal'

    def add_upstream(self, daemon):
        return self.fleet.add_upstream(
            daemon, 'pickups', '--journal', str(self.journal)
        )

    def executions(self):
        if not self.journal.exists():
            return collections.Counter()
        return collections.Counter(self.journal.read_text().split())

    def check_told(self, load):
        """Hold a keyed load's ledger; others may run more than once."""
        ran = self.executions()
        self.assertEqual([], load.mixed)
        self.assertEqual([], ledger.lies(load.told, ran))
        doubled = {name: ran[name] for name in load.told if ran[name] > 1}
        self.assertEqual({}, doubled)

    def fault(self, mode, seconds=0.0, operation=''):
        http = urllib3.PoolManager(retries=False)
        address = self.fleet.platform.addresses['address']
        for service in ('table', 'objects'):
            fault = {
                'service': service,
                'mode': mode,
                'seconds': seconds,
                'operation': operation,
            }
            answer = http.request(
                'PUT', f'http://{address}/_faults', json=fault
            )
            self.assertLess(answer.status, 300)

    def grow(self, load, count=50):
        before = load.served
        fleets.wait_for(lambda: load.served > before + count, 'calls')

    def settle(self, load, outcomes=()):
        """Send again what was not answered, until all keys are definite.

        Args:
            outcomes: Reasons of 409 that may be final for a key.
        """
        until = time.monotonic() + SETTLE_S
        for turn in itertools.count():
            left = [
                name
                for name, told in load.told.items()
                if told.status != 200 and told.reason not in outcomes
            ]
            if not left:
                return
            if time.monotonic() > until:
                break
            for number, name in enumerate(left):
                load.resend(name, self.callers()[(number + turn) % self.size])
            time.sleep(0.2)
        self.fail(f'not definite: {[(n, load.told[n]) for n in left][:5]}')


class TestStoreTwice(FaultCase):
    def submissions(self, seconds):
        """Submit patches through all daemons; return results by patch id."""
        results = {}
        until = time.monotonic() + seconds
        while time.monotonic() < until:
            number = len(results) + 1
            client = self.client_of(self.daemons[number % self.size])
            head = porcelain.versions(self.client)
            base = head.ok[-1].number if head.is_ok() else 1
            patch = (
                '[{"op":"add","path":"/timeouts/t%d",'
                '"value":{"request":%d}}]' % (number, number)
            )
            name = f'twice-{number}'
            results[name] = porcelain.submit(
                client, base, patch.encode(), name
            )
        return results

    def check_submissions(self, results):
        """Hold what operators were told against the accepted versions."""
        for name, result in results.items():
            accepted = {v.patch_id for v in porcelain.versions(self.client).ok}
            if result.is_ok():
                self.assertIn(name, accepted)
            elif result.error.ran == 'did-not-run':
                self.assertNotIn(name, accepted)
            else:
                state = porcelain.patch_status(self.client, name).ok
                if state.outcome == 'unused':
                    state = porcelain.patch_abandon(self.client, name).ok
                self.assertIn(state.outcome, ('accepted', 'abandoned'))
                accepted = porcelain.versions(self.client).ok
                self.assertEqual(
                    state.outcome == 'accepted',
                    name in {v.patch_id for v in accepted},
                )

    def test_lost_answers_and_a_slow_store_leave_all_definite(self):
        load = ledger.Load(self.callers, '/confirm', True)
        results = {}
        with load:
            self.grow(load)
            self.fault('answer-lost')
            results |= self.submissions(LOAD_S)
            self.fault('slow', 0.7)
            time.sleep(LOAD_S)
            self.fault('answer-lost', operation='TransactWriteItems')
            time.sleep(LOAD_S)
            self.fault('none')
            self.grow(load)
        self.check_submissions(results)
        self.settle(load)
        self.check_told(load)
        head = porcelain.versions(self.client).ok[-1].number
        self.converged(head)

    def test_store_down_and_holder_killed(self):
        load = ledger.Load(
            self.callers,
            '/confirm',
            True,
            8,
            prepare=lambda rng: ('delay:300', 0),
        )
        with load:
            self.grow(load, 20)
            self.fault('down')
            self.daemons[0].stop(signal.SIGKILL)
            time.sleep(2 * LOAD_S)
            self.fault('none')
            again = self.fleet.restart_daemon(self.daemons[0])
            self.daemons[0] = again
            self.grow(load, 20)
        self.settle(load, ('key-unknown',))
        self.check_told(load)

    def test_daemon_paused_past_its_claims_while_the_store_is_slow(self):
        load = ledger.Load(self.callers, '/confirm', True, 8)
        with load:
            self.grow(load)
            self.fault('slow', 0.4)
            time.sleep(0.3)
            self.daemons[0].send(signal.SIGSTOP)
            self.fault('none')
            time.sleep(LONG_PAUSE_S)
            self.daemons[0].send(signal.SIGCONT)
            self.grow(load)
        self.settle(load, ('key-unknown',))
        self.check_told(load)


class TestUpstreams(FaultCase):
    def replace(self, number):
        self.upstreams[number].stop(signal.SIGKILL)
        self.upstreams[number] = self.add_upstream(self.daemons[number])

    def test_killed_upstreams_under_load(self):
        keyed = ledger.Load(
            self.callers,
            '/confirm',
            True,
            prepare=lambda rng: ('delay:50', 0),
        )
        with keyed:
            self.grow(keyed)
            for number in range(self.served):
                self.replace(number)
                self.grow(keyed)
        self.settle(keyed, ('key-unknown',))
        self.check_told(keyed)

    def test_reads_are_served_elsewhere_when_an_upstream_is_killed(self):
        keyed = ledger.Load(
            self.callers,
            '/confirm',
            True,
            prepare=lambda rng: ('delay:50', 0),
        )
        reads = ledger.Load(self.callers, '/lookup', False, seed=50)
        with keyed, reads:
            self.grow(keyed)
            for number in range(self.served):
                self.replace(number)
                self.grow(keyed)
        self.assertEqual([], reads.mixed)
        failed = [told for told in reads.told.values() if told.status != 200]
        self.assertEqual([], failed)

    def test_crashing_request_is_refused_and_others_go_on(self):
        keyed = ledger.Load(self.callers, '/confirm', True)
        http = urllib3.PoolManager(retries=False, timeout=15.0)
        crashes = 0
        reasons = collections.Counter()
        with keyed:
            self.grow(keyed)
            for sent in range(20):
                address = self.callers()[sent % self.size]
                before = self.executions()['poison']
                answer = http.request(
                    'GET',
                    f'http://{address}/lookup/poison',
                    headers={
                        'example-fault': 'crash',
                        'jujubefold-request-id': 'poison',
                    },
                )
                reasons[answer.headers['jujubefold-reason']] += 1
                if answer.headers['jujubefold-outcome'] == 'did-not-run':
                    self.assertEqual(before, self.executions()['poison'])
                else:
                    self.assertNotEqual(
                        'suspect-request', answer.headers['jujubefold-reason']
                    )
                time.sleep(0.3)
                for number, upstream in enumerate(self.upstreams):
                    if upstream.popen.poll() is not None:
                        crashes += 1
                        self.replace(number)
            self.grow(keyed)
        self.assertGreater(reasons['suspect-request'], 8, reasons)
        self.assertLessEqual(crashes, CRASH_BOUND, reasons)
        self.settle(keyed, ('key-unknown',))
        self.check_told(keyed)


class TestRollingRestart(FaultCase):
    def prepare(self, rng):
        """Return one slow call in ten and one large one in twenty."""
        choice = rng.random()
        if choice < 0.1:
            return 'delay:800', 0
        if choice < 0.15:
            return 'mirror', rng.randrange(MEGABYTE, 10 * MEGABYTE)
        return '', 0

    def test_daemons_and_upstreams_together_cut_nothing(self):
        keyed = ledger.Load(
            self.callers, '/confirm', True, prepare=self.prepare
        )
        with keyed:
            self.grow(keyed)
            for number, daemon in enumerate(tuple(self.daemons)):
                self.roll(number, daemon)
                self.grow(keyed, 30)
        self.check_told(keyed)
        doubtful = [
            told
            for told in keyed.told.values()
            if told.outcome == 'unknown' or told.reason.startswith(ledger.CUT)
        ]
        self.assertEqual([], doubtful)

    def roll(self, number, daemon):
        """Stop a daemon and its upstream at once and start both again."""
        leaving = self.upstreams[number : number + 1]
        for upstream in leaving:
            upstream.send(signal.SIGTERM)
        self.assertEqual(0, self.restart(daemon))
        for upstream in leaving:
            self.assertEqual(0, upstream.popen.wait(fleets.STOP_TIMEOUT_S))
            again = self.add_upstream(self.daemons[number])
            self.upstreams[number] = again


class Versions(threading.Thread):
    """Asks one daemon in turn and keeps the versions that it used."""

    def __init__(self, daemon):
        super().__init__(daemon=True)
        self.seen = []
        self._address = daemon.addresses['caller_address']
        self._running = True

    def stop(self):
        self._running = False
        self.join()

    def run(self):
        http = urllib3.PoolManager(retries=False, timeout=5.0)
        while self._running:
            with contextlib.suppress(urllib3.exceptions.HTTPError):
                answer = http.request(
                    'GET', f'http://{self._address}/lookup/v'
                )
                self._keep(int(answer.headers['jujubefold-version']))
            time.sleep(0.01)

    def _keep(self, number):
        # 0 says that none was pinned.
        if number and self.seen[-1:] != [number]:
            self.seen.append(number)


class TestManyVersions(FaultCase):
    accepted = 30

    def change_by_race(self, number):
        """Let two operators race for a version; one may win."""
        live = [d for d in self.daemons if d.popen.poll() is None]
        patches = (
            b'[{"op":"add","path":"/timeouts/t%d","value":{"request":%d}}]'
            % (number, value)
            for value in (1, 2)
        )
        results = [None, None]

        def submit(place, patch):
            results[place] = porcelain.submit(
                self.client_of(live[place]), number - 1, patch
            )

        threads = [
            threading.Thread(target=submit, args=pair)
            for pair in enumerate(patches)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual([number], [r.ok.number for r in results if r.is_ok()])

    def test_no_daemon_goes_back_across_kills(self):
        rng = random.Random(SEED)
        watched = [Versions(daemon) for daemon in self.daemons]
        for thread in watched:
            thread.start()
            self.addCleanup(thread.stop)
        down = None
        lines = []
        for number in range(2, self.accepted + 1):
            self.change_by_race(number)
            if down is not None:
                self.daemons[down] = self.fleet.restart_daemon(
                    self.daemons[down]
                )
                down = None
            elif rng.random() < 0.4:
                down = rng.randrange(self.size)
                lines += self.line_of(self.daemons[down])
                self.daemons[down].stop(signal.SIGKILL)
        if down is not None:
            self.daemons[down] = self.fleet.restart_daemon(self.daemons[down])
        self.converged(self.accepted)
        for thread in watched:
            fleets.wait_for(
                lambda t=thread: t.seen[-1:] == [self.accepted], 'version used'
            )
            self.assertEqual(sorted(thread.seen), thread.seen)
        for daemon in self.daemons:
            lines += self.line_of(daemon)
        self.check_lines(lines)

    def line_of(self, daemon):
        wanted = timeline.Filter(name='version.in_force')
        line = porcelain.own_timeline(self.client_of(daemon), wanted)
        return line.ok if line.is_ok() else []

    def check_lines(self, lines):
        held = collections.defaultdict(list)
        for stamped in sorted(lines, key=timeline.order):
            held[stamped.vm].append(stamped.event.version)
        self.assertEqual(self.size, len(held))
        for numbers in held.values():
            self.assertEqual(sorted(numbers), numbers)


class TestSilentConnections(FaultCase):
    size = 2
    served = 1

    def add_upstream(self, daemon):
        """Announce a relay in place of the upstream's own address."""
        upstream = self.fleet.add_process(
            'example', '--service', 'pickups', '--journal', str(self.journal)
        )
        self.relay = relay.Relay(upstream.addresses['address'])
        self.addCleanup(self.relay.close)
        self.announcing = threading.Event()
        self.addCleanup(self.announcing.set)
        threading.Thread(
            target=self.announce, args=(daemon,), daemon=True
        ).start()
        return upstream

    def announce(self, daemon):
        client = self.client_of(daemon)
        announcement = adminmodels.Announcement(
            service='pickups', address=self.relay.address, ttl=6.0
        )
        while not self.announcing.wait(0.5):
            client.send('PUT', '/v1/upstream', None, announcement)

    def test_calls_end_within_their_deadline_and_go_on(self):
        keyed = ledger.Load(self.callers, '/confirm', True)
        reads = ledger.Load(self.callers, '/lookup', False, seed=50)
        with keyed, reads:
            self.grow(keyed)
            for _ in range(2):
                self.relay.blackhole()
                self.grow(keyed)
                self.grow(reads)
        self.settle(keyed, ('key-unknown',))
        self.check_told(keyed)
        self.assertEqual([], reads.mixed)
        cut = [told for told in reads.told.values() if told.status == 0]
        self.assertEqual([], cut)


class TestPausedDomain(FaultCase):
    size = 6
    served = 4

    def test_paused_failure_domain_converges_without_going_back(self):
        # Domains a, b, c are given in turn.
        paused = [self.daemons[0], self.daemons[3]]
        rest = [d for d in self.daemons if d not in paused]
        watched = [Versions(daemon) for daemon in self.daemons]
        load = ledger.Load(
            lambda: [d.addresses['caller_address'] for d in rest],
            '/confirm',
            True,
        )
        for thread in watched:
            thread.start()
            self.addCleanup(thread.stop)
        with load:
            self.grow(load)
            for daemon in paused:
                daemon.send(signal.SIGSTOP)
            self.assertEqual(2, self.change(2).ok.number)
            time.sleep(DOMAIN_PAUSE_S / 2)
            self.grow(load)
            self.assertEqual(3, self.change(3).ok.number)
            time.sleep(DOMAIN_PAUSE_S / 2)
            for daemon in paused:
                daemon.send(signal.SIGCONT)
            self.converged(3)
            self.grow(load)
        self.settle(load, ('key-unknown',))
        self.check_told(load)
        for thread in watched:
            fleets.wait_for(lambda t=thread: t.seen[-1:] == [3], 'version')
            self.assertEqual(sorted(thread.seen), thread.seen)


class TestCrossedAnswers(FaultCase):
    size = 2
    served = 2

    def test_pipelined_calls_get_their_own_answers(self):
        failures = []
        threads = [
            threading.Thread(target=self.pipeline, args=(n, failures))
            for n in range(CONNECTIONS)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        self.assertEqual([], failures)
        ran = self.executions()
        self.assertEqual(CONNECTIONS * PIPELINED, len(ran))

    def pipeline(self, number, failures):
        rng = random.Random(SEED + number)
        address = self.callers()[number % self.size]
        host, port = address.split(':')
        names = [f'p-{number}-{n}' for n in range(PIPELINED)]
        with socket.create_connection((host, int(port)), 20.0) as wire:
            for name in names:
                wire.sendall(self.request(name, rng))
            answers = wire.makefile('rb')
            for name in names:
                found = self.answer(answers)
                if found.get('echo') != name:
                    failures.append((name, found))

    def request(self, name, rng):
        delay = f'example-fault: delay:{rng.randrange(1, 60)}\r\n'
        return (
            f'GET /lookup/{name} HTTP/1.1\r\nhost: a\r\n'
            f'jujubefold-request-id: {name}\r\n'
            f'example-echo: {name}\r\n{delay}\r\n'
        ).encode()

    def answer(self, wire):
        """Read one answer with a content length; return its JSON body."""
        status = wire.readline()
        length = 0
        while (line := wire.readline().strip()) not in (b'', None):
            key, _, value = line.partition(b':')
            if key.lower() == b'content-length':
                length = int(value)
        body = wire.read(length)
        return json.loads(body) if body else {'status': status}
