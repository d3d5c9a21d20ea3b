"""Runs the stand-in platform as a separate process."""

import contextlib
import json
import subprocess
import sys


@contextlib.contextmanager
def run():
    """Run a stand-in platform, and yield the addresses that it prints.

    Yields:
        Decoded JSON object of its first output line.
    """
    process = subprocess.Popen(
        [sys.executable, '-m', 'jujubefold.standin'], stdout=subprocess.PIPE
    )
    try:
        yield json.loads(process.stdout.readline())
    finally:
        process.terminate()
        process.wait()
        process.stdout.close()
