"""Minimal HTTP/1.1 messages over asyncio streams."""

import dataclasses
import itertools
import os
import socket
import struct


@dataclasses.dataclass
class Message:
    """A request or an answer.

    Args:
        first: The words of its first line.
        fields: Header values by lower-case name.
    """

    first: list
    fields: dict
    body: bytes


async def read(reader, has_body=True):
    """Read one message; raises IncompleteReadError at the end."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.rstrip('\r\n').split('\r\n')
    fields = {}
    for line in lines:
        name, _, value = line.partition(':')
        fields[name.lower()] = value.strip()
    body = b''
    if has_body:
        body = await reader.readexactly(int(fields.get('content-length', 0)))
    return Message(first.split(' ', 2), fields, body)


def answer(status, body=b'', headers=()):
    """Return the bytes of an answer."""
    lines = [f'HTTP/1.1 {status}', *(f'{n}: {v}' for n, v in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def request(method, target, headers, body=b''):
    """Return the bytes of a request."""
    lines = [f'{method} {target} HTTP/1.1']
    lines.extend(f'{n}: {v}' for n, v in headers)
    if body or method != 'GET':
        lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def reset(writer):
    """Close a connection with a reset."""
    if writer.transport.is_closing():
        return
    option = struct.pack('ii', 1, 0)
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, option)
    writer.transport.abort()


# An address of its own for each process, and ports below the ephemeral ones:
# neither another run nor an outgoing connection takes a port before its use.
HOST = f'127.1.{os.getpid() // 250 % 250}.{os.getpid() % 250 + 1}'
_ports = itertools.count(10_000)


def free_address():
    """Return a free loopback address, `ip:port`."""
    while True:
        port = next(_ports)
        with socket.socket() as sock:
            try:
                sock.bind((HOST, port))
            except OSError:
                continue
        return f'{HOST}:{port}'


def split(address):
    """Return host and port of an `ip:port`."""
    host, _, port = address.rpartition(':')
    return host, int(port)
