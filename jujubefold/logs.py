"""Logs: JSON lines on standard error."""

import sys

import loguru
import msgspec

logger = loguru.logger


def configure(level, vm, incarnation, stream=None):
    """Send all log records as JSON lines to a stream.

    Args:
        level: Least level logged, such as `INFO`.
        vm: VM name put on every line.
        incarnation: Incarnation put on every line.
        stream: Text stream; standard error by default.
    """
    target = stream or sys.stderr
    logger.remove()
    logger.configure(extra={'vm': vm, 'incarnation': incarnation})
    logger.add(
        lambda message: _write(target, message.record),
        level=level,
        format='{message}',
    )


def log_event(stamped):
    """Log an event of the time line.

    Args:
        stamped: An `events.RecordedEvent`.
    """
    fields = {
        'hlc': str(stamped.at),
        'version': stamped.event.version,
        'request': stamped.event.request,
        'patch': stamped.event.patch,
    }
    known = {key: value for key, value in fields.items() if value is not None}
    logger.bind(event=stamped.event.name, **known).info(
        '{}', stamped.event.detail
    )


def _write(stream, record):
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
