"""Adapter: the parts of a sidecar that depend on this platform.

What only rollouts need is imported once the settings have them. After a power
loss nothing is served until all imports are done.
"""

from jujubefold.platform import announcements
from jujubefold.platform import configuration
from jujubefold.platform import headers
from jujubefold.platform import store
from jujubefold.sidecar import daemon


def _load_rollout_rows():
    from jujubefold.platform import rollouts

    return rollouts


def _new_rollout_controller(*args):
    from jujubefold.sidecar import rolloutcontroller

    return rolloutcontroller.Controller(*args)


PLATFORM = daemon.Platform(
    names=headers.NAMES,
    configuration_table=configuration.TABLE,
    configuration_key=configuration.KEY,
    decode=configuration.Decoder().decode,
    new_feed=store.PlatformRowFeed,
    new_announcements=announcements.AnnouncementHandler,
    new_readiness=announcements.readiness,
    new_metrics=announcements.metrics,
    load_rollout_rows=_load_rollout_rows,
    new_rollout_controller=_new_rollout_controller,
)
