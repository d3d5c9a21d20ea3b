"""The stand-in platform as a process of its own."""

import contextlib
import json
import subprocess
import sys


@contextlib.contextmanager
def run():
    """Run a stand-in; yields what it printed about its addresses."""
    process = subprocess.Popen(
        [sys.executable, '-m', 'jujubefold.standin'], stdout=subprocess.PIPE
    )
    try:
        yield json.loads(process.stdout.readline())
    finally:
        process.terminate()
        process.wait()
        process.stdout.close()
