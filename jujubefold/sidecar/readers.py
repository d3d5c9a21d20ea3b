"""Readers: decides which daemons read versions and members themselves.

A few daemons of each failure domain, the readers, follow the platform's
tables and supply the others. Any daemon that hears from no reader, or lacks
what a reader has, reads by itself.
"""

import dataclasses
import math

from jujubefold.sidecar import rowfeed

# Seconds between two announcements of a reader that it is still following the
# platform, and seconds without one after which a daemon follows it itself.
ANNOUNCE_INTERVAL_S = 0.7
READER_TIMEOUT_S = 1.6
# Seconds for which a daemon may lack changes of members that a reader has
# before it reads them itself.
MEMBERS_BEHIND_S = 1.0
# Seconds after the first start of the whole fleet at which all members have
# written their rows, at which they are linked and so know the readers, and at
# which a daemon without a version stops waiting for them.
BOOTSTRAP_MEMBERS_S = 0.6
BOOTSTRAP_READERS_S = 1.1
BOOTSTRAP_TIMEOUT_S = 2.5


@dataclasses.dataclass(slots=True)
class ReaderTable:
    """What a daemon knows of the readers of its failure domain.

    Times are in monotonic seconds.

    Args:
        started_at: When this daemon started.
        bootstrap: Whether the whole fleet starts for the first time.
        versions_seen_at: When a reader last announced that it follows the
            versions.
        members_seen_at: The same for the members.
        members_behind_since: Since when a reader knows changes of members
            that this daemon does not; None if it knows all.
        members_version: `rowfeed.Cursor` up to which this daemon knows the
            members.
        members_changed: That of the last change among those.
    """

    started_at: float
    bootstrap: bool = False
    versions_seen_at: float = -math.inf
    members_seen_at: float = -math.inf
    members_behind_since: float | None = None
    members_version: rowfeed.Cursor = rowfeed.Cursor()
    members_changed: rowfeed.Cursor = rowfeed.Cursor()


def record_reader(table, members_changed, now):
    """Note the announcement of a reader.

    Args:
        table: A `ReaderTable`.
        members_changed: `rowfeed.Cursor` of the last change of members that
            the reader knows; of version 0 if it does not follow them.
        now: Monotonic seconds.
    """
    table.versions_seen_at = now
    if not members_changed.version:
        return
    table.members_seen_at = now
    if members_changed <= table.members_version:
        table.members_behind_since = None
    elif table.members_behind_since is None:
        table.members_behind_since = now


def record_members(table, base, version, changed):
    """Note that changes of members were applied.

    Args:
        table: A `ReaderTable`.
        base: `rowfeed.Cursor` after which they were made.
        version: `rowfeed.Cursor` up to which they are complete.
        changed: `rowfeed.Cursor` of the last one.
    """
    table.members_changed = max(table.members_changed, changed)
    if base <= table.members_version:
        table.members_version = max(table.members_version, version)
        table.members_behind_since = None


def should_read_versions(table, has_version, is_reader, now):
    """Return whether to read versions from the platform.

    Args:
        table: A `ReaderTable`.
        has_version: Whether a version is in force at this daemon.
        is_reader: Whether it is a reader of its failure domain.
        now: Monotonic seconds.
    """
    if has_version:
        return is_reader or now - table.versions_seen_at > READER_TIMEOUT_S
    elapsed = now - table.started_at
    return (
        not table.bootstrap
        or elapsed > BOOTSTRAP_TIMEOUT_S
        or (is_reader and elapsed > BOOTSTRAP_READERS_S)
    )


def should_read_members(table, has_members, is_reader, now):
    """Return whether to read members from the platform.

    Args:
        table: A `ReaderTable`.
        has_members: Whether all members have been read once.
        is_reader: As in `should_read_versions`.
        now: Monotonic seconds.
    """
    if not has_members:
        elapsed = now - table.started_at
        return not table.bootstrap or elapsed > BOOTSTRAP_MEMBERS_S
    if is_reader or now - table.members_seen_at > READER_TIMEOUT_S:
        return True
    behind = table.members_behind_since
    return behind is not None and now - behind > MEMBERS_BEHIND_S
