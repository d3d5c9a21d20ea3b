"""Adapter: the parts of a sidecar that depend on this platform."""

from jujubefold.platform import announcements
from jujubefold.platform import configuration
from jujubefold.platform import headers
from jujubefold.platform import rollouts
from jujubefold.platform import store
from jujubefold.sidecar import daemon
from jujubefold.sidecar import rolloutcontroller

PLATFORM = daemon.Platform(
    names=headers.NAMES,
    configuration_table=configuration.TABLE,
    configuration_key=configuration.KEY,
    decode=configuration.Decoder().decode,
    new_feed=store.PlatformRowFeed,
    new_announcements=announcements.AnnouncementHandler,
    new_readiness=announcements.readiness,
    new_metrics=announcements.metrics,
    rollouts=rollouts,
    new_rollout_controller=rolloutcontroller.Controller,
)
