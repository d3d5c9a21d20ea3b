"""Tests of the start of the sidecar's process."""

import asyncio
import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time

import testtools

from jujubefold.sidecar import settingswatcher
from soak import testbed as testbeds
from tests import sidecars

ROOT = pathlib.Path(__file__).parents[1]


def settings_text(grace=6.0):
    names = ('callers', 'peers', 'readiness', 'announcements', 'metrics')
    addresses = {
        name: f'{sidecars.LOOPBACK}:{sidecars.free_port()}' for name in names
    }
    return testbeds.SETTINGS.format(
        vm='vm-1',
        failure_domain='a',
        advertised=addresses['peers'],
        upstream='127.0.0.1:1',
        store='127.0.0.1:1',
        drain=2.0,
        grace=grace,
        **addresses,
    )


def survives_hangup(pid):
    """Return whether a process ignores or handles SIGHUP."""
    for line in pathlib.Path(f'/proc/{pid}/status').read_text().splitlines():
        name, _, value = line.partition(':')
        if name in ('SigIgn', 'SigCgt') and int(value, 16) & 1:
            return True
    return False


class TestStart(testtools.TestCase):
    def test_reload_requested_during_the_start_does_not_end_it(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, 'settings.toml')
            path.write_text(settings_text())
            process = subprocess.Popen(
                [sys.executable, '-m', 'jujubefold.platform'],
                cwd=ROOT,
                env={**os.environ, 'JUJUBEFOLD_SETTINGS': str(path)},
                stdout=subprocess.PIPE,
            )
            self.addCleanup(process.stdout.close)
            self.addCleanup(process.wait)
            self.addCleanup(process.kill)
            deadline = time.monotonic() + 30.0
            while not survives_hangup(process.pid):
                self.assertLess(time.monotonic(), deadline)
                time.sleep(0.002)
            # The signal arrives before the program has started to serve.
            os.set_blocking(process.stdout.fileno(), False)
            self.assertIsNone(process.stdout.read())
            process.send_signal(signal.SIGHUP)
            os.set_blocking(process.stdout.fileno(), True)
            self.assertIn(b'daemon.start', process.stdout.readline())

    def test_change_of_settings_during_the_start_is_applied(self):
        async def scenario():
            with tempfile.TemporaryDirectory() as folder:
                path = pathlib.Path(folder, 'settings.toml')
                path.write_text(settings_text())
                watcher = settingswatcher.SettingsWatcher(path)
                path.write_text(settings_text(grace=12.25))
                applied = []
                task = asyncio.ensure_future(watcher.run(applied.append))
                await sidecars.wait_until(lambda: applied, 2.0)
                task.cancel()
                self.assertEqual(12.25, applied[0].ok.stop.grace)

        sidecars.run_coroutine(scenario())
