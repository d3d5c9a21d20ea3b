"""Resource usage of daemon processes: CPU, memory and control bytes."""

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
    """Resource counters of a daemon process at one moment.

    Args:
        cpu_seconds: Seconds of CPU time since the start.
        resident: Bytes of resident memory.
        sent: Control bytes sent since the start.
        received: Control bytes received since the start.
    """

    cpu_seconds: float
    resident: int
    sent: float
    received: float


def usage(daemon):
    """Return the `Usage` of a daemon's `fleets.Process`."""
    pid = daemon.popen.pid
    control = dict(_CONTROL.findall(metrics(daemon)))
    return Usage(
        cpu_seconds=cpu_seconds(pid),
        resident=_resident(pid),
        sent=float(control.get('sent', 0)),
        received=float(control.get('received', 0)),
    )


def metrics(daemon):
    """Return a daemon's metrics in the text exposition format."""
    address = daemon.addresses['admin_address']
    return _http.request('GET', f'http://{address}/metrics').data.decode()


def cpu_seconds(pid):
    """Return the CPU time that a process has used, in seconds."""
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    return (int(fields[11]) + int(fields[12])) / _TICKS_PER_S


def _resident(pid):
    text = pathlib.Path(f'/proc/{pid}/statm').read_text()
    return int(text.split()[1]) * os.sysconf('SC_PAGE_SIZE')
