"""Two simultaneous failures of processes under load, from a fixed seed."""

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
FAULT_PHASE_S = 1.5
RESEND_TIMEOUT_S = 15.0
# Pause much longer than probing, suspicion and the start window of a claim.
LONG_PAUSE_S = 12.0
DOMAIN_PAUSE_S = 8.0
MEGABYTE = 1024 * 1024
CRASH_BOUND = 6
PIPELINED_REQUESTS = 40
CONNECTIONS = 6


class FaultCase(test_fleet.FleetCase):
    """Base of tests on a fleet whose upstreams log executions to a file."""

    @property
    def journal(self):
        """Path of the file with the id of each request that was started."""
        return self.fleet.folder / 'journal'

    def add_upstream(self, daemon):
        return self.fleet.add_upstream(
            daemon, 'pickups', '--journal', str(self.journal)
        )

    def executions(self):
        if not self.journal.exists():
            return collections.Counter()
        return collections.Counter(self.journal.read_text().split())

    def check_outcomes(self, load):
        """Check the outcomes of a keyed load.

        Only requests of `load` must have run at most once.
        """
        ran = self.executions()
        self.assertEqual([], load.mismatched)
        self.assertEqual([], ledger.wrong_outcomes(load.results, ran))
        repeated = {name: ran[name] for name in load.results if ran[name] > 1}
        self.assertEqual({}, repeated)

    def set_store_fault(self, mode, seconds=0.0, operation=''):
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

    def wait_for_calls(self, load, count=50):
        before = load.served
        fleets.wait_for(lambda: load.served > before + count, 'calls')

    def resend_until_definite(self, load, outcomes=()):
        """Resend unanswered requests until all keys have a definite outcome.

        Args:
            outcomes: Reasons that are accepted as final for a key.
        """
        deadline = time.monotonic() + RESEND_TIMEOUT_S
        for round_number in itertools.count():
            unanswered = [
                name
                for name, result in load.results.items()
                if result.status != 200 and result.reason not in outcomes
            ]
            if not unanswered:
                return
            if time.monotonic() > deadline:
                break
            for number, name in enumerate(unanswered):
                load.resend(
                    name,
                    self.caller_addresses()[
                        (number + round_number) % self.daemon_count
                    ],
                )
            time.sleep(0.2)
        self.fail(
            f'no outcome for: {[(n, load.results[n]) for n in unanswered][:5]}'
        )


class TestStoreFaults(FaultCase):
    def submit_patches(self, seconds):
        """Submit patches through all daemons in turn for some seconds.

        Returns:
            Mapping from patch id to the result.
        """
        results = {}
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            number = len(results) + 1
            client = self.client_of(self.daemons[number % self.daemon_count])
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
        """Compare the results of submissions with the accepted versions."""
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

    def test_lost_answers_and_a_slow_store_leave_no_open_outcome(self):
        load = ledger.LoadGenerator(self.caller_addresses, '/confirm', True)
        results = {}
        with load:
            self.wait_for_calls(load)
            self.set_store_fault('answer-lost')
            results |= self.submit_patches(FAULT_PHASE_S)
            self.set_store_fault('slow', 0.7)
            time.sleep(FAULT_PHASE_S)
            self.set_store_fault('answer-lost', operation='TransactWriteItems')
            time.sleep(FAULT_PHASE_S)
            self.set_store_fault('none')
            self.wait_for_calls(load)
        self.check_submissions(results)
        self.resend_until_definite(load)
        self.check_outcomes(load)
        head = porcelain.versions(self.client).ok[-1].number
        self.wait_for_version(head)

    def test_claim_holder_killed_during_a_store_outage(self):
        load = ledger.LoadGenerator(
            self.caller_addresses,
            '/confirm',
            True,
            8,
            prepare=lambda rng: ('delay:300', 0),
        )
        with load:
            self.wait_for_calls(load, 20)
            self.set_store_fault('down')
            self.daemons[0].stop(signal.SIGKILL)
            time.sleep(2 * FAULT_PHASE_S)
            self.set_store_fault('none')
            again = self.fleet.restart_daemon(self.daemons[0])
            self.daemons[0] = again
            self.wait_for_calls(load, 20)
        self.resend_until_definite(load, ('key-unknown',))
        self.check_outcomes(load)

    def test_daemon_paused_beyond_its_claims_while_the_store_is_slow(self):
        load = ledger.LoadGenerator(self.caller_addresses, '/confirm', True, 8)
        with load:
            self.wait_for_calls(load)
            self.set_store_fault('slow', 0.4)
            time.sleep(0.3)
            self.daemons[0].send(signal.SIGSTOP)
            self.set_store_fault('none')
            time.sleep(LONG_PAUSE_S)
            self.daemons[0].send(signal.SIGCONT)
            self.wait_for_calls(load)
        self.resend_until_definite(load, ('key-unknown',))
        self.check_outcomes(load)


class TestUpstreams(FaultCase):
    def replace_upstream(self, number):
        self.upstreams[number].stop(signal.SIGKILL)
        self.upstreams[number] = self.add_upstream(self.daemons[number])

    def test_killed_upstreams_under_load(self):
        keyed = ledger.LoadGenerator(
            self.caller_addresses,
            '/confirm',
            True,
            prepare=lambda rng: ('delay:50', 0),
        )
        with keyed:
            self.wait_for_calls(keyed)
            for number in range(self.upstream_count):
                self.replace_upstream(number)
                self.wait_for_calls(keyed)
        self.resend_until_definite(keyed, ('key-unknown',))
        self.check_outcomes(keyed)

    def test_reads_are_served_elsewhere_when_an_upstream_is_killed(self):
        keyed = ledger.LoadGenerator(
            self.caller_addresses,
            '/confirm',
            True,
            prepare=lambda rng: ('delay:50', 0),
        )
        reads = ledger.LoadGenerator(
            self.caller_addresses, '/lookup', False, seed=50
        )
        with keyed, reads:
            self.wait_for_calls(keyed)
            for number in range(self.upstream_count):
                self.replace_upstream(number)
                self.wait_for_calls(keyed)
        self.assertEqual([], reads.mismatched)
        failed = [
            result for result in reads.results.values() if result.status != 200
        ]
        self.assertEqual([], failed)

    def test_crashing_request_is_refused_and_others_go_on(self):
        keyed = ledger.LoadGenerator(self.caller_addresses, '/confirm', True)
        http = urllib3.PoolManager(retries=False, timeout=15.0)
        crashes = 0
        reasons = collections.Counter()
        with keyed:
            self.wait_for_calls(keyed)
            for sent in range(20):
                address = self.caller_addresses()[sent % self.daemon_count]
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
                        self.replace_upstream(number)
            self.wait_for_calls(keyed)
        self.assertGreater(reasons['suspect-request'], 8, reasons)
        self.assertLessEqual(crashes, CRASH_BOUND, reasons)
        self.resend_until_definite(keyed, ('key-unknown',))
        self.check_outcomes(keyed)


class TestRollingRestart(FaultCase):
    def prepare(self, rng):
        """Make one call in ten slow and one in twenty large."""
        choice = rng.random()
        if choice < 0.1:
            return 'delay:800', 0
        if choice < 0.15:
            return 'mirror', rng.randrange(MEGABYTE, 10 * MEGABYTE)
        return '', 0

    def test_restarting_daemons_with_their_upstreams_cuts_no_call(self):
        keyed = ledger.LoadGenerator(
            self.caller_addresses, '/confirm', True, prepare=self.prepare
        )
        with keyed:
            self.wait_for_calls(keyed)
            for number, daemon in enumerate(tuple(self.daemons)):
                self.restart_pair(number, daemon)
                self.wait_for_calls(keyed, 30)
        self.check_outcomes(keyed)
        indefinite = [
            result
            for result in keyed.results.values()
            if result.outcome == 'unknown'
            or result.reason.startswith(ledger.CONNECTION_LOST)
        ]
        self.assertEqual([], indefinite)

    def restart_pair(self, number, daemon):
        """Restart a daemon and its upstream at the same time."""
        leaving = self.upstreams[number : number + 1]
        for upstream in leaving:
            upstream.send(signal.SIGTERM)
        self.assertEqual(0, self.restart(daemon))
        for upstream in leaving:
            self.assertEqual(0, upstream.popen.wait(fleets.STOP_TIMEOUT_S))
            again = self.add_upstream(self.daemons[number])
            self.upstreams[number] = again


class VersionWatcher(threading.Thread):
    """Calls one daemon repeatedly and records the versions that it used."""

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
                self._record(int(answer.headers['jujubefold-version']))
            time.sleep(0.01)

    def _record(self, number):
        # 0 means that the call was not bound to a version.
        if number and self.seen[-1:] != [number]:
            self.seen.append(number)


class TestManyVersions(FaultCase):
    last_version = 30

    def submit_concurrently(self, number):
        """Submit two patches on the same base; one must be accepted."""
        live = [d for d in self.daemons if d.popen.poll() is None]
        patches = (
            b'[{"op":"add","path":"/timeouts/t%d","value":{"request":%d}}]'
            % (number, value)
            for value in (1, 2)
        )
        results = [None, None]

        def submit(index, patch):
            results[index] = porcelain.submit(
                self.client_of(live[index]), number - 1, patch
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

    def test_versions_in_use_never_decrease_across_kills(self):
        rng = random.Random(SEED)
        watchers = [VersionWatcher(daemon) for daemon in self.daemons]
        for thread in watchers:
            thread.start()
            self.addCleanup(thread.stop)
        down = None
        recorded = []
        for number in range(2, self.last_version + 1):
            self.submit_concurrently(number)
            if down is not None:
                self.daemons[down] = self.fleet.restart_daemon(
                    self.daemons[down]
                )
                down = None
            elif rng.random() < 0.4:
                down = rng.randrange(self.daemon_count)
                recorded += self.in_force_events(self.daemons[down])
                self.daemons[down].stop(signal.SIGKILL)
        if down is not None:
            self.daemons[down] = self.fleet.restart_daemon(self.daemons[down])
        self.wait_for_version(self.last_version)
        for thread in watchers:
            fleets.wait_for(
                lambda t=thread: t.seen[-1:] == [self.last_version],
                'version used',
            )
            self.assertEqual(sorted(thread.seen), thread.seen)
        for daemon in self.daemons:
            recorded += self.in_force_events(daemon)
        self.check_versions_never_decrease(recorded)

    def in_force_events(self, daemon):
        event_filter = timeline.Filter(name='version.in_force')
        found = porcelain.daemon_timeline(self.client_of(daemon), event_filter)
        return found.ok if found.is_ok() else []

    def check_versions_never_decrease(self, recorded):
        versions_by_vm = collections.defaultdict(list)
        for stamped in sorted(recorded, key=timeline.sort_key):
            versions_by_vm[stamped.vm].append(stamped.event.version)
        self.assertEqual(self.daemon_count, len(versions_by_vm))
        for numbers in versions_by_vm.values():
            self.assertEqual(sorted(numbers), numbers)


class TestSilentConnections(FaultCase):
    daemon_count = 2
    upstream_count = 1

    def add_upstream(self, daemon):
        """Start an upstream and announce a relay in place of its address."""
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

    def test_calls_end_within_their_deadline_and_later_ones_succeed(self):
        keyed = ledger.LoadGenerator(self.caller_addresses, '/confirm', True)
        reads = ledger.LoadGenerator(
            self.caller_addresses, '/lookup', False, seed=50
        )
        with keyed, reads:
            self.wait_for_calls(keyed)
            for _ in range(2):
                self.relay.blackhole()
                self.wait_for_calls(keyed)
                self.wait_for_calls(reads)
        self.resend_until_definite(keyed, ('key-unknown',))
        self.check_outcomes(keyed)
        self.assertEqual([], reads.mismatched)
        cut = [
            result for result in reads.results.values() if result.status == 0
        ]
        self.assertEqual([], cut)


class TestPausedDomain(FaultCase):
    daemon_count = 6
    upstream_count = 4

    def test_paused_failure_domain_converges_without_older_versions(self):
        # Failure domains a, b and c are assigned in turn, so these two daemons
        # share one.
        paused = [self.daemons[0], self.daemons[3]]
        rest = [d for d in self.daemons if d not in paused]
        watchers = [VersionWatcher(daemon) for daemon in self.daemons]
        load = ledger.LoadGenerator(
            lambda: [d.addresses['caller_address'] for d in rest],
            '/confirm',
            True,
        )
        for thread in watchers:
            thread.start()
            self.addCleanup(thread.stop)
        with load:
            self.wait_for_calls(load)
            for daemon in paused:
                daemon.send(signal.SIGSTOP)
            self.assertEqual(2, self.submit_change(2).ok.number)
            time.sleep(DOMAIN_PAUSE_S / 2)
            self.wait_for_calls(load)
            self.assertEqual(3, self.submit_change(3).ok.number)
            time.sleep(DOMAIN_PAUSE_S / 2)
            for daemon in paused:
                daemon.send(signal.SIGCONT)
            self.wait_for_version(3)
            self.wait_for_calls(load)
        self.resend_until_definite(load, ('key-unknown',))
        self.check_outcomes(load)
        for thread in watchers:
            fleets.wait_for(lambda t=thread: t.seen[-1:] == [3], 'version')
            self.assertEqual(sorted(thread.seen), thread.seen)


class TestCrossedAnswers(FaultCase):
    daemon_count = 2
    upstream_count = 2

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
        self.assertEqual(CONNECTIONS * PIPELINED_REQUESTS, len(ran))

    def pipeline(self, number, failures):
        rng = random.Random(SEED + number)
        address = self.caller_addresses()[number % self.daemon_count]
        host, port = address.split(':')
        names = [f'p-{number}-{n}' for n in range(PIPELINED_REQUESTS)]
        with socket.create_connection((host, int(port)), 20.0) as connection:
            for name in names:
                connection.sendall(self.request(name, rng))
            answers = connection.makefile('rb')
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

    def answer(self, connection):
        """Read one answer with a content length and return its JSON body."""
        status = connection.readline()
        length = 0
        while (line := connection.readline().strip()) not in (b'', None):
            key, _, value = line.partition(b':')
            if key.lower() == b'content-length':
                length = int(value)
        body = connection.read(length)
        return json.loads(body) if body else {'status': status}
