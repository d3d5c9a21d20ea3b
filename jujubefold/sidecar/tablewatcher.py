"""TableWatcher: keeps up with one table of the platform, whatever it does."""

import asyncio
import dataclasses

from jujubefold import errors
from jujubefold.sidecar import rowfeed

MIN_PAUSE_S = 0.1
# Seconds between tries while the platform is away; its return is to be
# noticed within about two.
MAX_PAUSE_S = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class PollIntervals:
    """How often a table is read.

    Args:
        rest: Seconds between two reads of changes at first, so that changes
            which come close together cost one call.
        most_rest: Seconds that a rest grows to, doubling each time.
        wait: Seconds for which a read waits for changes. A platform that
            takes calls and never answers them is only found out then.
    """

    rest: float
    most_rest: float
    wait: float


class TableWatcher:
    """Follows a table.

    Args:
        feed: A `rowfeed.RowFeed`.
        table: Its name.
        whole: Called with all rows, after a start or a gap.
        changed: Called with rows that changed.
        pace: A `PollIntervals`.
        state: Called with whether the table can be followed, on a change.
        rng: A `random.Random`.
        event_log: An `eventlog.EventLog`.
    """

    def __init__(
        self, feed, table, whole, changed, pace, state, rng, event_log
    ):
        self._feed = feed
        self._table = table
        self._whole = whole
        self._changed = changed
        self._pace = pace
        self._state = state
        self._rng = rng
        self._event_log = event_log
        self._version = None
        self._failing = False

    async def run(self):
        """Follow until cancelled."""
        pause = MIN_PAUSE_S
        rest = self._pace.rest
        while True:
            result = await self._step()
            if result.is_ok():
                pause = MIN_PAUSE_S
                self._regained()
                await asyncio.sleep(rest)
                rest = min(self._pace.most_rest, 2 * rest)
                continue
            rest = self._pace.rest
            self._lost(result.error)
            await asyncio.sleep(pause * self._rng.uniform(0.5, 1.0))
            pause = min(MAX_PAUSE_S, pause * 2)

    async def _step(self):
        if self._version is None:
            result = await self._feed.read(self._table)
            take = self._whole
        else:
            result = await self._feed.changes(
                self._table, self._version, self._pace.wait
            )
            take = self._changed
        if result.is_ok():
            self._version = result.ok.version
            if result.ok.rows or take is self._whole:
                take(result.ok.rows)
        elif isinstance(result.error, rowfeed.HistoryCompacted):
            self._version = None
        return result

    def _lost(self, failure):
        if isinstance(failure, errors.StoreNotRun) and not self._failing:
            self._failing = True
            self._state(False)
            self._event_log.record(
                'store.lost', table=self._table, detail=failure.reason
            )
        elif isinstance(failure, rowfeed.HistoryCompacted):
            self._event_log.record('store.history_gone', table=self._table)

    def _regained(self):
        if self._failing:
            self._failing = False
            self._state(True)
            self._event_log.record('store.regained', table=self._table)
