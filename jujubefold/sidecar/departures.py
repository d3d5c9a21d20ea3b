"""Departures: record of upstreams that left, kept across daemon restarts.

Once a daemon has acknowledged an upstream's departure, it must send it no
more requests, even if the daemon crashes and then receives a late
announcement that the upstream is ready. So each departure is written to the
platform before it is acknowledged or, if that takes too long, as soon as the
platform can be written to.
"""

import asyncio

import expression
import msgspec

from jujubefold import backgroundtasks
from jujubefold import decoding
from jujubefold import errors
from jujubefold.sidecar import rowfeed

TABLE = 'jujubefold-departures'
# Seconds after which a departure is acknowledged even if it could not be
# written: the upstream waits a few seconds for the acknowledgement at most.
WRITE_TIMEOUT_S = 0.7
# Seconds after which a starting daemon goes on without earlier departures, and
# between two attempts to read them after that.
READ_TIMEOUT_S = 1.0
LATE_READ_INTERVAL_S = 0.3
# Seconds between two attempts. A crash soon after the platform is back must
# not find a departure unwritten.
RETRY_INTERVAL_S = 0.1
# Seconds after which an attempt to write is given up.
ATTEMPT_TIMEOUT_S = 0.7
# Seconds between two attempts to restore departures that the platform lost;
# all daemons may try.
RESTORE_INTERVAL_S = 0.5
# Departures kept in the row of a VM.
MAX_DEPARTURES = 8

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(dict[str, decoding.Count])


class Departures:
    """Departures that the daemon of one VM has acknowledged.

    Args:
        feed: A `rowfeed.RowFeed`.
        vm: Name of this VM.
        clock: A `clock.Clock`.
        event_log: An `eventlog.EventLog`.
        bootstrap: Whether there are none yet.
    """

    def __init__(self, feed, vm, clock, event_log, bootstrap=False):
        self._feed = feed
        self._vm = vm
        self._clock = clock
        self._event_log = event_log
        self._departed = {}
        # What the platform's row is known to hold.
        self._written = {}
        self._loaded = bootstrap
        self._writer = None
        self._write_error = ''

    @property
    def unwritten(self):
        """Whether a departure is not known to be written."""
        return not self._departed.items() <= self._written.items()

    async def load(self):
        """Read the recorded departures.

        Returns:
            Start in Unix milliseconds of each upstream that left, by id;
            None if the platform could not be read.
        """
        deadline = self._clock.monotonic() + READ_TIMEOUT_S
        while not self._loaded:
            result = await self._read()
            if result.is_ok():
                break
            if self._clock.monotonic() >= deadline:
                self._event_log.record(
                    'departures.unknown', detail=result.error.reason
                )
                return None
            await asyncio.sleep(RETRY_INTERVAL_S)
        return dict(self._departed)

    async def load_late(self):
        """Read the recorded departures after `load` could not.

        Returns:
            As `load`, never None: it tries until they are read.
        """
        while not self._loaded:
            await asyncio.sleep(LATE_READ_INTERVAL_S)
            await self._read()
        return dict(self._departed)

    async def _read(self):
        result = await self._feed.get(TABLE, self._vm)
        if result.is_ok():
            self._merge(result.ok.rows)
            self._event_log.record(
                'departures.read', upstreams=sorted(self._departed)
            )
        return result

    async def record(self, id_, started_ms):
        """Write a departure; return whether it was written in time.

        If it was not, it is still written as soon as that is possible.

        Args:
            id_: Id of the upstream.
            started_ms: Unix milliseconds of its start.
        """
        self._departed[id_] = started_ms
        self._drop_oldest()
        if self._writer is None:
            self._writer = backgroundtasks.spawn(self._write())
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await asyncio.shield(self._writer)
        except TimeoutError:
            self._event_log.record(
                'departures.unwritten',
                upstream=id_,
                detail=self._write_error or 'no answer',
            )
            return False
        return True

    async def restore(self):
        """Write the departures again if the platform has lost any."""
        self._written = {}
        while self._departed:
            result = await self._write_missing()
            if result.is_ok():
                if result.ok:
                    self._event_log.record('departures.restored')
                return
            await asyncio.sleep(RESTORE_INTERVAL_S)

    async def _write(self):
        """Write the departures until the platform's row holds all of them."""
        started_at = self._clock.monotonic()
        try:
            while self.unwritten:
                result = await self._write_in_time()
                if result.is_error():
                    self._write_error = result.error.reason
                    await asyncio.sleep(RETRY_INTERVAL_S)
        finally:
            self._writer = None
        if self._clock.monotonic() - started_at > WRITE_TIMEOUT_S:
            self._event_log.record(
                'departures.written', upstreams=sorted(self._departed)
            )

    async def _write_in_time(self):
        try:
            async with asyncio.timeout(ATTEMPT_TIMEOUT_S):
                return await self._write_missing()
        except TimeoutError:
            return expression.Error(
                errors.StoreOutcomeUnknown(
                    'the platform did not answer in time'
                )
            )

    async def _write_missing(self):
        """Write the departures that the platform's row lacks.

        The row is read first, so that departures from before this start of
        the daemon stay in it, and written on the condition that it is still
        the same: a write without an answer may be carried out late, and must
        not replace a later one.

        Returns:
            `Ok` with whether it was written, or the `Error` of a call.
        """
        found = await self._feed.get(TABLE, self._vm)
        if found.is_error():
            return found
        rows = found.ok.rows
        self._merge(rows)
        departed = dict(self._departed)
        if departed.items() <= self._decode(rows).items():
            self._written = departed
            return expression.Ok(False)
        version = rows[0].version if rows else 0
        result = await self._feed.transact(
            [rowfeed.Condition(TABLE, self._vm, version)],
            [rowfeed.Put(TABLE, self._vm, _encoder.encode(departed))],
        )
        if result.is_ok():
            self._written = departed
        return result.map(lambda _: True)

    def _merge(self, rows):
        """Add the departures of a row to those recorded meanwhile."""
        self._loaded = True
        self._departed = {**self._decode(rows), **self._departed}
        self._drop_oldest()

    def _decode(self, rows):
        """Return the departures in at most one row."""
        for row in rows:
            found = decoding.decode(_decoder, row.value, TABLE)
            if found.is_ok():
                return found.ok
            self._event_log.record(
                'departures.invalid', detail=found.error.reason
            )
        return {}

    def _drop_oldest(self):
        while len(self._departed) > MAX_DEPARTURES:
            del self._departed[next(iter(self._departed))]
