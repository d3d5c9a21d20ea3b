"""FeedWatcher: follows one table of the platform's store across outages."""

import asyncio
import dataclasses

import expression

from jujubefold import backgroundtasks
from jujubefold import errors
from jujubefold.sidecar import rowfeed

MIN_RETRY_S = 0.1
# Longest delay between attempts while the store is unavailable. Its return
# must be noticed within about two seconds.
MAX_RETRY_S = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class PollIntervals:
    """How often a table is read.

    Args:
        initial: Seconds between the first two reads of changes. Changes that
            follow each other more closely cost one call.
        maximum: Upper bound in seconds; the interval doubles up to it.
        wait: Seconds for which a read waits for changes. A store that
            accepts calls and never answers is detected only when such a
            read times out.
    """

    initial: float
    maximum: float
    wait: float


class FeedWatcher:
    """Reads a table once in full and then its changes.

    Args:
        feed: A `rowfeed.RowFeed`.
        table: Table name.
        replace: Called with all rows, after the start and whenever the
            history of changes was lost.
        update: Called with the rows that changed.
        intervals: A `PollIntervals`.
        availability_changed: Called with whether the table can be read,
            each time that changes.
        rng: A `random.Random`.
        event_log: An `eventlog.EventLog`.

    Attributes:
        read_started: Called without arguments before each read is sent.
        read_ended: Called with the result of `read_started` when the read
            was answered and its rows were passed on.
    """

    def __init__(
        self,
        feed,
        table,
        replace,
        update,
        intervals,
        availability_changed,
        rng,
        event_log,
    ):
        self._feed = feed
        self._table = table
        self._replace = replace
        self._update = update
        self._intervals = intervals
        self._availability_changed = availability_changed
        self._rng = rng
        self._event_log = event_log
        self._cursor = None
        self._failing = False
        self._confirmed = False
        self.read_started = lambda: None
        self.read_ended = lambda started: None

    @property
    def table(self):
        """Name of the table that is followed."""
        return self._table

    @property
    def cursor(self):
        """The `rowfeed.Cursor` up to which changes were read."""
        return self._cursor or rowfeed.Cursor()

    @property
    def confirmed(self):
        """Whether the last read ended well, and the next one may wait long."""
        return self._confirmed

    def skip_to(self, cursor):
        """Do not read changes that were received in another way.

        Args:
            cursor: The `rowfeed.Cursor` up to which they were.
        """
        if self._cursor is not None:
            self._cursor = max(self._cursor, cursor)

    async def run(self):
        """Follow the table until cancelled."""
        retry_delay = MIN_RETRY_S
        interval = self._intervals.initial
        self._confirmed = False
        while True:
            result = await self._read_guarded()
            self._confirmed = result.is_ok()
            if result.is_ok():
                retry_delay = MIN_RETRY_S
                self._note_success()
                await asyncio.sleep(interval)
                interval = min(self._intervals.maximum, 2 * interval)
                continue
            interval = self._intervals.initial
            self._note_failure(result.error)
            await asyncio.sleep(retry_delay * self._rng.uniform(0.5, 1.0))
            retry_delay = min(MAX_RETRY_S, retry_delay * 2)

    async def _read_guarded(self):
        """Read once; an unexpected error counts as a failed read."""
        try:
            return await self.read_once()
        except Exception as error:
            backgroundtasks.report_exception(error, 'following a table')
            # Rows may not have been applied, so the table is read in full.
            self._cursor = None
            return expression.Error(errors.StoreNotRun(repr(error)))

    async def read_once(self):
        """Read the table in full, or what changed since the last read.

        Returns:
            `Ok(rowfeed.Rows)`, whose rows were passed on, or an error of the
                feed.
        """
        apply = self._update
        started = self.read_started()
        if self._cursor is not None:
            # The first call after a start or a failure waits for nothing: it
            # shows soon whether the store answers, and in which era.
            wait = self._intervals.wait if self._confirmed else 0.0
            result = await self._feed.changes(
                self._table, self._cursor.version, wait
            )
            if result.is_ok() and result.ok.era != self._cursor.era:
                # Changes since a version of another era may miss any row.
                self._cursor = None
        if self._cursor is None:
            started = self.read_started()
            result = await self._feed.read(self._table)
            apply = self._replace
        if result.is_ok():
            self._cursor = result.ok.cursor
            if result.ok.rows or apply is self._replace:
                apply(result.ok.rows)
            self.read_ended(started)
        elif isinstance(result.error, rowfeed.HistoryCompacted):
            self._cursor = None
        return result

    def _note_failure(self, failure):
        if isinstance(failure, errors.StoreNotRun) and not self._failing:
            self._failing = True
            self._availability_changed(False)
            self._event_log.record(
                'store.lost', table=self._table, detail=failure.reason
            )
        elif isinstance(failure, rowfeed.HistoryCompacted):
            self._event_log.record('store.history_gone', table=self._table)

    def _note_success(self):
        if self._failing:
            self._failing = False
            self._availability_changed(True)
            self._event_log.record('store.regained', table=self._table)
