"""Tests of the start of the sidecar's process."""

import asyncio
import os
import pathlib
import re
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

import testtools

from jujubefold.sidecar import earlylistener
from jujubefold.sidecar import options
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
    def start_process(self, path):
        """Start a daemon with a settings file."""
        process = subprocess.Popen(
            [sys.executable, '-m', 'jujubefold.platform'],
            cwd=ROOT,
            env={**os.environ, 'JUJUBEFOLD_SETTINGS': str(path)},
            stdout=subprocess.PIPE,
        )
        self.addCleanup(process.stdout.close)
        self.addCleanup(process.wait)
        self.addCleanup(process.kill)
        return process

    def test_callers_that_connect_during_the_start_are_answered(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, 'settings.toml')
            path.write_text(settings_text())
            callers = tomllib.loads(path.read_text())['listen']['callers']
            host, _, port = callers.rpartition(':')
            process = self.start_process(path)
            os.set_blocking(process.stdout.fileno(), False)
            deadline = time.monotonic() + 30.0
            caller = None
            while caller is None:
                # It must not go on between the two checks below.
                process.send_signal(signal.SIGSTOP)
                try:
                    caller = socket.create_connection((host, port), 10.0)
                    # The program has not started to serve.
                    self.assertIsNone(process.stdout.read())
                except OSError:
                    self.assertLess(time.monotonic(), deadline)
                process.send_signal(signal.SIGCONT)
                time.sleep(0.002)
            self.addCleanup(caller.close)
            caller.sendall(b'GET / HTTP/1.1\r\nHost: a\r\n\r\n')
            # It has no version yet.
            self.assertTrue(caller.recv(100).startswith(b'HTTP/1.1 503'))

    def test_listeners_are_opened_for_valid_addresses_only(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, 'settings.toml')
            self.assertEqual({}, earlylistener.listen(path))
            for text in ('[listen', '[daemon]', 'listen = 1', '[listen]'):
                path.write_text(text)
                self.assertEqual({}, earlylistener.listen(path), text)
            path.write_bytes(b'\xff')
            self.assertEqual({}, earlylistener.listen(path))
            valid = f'{sidecars.LOOPBACK}:{sidecars.free_port()}'
            for bad in ('1', '"a"', '"127.0.0.1:x"', '"127.0.0.1:70000"'):
                path.write_text(
                    f'[listen]\ncallers = {bad}\npeers = "{valid}"\n'
                    f'announcements = "{valid}"'
                )
                # Only one of those at the same address can be opened.
                listeners = earlylistener.listen(path)
                self.assertEqual(['peers'], list(listeners), bad)
                listeners['peers'].close()

    def test_listener_at_a_former_address_is_closed(self):
        text = settings_text()
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, 'settings.toml')
            path.write_text(text)
            listeners = earlylistener.listen(path)
            self.assertEqual(set(earlylistener.NAMES), set(listeners))
            changed = re.sub('callers = ".*"', 'callers = "127.0.0.1:1"', text)
            path.write_text(changed)
            addresses = options.load(path).ok.listen
        kept = earlylistener.keep_matching(listeners, addresses)
        self.assertEqual({'peers', 'announcements'}, set(kept))
        self.assertEqual(-1, listeners['callers'].fileno())
        for listener in kept.values():
            listener.close()

    def test_reload_requested_during_the_start_does_not_end_it(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder, 'settings.toml')
            path.write_text(settings_text())
            process = self.start_process(path)
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
