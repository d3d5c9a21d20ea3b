"""Departures: record of upstreams that left, kept across daemon restarts.

Once a daemon has acknowledged an upstream's departure, it must send it no
more requests, even if the daemon crashes and then receives a late
announcement that the upstream is ready. So each departure is written to the
platform before it is acknowledged.
"""

import asyncio

import expression
import msgspec

from jujubefold import errors

TABLE = 'jujubefold-departures'
# Seconds after which a departure is acknowledged even if it could not be
# written: the upstream waits a few seconds for the acknowledgement at most.
WRITE_TIMEOUT_S = 0.7
# Seconds for which a starting daemon tries to read earlier departures.
READ_TIMEOUT_S = 1.0
RETRY_INTERVAL_S = 0.1
# The same for departures that the platform lost; all daemons may try.
RESTORE_INTERVAL_S = 0.5
# Departures kept in the row of a VM.
MAX_DEPARTURES = 8

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(dict[str, int])


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
        self._loaded = bootstrap

    async def load(self):
        """Read the recorded departures.

        Returns:
            Start in Unix milliseconds of each upstream that left, by id;
            None if the platform could not be read.
        """
        deadline = self._clock.monotonic() + READ_TIMEOUT_S
        while not self._loaded:
            result = await self._feed.get(TABLE, self._vm)
            if result.is_ok():
                self._merge(result.ok.rows)
                self._event_log.record(
                    'departures.read', upstreams=sorted(self._departed)
                )
                break
            if self._clock.monotonic() >= deadline:
                self._event_log.record(
                    'departures.unknown', detail=result.error.reason
                )
                return None
            await asyncio.sleep(RETRY_INTERVAL_S)
        return dict(self._departed)

    async def record(self, id_, started_ms):
        """Write a departure; return whether it was written in time.

        The row is read first if it has not been, so that departures from
        before this start of the daemon stay in it.

        Args:
            id_: Id of the upstream.
            started_ms: Unix milliseconds of its start.
        """
        self._departed[id_] = started_ms
        self._drop_oldest()
        deadline = self._clock.monotonic() + WRITE_TIMEOUT_S
        while True:
            left = deadline - self._clock.monotonic()
            result = await self._put(max(0.0, left))
            if result.is_ok():
                return True
            if self._clock.monotonic() + RETRY_INTERVAL_S >= deadline:
                self._event_log.record(
                    'departures.unwritten',
                    upstream=id_,
                    detail=result.error.reason,
                )
                return False
            await asyncio.sleep(RETRY_INTERVAL_S)

    async def restore(self):
        """Write the departures again if the platform has lost any."""
        while self._departed:
            found = await self._feed.get(TABLE, self._vm)
            if found.is_ok():
                kept = self._decode(found.ok.rows)
                if self._departed.items() <= kept.items():
                    return
                result = await self._feed.put(
                    TABLE, self._vm, _encoder.encode(self._departed)
                )
                if result.is_ok():
                    self._event_log.record('departures.restored')
                    return
            await asyncio.sleep(RESTORE_INTERVAL_S)

    async def _put(self, timeout):
        try:
            async with asyncio.timeout(timeout):
                if not self._loaded:
                    found = await self._feed.get(TABLE, self._vm)
                    if found.is_error():
                        return found
                    self._merge(found.ok.rows)
                return await self._feed.put(
                    TABLE, self._vm, _encoder.encode(self._departed)
                )
        except TimeoutError:
            return expression.Error(
                errors.StoreOutcomeUnknown(
                    'the platform did not answer in time'
                )
            )

    def _merge(self, rows):
        """Add the departures of a row to those recorded meanwhile."""
        self._loaded = True
        self._departed = {**self._decode(rows), **self._departed}
        self._drop_oldest()

    def _decode(self, rows):
        """Return the departures in at most one row."""
        for row in rows:
            try:
                return _decoder.decode(row.value)
            except (msgspec.DecodeError, UnicodeError) as error:
                self._event_log.record('departures.invalid', detail=str(error))
        return {}

    def _drop_oldest(self):
        while len(self._departed) > MAX_DEPARTURES:
            del self._departed[next(iter(self._departed))]
