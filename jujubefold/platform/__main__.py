"""Console program that runs a sidecar on the platform."""

import asyncio
import os
import sys

from jujubefold.platform import announcements
from jujubefold.platform import configuration
from jujubefold.platform import headers
from jujubefold.platform import store
from jujubefold.sidecar import daemon

SETTINGS_VARIABLE = 'JUJUBEFOLD_SETTINGS'
SETTINGS_PATH = '/etc/jujubefold/settings.yaml'

PLATFORM = daemon.Platform(
    names=headers.NAMES,
    configuration_table=configuration.TABLE,
    configuration_key=configuration.KEY,
    decode=configuration.decode,
    new_feed=store.PlatformRowFeed,
    new_announcements=announcements.AnnouncementHandler,
    new_readiness=announcements.readiness,
    new_metrics=announcements.metrics,
)


def main():
    """Run the sidecar until SIGTERM or SIGINT."""
    path = os.environ.get(SETTINGS_VARIABLE, SETTINGS_PATH)
    sys.exit(asyncio.run(daemon.serve(path, PLATFORM)))


if __name__ == '__main__':
    main()
