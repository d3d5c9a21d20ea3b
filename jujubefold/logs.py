"""Logging of JSON lines to standard error."""

import sys

import loguru
import msgspec

logger = loguru.logger


def configure(level, vm, incarnation, stream=None):
    """Write log records as JSON lines to a stream.

    Args:
        level: Lowest level that is logged, such as `INFO`.
        vm: VM name put on every line.
        incarnation: Incarnation put on every line.
        stream: Text stream; None for standard error.
    """
    target = stream or sys.stderr
    logger.remove()
    logger.configure(extra={'vm': vm, 'incarnation': incarnation})
    logger.add(
        lambda message: _write_line(target, message.record),
        level=level,
        format='{message}',
    )


def log_event(recorded):
    """Log an event of the time line.

    Args:
        recorded: An `events.RecordedEvent`.
    """
    fields = {
        'hlc': str(recorded.at),
        'version': recorded.event.version,
        'request': recorded.event.request,
        'patch': recorded.event.patch,
    }
    present = {
        key: value for key, value in fields.items() if value is not None
    }
    logger.bind(event=recorded.event.name, **present).info(
        '{}', recorded.event.detail
    )


def _write_line(stream, record):
    line = {
        'time': record['time'].isoformat(),
        'level': record['level'].name,
        'message': record['message'],
        **record['extra'],
    }
    if record['exception'] is not None:
        line['exception'] = repr(record['exception'].value)
    stream.write(msgspec.json.encode(line, enc_hook=str).decode() + '\n')
    stream.flush()
