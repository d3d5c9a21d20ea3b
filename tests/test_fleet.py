"""Failures of whole processes, with callers and operators at work."""

import concurrent.futures
import pathlib
import signal
import tempfile
import time

import testtools
import urllib3

from bench import fleets
from jujubefold import adminclient
from jujubefold import porcelain
from tests import ledger

DECLARATIONS = """
schema = 1

[services.pickups]

[groups.pickups]
service = "pickups"

[routes.confirm]
path = "/confirm"
methods = ["POST"]
keyed = true
targets = [{ group = "pickups" }]

[routes.lookup]
path = "/lookup"
methods = ["GET"]
targets = [{ group = "pickups" }]
"""
ADDRESSES = ('peer_address', 'call_address', 'caller_address', 'admin_address')
# Leaving upstreams get no new work this long after their announcement.
DRAIN_BOUND_S = 2.0


class FleetCase(testtools.TestCase):
    """A fleet with one version in force and announced upstreams."""

    size = 4
    served = 3

    def setUp(self):
        super().setUp()
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.declarations = pathlib.Path(folder.name) / 'mesh.toml'
        self.declarations.write_text(DECLARATIONS)
        self.fleet = fleets.Fleet()
        self.addCleanup(self.fleet.close)
        self.daemons = [self.fleet.add_daemon() for _ in range(self.size)]
        self.upstreams = [
            self.add_upstream(daemon) for daemon in self.daemons[: self.served]
        ]
        self.client = self.client_of(self.daemons[-1])
        fleets.wait_for(lambda: self.announced(self.client), 'members')
        accepted = porcelain.apply(self.client, self.declarations, 0)
        self.assertEqual(1, accepted.ok.number)
        self.converged(1)

    def add_upstream(self, daemon):
        return self.fleet.add_upstream(daemon, 'pickups')

    def executions(self):
        """Return how often each request ran."""
        return ledger.executions(self.upstreams)

    def client_of(self, daemon):
        return adminclient.AdminClient(daemon.addresses['admin_address'])

    def announced(self, client):
        fleet = porcelain.members(client)
        if fleet.is_error():
            return False
        serving = [
            member
            for member in fleet.ok.members
            if member.upstream_state == 'serving' and member.state == 'alive'
        ]
        return len(serving) == self.served

    def converged(self, number):
        for daemon in self.daemons:
            client = self.client_of(daemon)
            fleets.wait_for(
                lambda client=client: self.holds(client, number),
                f'version {number} in force',
            )

    def holds(self, client, number):
        status = porcelain.status(client)
        return status.is_ok() and status.ok.in_force >= number

    def in_force(self, daemon):
        return porcelain.status(self.client_of(daemon)).ok.in_force

    def callers(self):
        return [d.addresses['caller_address'] for d in self.daemons]

    def restart(self, daemon, number=signal.SIGTERM):
        status = daemon.stop(number)
        again = self.fleet.restart_daemon(daemon)
        self.daemons[self.daemons.index(daemon)] = again
        return status

    def change(self, number):
        """Submit a small patch that makes the next version."""
        patch = (
            '[{"op":"add","path":"/timeouts/t%d","value":{"request":%d}}]'
            % (number, number)
        )
        return porcelain.submit(self.client, number - 1, patch.encode())

    def check_told(self, load):
        ran = self.executions()
        self.assertEqual([], load.mixed)
        self.assertEqual([], ledger.lies(load.told, ran))
        doubled = {name: count for name, count in ran.items() if count > 1}
        self.assertEqual({}, doubled)


class TestPlannedStops(FleetCase):
    def test_rolling_restart_loses_and_doubles_nothing(self):
        keyed = ledger.Load(self.callers, '/confirm', True)
        with keyed:
            fleets.wait_for(lambda: keyed.served > 50, 'calls before')
            for daemon in tuple(self.daemons):
                before = keyed.served
                self.assertEqual(0, self.restart(daemon))
                fleets.wait_for(
                    lambda before=before: keyed.served > before + 50, 'calls'
                )
        self.check_told(keyed)
        unknown = [
            told
            for told in keyed.told.values()
            if told.outcome == 'unknown'
            or told.outcome == ''
            and told.status != 0
        ]
        self.assertEqual([], unknown)

    def test_leaving_upstream_gets_no_new_work(self):
        leaving = self.upstreams[0]
        load = ledger.Load(self.callers, '/lookup', False)
        with load:
            fleets.wait_for(lambda: load.served > 100, 'calls before')
            leaving.send(signal.SIGUSR1)
            time.sleep(DRAIN_BOUND_S)
            before = ledger.executions([leaving]).total()
            served = load.served
            fleets.wait_for(lambda: load.served > served + 200, 'calls after')
            after = ledger.executions([leaving]).total()
        self.assertEqual(before, after)
        failed = [t for t in load.told.values() if t.status != 200]
        self.assertEqual([], failed)


class TestKills(FleetCase):
    def test_killed_daemon_doubles_nothing_and_holds_the_newest_again(self):
        load = ledger.Load(self.callers, '/confirm', True)
        with load:
            fleets.wait_for(lambda: load.served > 50, 'calls before')
            self.restart(self.daemons[0], signal.SIGKILL)
            self.assertEqual(2, self.change(2).ok.number)
            before = load.served
            fleets.wait_for(lambda: load.served > before + 100, 'calls after')
        self.converged(2)
        self.check_told(load)

    def test_paused_daemon_does_no_harm_when_it_goes_on(self):
        load = ledger.Load(self.callers, '/confirm', True)
        with load:
            fleets.wait_for(lambda: load.served > 50, 'calls before')
            self.daemons[0].send(signal.SIGSTOP)
            self.assertEqual(2, self.change(2).ok.number)
            time.sleep(6.0)
            self.daemons[0].send(signal.SIGCONT)
            before = load.served
            fleets.wait_for(lambda: load.served > before + 100, 'calls after')
        self.converged(2)
        self.check_told(load)

    def test_herd_returns_to_the_newest_version(self):
        self.assertEqual(2, self.change(2).ok.number)
        self.converged(2)
        for daemon in self.daemons:
            daemon.stop(signal.SIGKILL)
        self.daemons = [
            self.fleet.restart_daemon(daemon) for daemon in self.daemons
        ]
        self.converged(2)
        fleets.wait_for(lambda: self.announced(self.client), 'members again')
        load = ledger.Load(self.callers, '/confirm', True)
        with load:
            fleets.wait_for(lambda: load.served > 50, 'calls after')
        self.check_told(load)


class TestStoreOutage(FleetCase):
    def fault(self, mode):
        http = urllib3.PoolManager(retries=False)
        address = self.fleet.platform.addresses['address']
        for service in ('table', 'objects'):
            answer = http.request(
                'PUT',
                f'http://{address}/_faults',
                json={'service': service, 'mode': mode},
            )
            self.assertLess(answer.status, 300)

    def test_calls_during_an_outage_are_told_the_truth(self):
        http = urllib3.PoolManager(retries=False)
        self.fault('down')
        address = self.callers()[0]
        answer = http.request('GET', f'http://{address}/lookup/1')
        self.assertEqual(200, answer.status)
        answer = http.request(
            'POST',
            f'http://{address}/confirm/1',
            headers={
                'idempotency-key': '"one"',
                'jujubefold-request-id': 'one',
                'jujubefold-deadline-ms': '1500',
            },
        )
        self.assertEqual(503, answer.status)
        self.assertEqual('did-not-run', answer.headers['jujubefold-outcome'])
        self.assertEqual(0, ledger.executions(self.upstreams)['one'])
        refused = self.change(2)
        self.assertEqual('did-not-run', refused.error.ran)
        self.fault('none')
        load = ledger.Load(self.callers, '/confirm', True)
        with load:
            fleets.wait_for(lambda: load.served > 50, 'calls after')
        self.check_told(load)
        self.assertEqual(2, self.change(2).ok.number)
        self.converged(2)

    def test_restart_without_the_store_serves_only_after_a_floor(self):
        self.assertEqual(2, self.change(2).ok.number)
        self.converged(2)
        self.fault('down')
        self.restart(self.daemons[0], signal.SIGKILL)
        time.sleep(5.0)
        self.assertEqual(0, self.in_force(self.daemons[0]))
        self.fault('none')
        self.converged(2)


class TestKeys(FleetCase):
    size = 3
    served = 2

    def test_key_sent_through_all_daemons_runs_once(self):
        answers = [self.settled(address) for address in self.callers()]
        self.assertEqual(1, len({answer.data for answer in answers}))
        self.assertEqual(1, ledger.executions(self.upstreams)['one'])

    def settled(self, address):
        """Send the same request until its first answer is recorded."""
        http = urllib3.PoolManager(retries=False)
        headers = {
            'idempotency-key': '"one"',
            'jujubefold-request-id': 'one',
        }

        def ask():
            url = f'http://{address}/confirm/1'
            answer = http.request('POST', url, headers=headers)
            if answer.status == 200:
                return answer
            reason = answer.headers['jujubefold-reason']
            self.assertEqual((409, 'key-running'), (answer.status, reason))
            return None

        return fleets.wait_for(ask, 'the first answer')


class TestOperators(FleetCase):
    size = 3
    served = 1

    def test_of_racing_patches_exactly_one_is_accepted(self):
        clients = [self.client_of(daemon) for daemon in self.daemons] * 3

        def submit(numbered):
            number, client = numbered
            patch = (
                '[{"op":"add","path":"/timeouts/race",'
                '"value":{"request":%d}}]' % (number + 1)
            )
            return porcelain.submit(client, 1, patch.encode(), f'p{number}')

        with concurrent.futures.ThreadPoolExecutor(9) as pool:
            results = list(pool.map(submit, enumerate(clients)))
        accepted = [r.ok for r in results if r.is_ok()]
        self.assertEqual([2], [version.number for version in accepted])
        for result in results:
            if result.is_error():
                self.assertEqual(2, result.error.head)
                self.assertEqual(('/timeouts/race',), result.error.clashes)
                self.assertEqual('did-not-run', result.error.ran)
        self.converged(2)
        self.assertEqual(2, len(porcelain.versions(self.client).ok))
