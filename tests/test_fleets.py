"""Tests of starting the processes of a benchmark fleet."""

import subprocess

import testtools

from bench import fleets


class Interrupted(BaseException):
    """Interrupts the start of a process, as a test timeout does."""


class TestProcess(testtools.TestCase):
    def test_interrupted_start_leaves_no_process(self):
        started = []

        class Popen(subprocess.Popen):
            def __init__(self, *args, **kwargs):
                super().__init__(*args, **kwargs)
                started.append(self)

        def interrupt(line):
            raise Interrupted

        self.patch(fleets.subprocess, 'Popen', Popen)
        self.patch(fleets.json, 'loads', interrupt)
        self.assertRaises(Interrupted, fleets.Process, 'standin')
        (popen,) = started
        self.addCleanup(popen.stdout.close)
        self.addCleanup(popen.kill)
        self.assertIsNotNone(popen.poll())
