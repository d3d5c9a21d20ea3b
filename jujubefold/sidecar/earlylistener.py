"""Early listener: lets others connect while the daemon is still starting.

Importing the daemon takes most of its start. Whoever connects meanwhile waits
in a socket's backlog and is served as soon as the daemon is there; otherwise
callers would be rejected, and most retry only once, and the upstream's next
announcement and the links of other daemons would come later than they could.
It answers the load after machines have lost power, when all callers come back
at the same time.

This module imports little itself, so that it runs first.
"""

import socket
import tomllib

BACKLOG = 1024
# Addresses of the settings' section `listen` that are opened early.
NAMES = ('callers', 'peers', 'announcements')


def listen(path):
    """Listen at addresses of a settings file.

    Args:
        path: Path of a TOML file.

    Returns:
        Dict of a listening `socket.socket` by name, without those that can't
        be opened: the daemon reports what is wrong once it reads the file.
    """
    try:
        with open(path, 'rb') as file:
            addresses = tomllib.load(file)['listen']
        opened = {name: _open(addresses[name]) for name in NAMES}
    except (OSError, LookupError, TypeError, ValueError):
        return {}
    return {name: item for name, item in opened.items() if item is not None}


def keep_matching(listeners, addresses):
    """Return the listeners that are where they should be; close the others.

    The settings may have changed since they were opened.

    Args:
        listeners: What `listen` returned.
        addresses: An `options.Listen`.
    """
    matching = {}
    for name, listener in listeners.items():
        host, port = listener.getsockname()[:2]
        if f'{host}:{port}' == getattr(addresses, name):
            matching[name] = listener
        else:
            listener.close()
    return matching


def _open(address):
    """Return a listening socket, or None if the address is no good."""
    try:
        host, _, port = address.rpartition(':')
        return socket.create_server((host, int(port)), backlog=BACKLOG)
    except (OSError, ValueError, OverflowError, AttributeError):
        return None
