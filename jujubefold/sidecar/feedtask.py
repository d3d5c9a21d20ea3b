"""FeedTask: follows a table of the platform while this daemon reads it."""

import asyncio

from jujubefold import backgroundtasks


class FeedTask:
    """Starts and stops the task of a `feedwatcher.FeedWatcher`.

    Args:
        fleet: The `fleet.Fleet`, which tells whether this daemon is a reader.
        versions: The `versions.Versions`.
        watcher: The `feedwatcher.FeedWatcher`.
        event_log: An `eventlog.EventLog`.
    """

    def __init__(self, fleet, versions, watcher, event_log):
        self._fleet = fleet
        self._versions = versions
        self._watcher = watcher
        self._event_log = event_log
        self._task = None

    @property
    def running(self):
        """Whether the table is followed now."""
        return self._task is not None

    @property
    def cursor(self):
        """The `rowfeed.Cursor` up to which changes were read."""
        return self._watcher.cursor

    def skip_to(self, cursor):
        """Do not read changes that were received in another way.

        Args:
            cursor: The `rowfeed.Cursor` up to which they were.
        """
        self._watcher.skip_to(cursor)

    def update(self, reads):
        """Start or stop following the table, and log the change.

        Args:
            reads: Whether this daemon should follow it.
        """
        if reads == self.running:
            return
        self._event_log.record(
            'reader.started' if reads else 'reader.stopped',
            table=self._watcher.table,
            is_reader=self._fleet.is_reader,
            reader_age=self._fleet.reader_age,
            version=self._versions.number,
        )
        if reads:
            self._task = backgroundtasks.spawn(self._watcher.run())
        else:
            self.cancel()

    def restart_if_confirmed(self):
        """Read again at once, unless the last read has yet to succeed."""
        if self.running and self._watcher.confirmed:
            self.cancel()
            self._task = backgroundtasks.spawn(self._watcher.run())

    def cancel_unless_current(self):
        """Stop, unless called by the task itself, until the next `update`."""
        if self._task is not asyncio.current_task():
            self.cancel()

    def cancel(self):
        """Stop following the table."""
        if self._task is not None:
            self._task.cancel()
            self._task = None
