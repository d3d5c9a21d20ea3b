"""Event log: rate-limited JSON log lines, written without blocking."""

import collections
import os

from jujubefold import logs

# Rate limit and burst of log lines. A line costs some tens of microseconds,
# so that the log stays below one percent of a core.
LINES_PER_S = 150.0
BURST_LINES = 400.0
# Lines of the burst reserved for events that are not about one request, and
# for those together with failed requests, which operators look up later.
RESERVED_FOR_EVENTS_LINES = 60.0
RESERVED_FOR_FAILURES_LINES = 250.0
# Maximum bytes buffered for the reader; further lines are dropped.
BUFFER_BYTES = 1024 * 1024


class NonBlockingOutput:
    """A text stream to a file descriptor that drops lines instead of blocking.

    Args:
        descriptor: Open file descriptor; set to non-blocking mode.

    Attributes:
        dropped: Number of lines dropped since `EventLog.flush` reset it.
    """

    def __init__(self, descriptor):
        self._descriptor = descriptor
        self._buffer = collections.deque()
        self._buffered_bytes = 0
        self.dropped = 0
        os.set_blocking(descriptor, False)

    def write(self, text):
        """Buffer one line, or drop it if the buffer is full."""
        data = text.encode()
        if self._buffered_bytes + len(data) > BUFFER_BYTES:
            self.dropped += 1
            return
        self._buffer.append(data)
        self._buffered_bytes += len(data)

    def flush(self):
        """Do nothing; `drain` writes the buffered lines in one call."""

    def drain(self):
        """Write as much of the buffer as is possible without blocking."""
        if not self._buffer:
            return
        data = b''.join(self._buffer)
        self._buffer.clear()
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader is gone, as with EPIPE; its lines count as dropped.
            self.dropped += data.count(b'\n')
            self._buffered_bytes = 0
            return
        unwritten = data[written:]
        self._buffered_bytes = len(unwritten)
        if unwritten:
            self._buffer.append(unwritten)


class EventLog:
    """Writes events as log lines, limited by a token bucket.

    Args:
        clock: A `clock.Clock`.
        output: The `NonBlockingOutput` that log lines are written to.
    """

    def __init__(self, clock, output):
        self._clock = clock
        self._output = output
        self._available_lines = BURST_LINES
        self._refilled_at = clock.monotonic()
        self._suppressed = 0

    def configure(self, level, vm, incarnation):
        """Write lines of a level and above to the output.

        Args:
            level: Name of the lowest level.
            vm: Name of this VM, for each line.
            incarnation: Incarnation of the daemon, for each line.
        """
        logs.configure(level, vm, incarnation, self._output)

    def record(self, event, **fields):
        """Log an event that is not about a single request.

        Args:
            event: Name of the event.
            fields: Fields of the line.
        """
        if self._take_line(0.0):
            logs.logger.bind(event=event, **fields).info('')

    def record_request(self, event, succeeded=False, **fields):
        """Log an event about one request; suppressed first under load.

        Args:
            event: Name of the event.
            succeeded: Whether the request succeeded; such lines are
                suppressed before those of failed requests.
            fields: Fields of the line.
        """
        reserved = (
            RESERVED_FOR_FAILURES_LINES
            if succeeded
            else RESERVED_FOR_EVENTS_LINES
        )
        if self._take_line(reserved):
            logs.logger.bind(event=event, **fields).info('')

    def flush(self):
        """Write buffered lines and log how many were suppressed or dropped."""
        if (self._suppressed or self._output.dropped) and self._take_line(
            RESERVED_FOR_EVENTS_LINES
        ):
            suppressed, self._suppressed = self._suppressed, 0
            dropped, self._output.dropped = self._output.dropped, 0
            logs.logger.bind(
                event='log.suppressed', lines=suppressed, dropped=dropped
            ).info('')
        self._output.drain()

    def _take_line(self, reserved):
        """Take a token unless that leaves less than the reserved number."""
        now = self._clock.monotonic()
        self._available_lines = min(
            BURST_LINES,
            self._available_lines + (now - self._refilled_at) * LINES_PER_S,
        )
        self._refilled_at = now
        if self._available_lines < 1.0 + reserved:
            self._suppressed += 1
            return False
        self._available_lines -= 1.0
        return True
