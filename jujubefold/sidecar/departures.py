"""Departures: upstreams that left, remembered across starts of the daemon.

A daemon that told an upstream that it may leave is bound by that, also
after a crash, when a late word of the upstream may say that it is ready.
What was told is written to the platform before it is told.
"""

import asyncio

import expression
import msgspec

from jujubefold import errors

TABLE = 'jujubefold-departures'
# Seconds that the platform may take before an upstream is told all the
# same: it waits a few seconds for that at most.
WRITE_S = 0.7
# Seconds in which a daemon that starts tries to read what it had told.
RECALL_S = 1.0
PAUSE_S = 0.1
# Departures remembered for a VM.
KEPT = 8

_encoder = msgspec.json.Encoder()
_decoder = msgspec.json.Decoder(dict[str, int])


class Departures:
    """What one daemon has told its upstreams.

    Args:
        feed: A `rowfeed.RowFeed`.
        vm: Name of this VM.
        clock: A `clock.Clock`.
        event_log: An `eventlog.EventLog`.
    """

    def __init__(self, feed, vm, clock, event_log):
        self._feed = feed
        self._vm = vm
        self._clock = clock
        self._event_log = event_log
        self._left = {}

    async def load(self):
        """Return the start of each upstream that left, by id, or None.

        None means that the platform could not be asked.
        """
        ends = self._clock.monotonic() + RECALL_S
        while True:
            result = await self._feed.get(TABLE, self._vm)
            if result.is_ok():
                return self._take(result.ok)
            if self._clock.monotonic() >= ends:
                self._event_log.record(
                    'departures.unknown', detail=result.error.reason
                )
                return None
            await asyncio.sleep(PAUSE_S)

    async def record(self, name, born):
        """Write that an upstream leaves; return whether it is written.

        Args:
            name: Its id.
            born: Its start.
        """
        self._left[name] = born
        while len(self._left) > KEPT:
            del self._left[next(iter(self._left))]
        ends = self._clock.monotonic() + WRITE_S
        while True:
            left = ends - self._clock.monotonic()
            result = await self._put(max(0.0, left))
            if result.is_ok():
                return True
            if self._clock.monotonic() + PAUSE_S >= ends:
                self._event_log.record(
                    'departures.unwritten',
                    upstream=name,
                    detail=result.error.reason,
                )
                return False
            await asyncio.sleep(PAUSE_S)

    async def _put(self, seconds):
        try:
            async with asyncio.timeout(seconds):
                return await self._feed.put(
                    TABLE, self._vm, _encoder.encode(self._left)
                )
        except TimeoutError:
            return expression.Error(
                errors.StoreOutcomeUnknown('no answer in time')
            )

    def _take(self, value):
        if value is not None:
            try:
                self._left = _decoder.decode(value)
            except (msgspec.DecodeError, UnicodeError) as error:
                self._event_log.record('departures.invalid', detail=str(error))
        return dict(self._left)
