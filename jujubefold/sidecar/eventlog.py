"""Journal: bounded JSON log lines that never make the daemon wait."""

import collections
import os

from jujubefold import logs

# Lines a second, and how many may come at once: a line costs some tens of
# microseconds, so that the log stays below one percent of a core.
LINES_PER_S = 150.0
BURST_LINES = 400.0
# Lines kept free for what is not about a single request, and for requests
# that did not end well: somebody may ask about those.
RESERVED_LINES = 60.0
RESERVED_FOR_FAILED_LINES = 250.0
# Bytes that wait for a reader before lines are dropped.
BUFFER_BYTES = 1024 * 1024


class NonBlockingOutput:
    """A text stream over a file descriptor that drops what doesn't fit.

    Args:
        descriptor: Open file descriptor, made non-blocking here.
    """

    def __init__(self, descriptor):
        self._descriptor = descriptor
        self._waiting = collections.deque()
        self._bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text):
        """Take one line."""
        data = text.encode()
        if self._bytes + len(data) > BUFFER_BYTES:
            self.dropped += 1
            return
        self._waiting.append(data)
        self._bytes += len(data)

    def flush(self):
        """Do nothing: `drain` writes many lines at once."""

    def drain(self):
        """Write as much as the reader takes without waiting."""
        if not self._waiting:
            return
        data = b''.join(self._waiting)
        self._waiting.clear()
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads any more; lines are counted as dropped.
            self.dropped += data.count(b'\n')
            self._bytes = 0
            return
        rest = data[written:]
        self._bytes = len(rest)
        if rest:
            self._waiting.append(rest)


class EventLog:
    """Writes events as log lines, within a bound.

    Args:
        clock: A `clock.Clock`.
        output: An `Output`.
    """

    def __init__(self, clock, output):
        self._clock = clock
        self._output = output
        self._lines = BURST_LINES
        self._at = clock.monotonic()
        self._suppressed = 0

    def record(self, event, **fields):
        """Log what changes what this process believes."""
        if self._has_room(0.0):
            logs.logger.bind(event=event, **fields).info('')

    def record_request(self, event, succeeded=False, **fields):
        """Log a decision on one request; the first to go under load.

        Args:
            event: Name of the event.
            well: Whether the request ended well; such lines go before all.
            fields: Of the line.
        """
        reserved = RESERVED_FOR_FAILED_LINES if succeeded else RESERVED_LINES
        if self._has_room(reserved):
            logs.logger.bind(event=event, **fields).info('')

    def flush(self):
        """Hand lines to the reader, and say what was left out."""
        if (self._suppressed or self._output.dropped) and self._has_room(
            RESERVED_LINES
        ):
            left_out, self._suppressed = self._suppressed, 0
            dropped, self._output.dropped = self._output.dropped, 0
            logs.logger.bind(
                event='log.suppressed', lines=left_out, dropped=dropped
            ).info('')
        self._output.drain()

    def _has_room(self, reserved):
        now = self._clock.monotonic()
        self._lines = min(
            BURST_LINES, self._lines + (now - self._at) * LINES_PER_S
        )
        self._at = now
        if self._lines < 1.0 + reserved:
            self._suppressed += 1
            return False
        self._lines -= 1.0
        return True
