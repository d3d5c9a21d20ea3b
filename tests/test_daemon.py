"""Tests of daemon processes on loopback, from a patch to a call."""

import pathlib
import signal
import tempfile

import testtools
import urllib3

from bench import fleets
from bench import processes
from jujubefold import adminclient
from jujubefold import porcelain

DECLARATIONS = """
schema = 1

[services.pickups]

[groups.pickups]
service = "pickups"

[routes.pickups]
path = "/pickups"
targets = [{ group = "pickups" }]
"""


def client_of(daemon):
    """Return an admin client of a daemon process."""
    return adminclient.AdminClient(daemon.addresses['admin_address'])


def call(http, daemon, path, method='GET', **options):
    """Send a request to the caller port of a daemon."""
    address = daemon.addresses['caller_address']
    return http.request(
        method, f'http://{address}{path}', retries=False, **options
    )


class TestDaemon(testtools.TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = fleets.Fleet()
        self.addCleanup(self.fleet.close)
        folder = self.new_folder()
        self.declarations = folder / 'mesh.toml'
        self.declarations.write_text(DECLARATIONS)
        self.http = urllib3.PoolManager()

    def new_folder(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        return pathlib.Path(folder.name)

    def test_patch_is_in_force_on_all_daemons_and_calls_succeed(self):
        daemons = [self.fleet.add_daemon() for _ in range(3)]
        self.fleet.add_upstream(daemons[0], 'pickups')
        client = client_of(daemons[1])
        fleets.wait_for(
            lambda: porcelain.convergence(client).ok.total == 3, 'members'
        )
        accepted = porcelain.apply(client, self.declarations, 0, 'first')
        self.assertEqual(1, accepted.ok.number)
        progress = list(porcelain.watch(client, 1, fleets.WAIT_S))
        self.assertTrue(progress[-1].ok.done)
        for daemon in daemons:
            answer = fleets.wait_for(
                lambda daemon=daemon: self._served(daemon),
                'an answer with status 200',
            )
            self.assertEqual('ran', answer.headers['jujubefold-outcome'])
            self.assertEqual('1', answer.headers['jujubefold-version'])
            self.assertIn(
                'jujubefold_convergence_seconds_count 1',
                processes.metrics(daemon),
            )
        self._check_refusals(client)
        self._check_timeline(client)
        self.assertEqual(0, daemons[2].stop(signal.SIGTERM))

    def _served(self, daemon):
        answer = call(self.http, daemon, '/pickups/7')
        return answer if answer.status == 200 else None

    def _check_refusals(self, client):
        clash = porcelain.submit(
            client, 0, b'[{"op":"remove","path":"/routes/pickups"}]', 'late'
        )
        self.assertEqual(1, clash.error.head)
        self.assertEqual('did-not-run', clash.error.ran)
        dangling = porcelain.submit(
            client, 1, b'[{"op":"remove","path":"/services/pickups"}]', 'bad'
        )
        self.assertEqual(400, dangling.error.status)
        self.assertEqual(1, len(porcelain.versions(client).ok))

    def _check_timeline(self, client):
        wanted = porcelain.timelines.Filter(patch='first')
        merged = porcelain.timeline(client, wanted).ok
        names = [stamped.event.name for stamped in merged.events]
        self.assertEqual('patch.submitted', names[0])
        self.assertEqual(3, names.count('version.in_force'))
        self.assertLess(
            names.index('patch.accepted'), names.index('version.in_force')
        )
