"""What a running daemon process costs: processor, memory, control bytes."""

import dataclasses
import os
import pathlib
import re

import urllib3

_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_CONTROL = re.compile(
    r'^jujubefold_control_bytes_total\{direction="(\w+)"\} (\S+)$', re.M
)
_http = urllib3.PoolManager(retries=urllib3.Retry(2), timeout=10.0)


@dataclasses.dataclass(frozen=True, slots=True)
class Usage:
    """A process's counters at one moment.

    Args:
        processor: Seconds of processor time since its start.
        resident: Bytes of resident memory.
        sent: Control bytes sent since its start.
        received: Control bytes received since its start.
    """

    processor: float
    resident: int
    sent: float
    received: float


def usage(daemon):
    """Return the `Usage` of a daemon's `fleets.Process`."""
    pid = daemon.popen.pid
    control = dict(_CONTROL.findall(metrics(daemon)))
    return Usage(
        processor=processor(pid),
        resident=_resident(pid),
        sent=float(control.get('sent', 0)),
        received=float(control.get('received', 0)),
    )


def metrics(daemon):
    """Return a daemon's metrics as text."""
    address = daemon.addresses['admin_address']
    return _http.request('GET', f'http://{address}/metrics').data.decode()


def processor(pid):
    """Return seconds of processor time that a process has used."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def _resident(pid):
    text = pathlib.Path(f'/proc/{pid}/statm').read_text()
    return int(text.split()[1]) * os.sysconf('SC_PAGE_SIZE')
