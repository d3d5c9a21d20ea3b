"""Console program that runs a sidecar on the platform."""

import gc
import os
import signal
import sys

from jujubefold.sidecar import earlylistener

SETTINGS_VARIABLE = 'JUJUBEFOLD_SETTINGS'
SETTINGS_PATH = '/etc/jujubefold/settings.yaml'


def main():
    """Run the sidecar until SIGTERM or SIGINT."""
    # SIGHUP would end a process that has no handler for it yet. Most of the
    # start is spent on the imports below; the settings are read again after
    # it.
    signal.signal(signal.SIGHUP, signal.SIG_IGN)
    # Imports allocate much and free little; `daemon.serve` enables it again.
    gc.disable()
    path = os.environ.get(SETTINGS_VARIABLE, SETTINGS_PATH)
    listeners = earlylistener.listen(path)
    import asyncio

    from jujubefold.platform import adapter
    from jujubefold.sidecar import daemon

    sys.exit(asyncio.run(daemon.serve(path, adapter.PLATFORM, listeners)))


if __name__ == '__main__':
    main()
