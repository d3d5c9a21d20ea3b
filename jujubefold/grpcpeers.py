"""Peers over gRPC: one unary method on a bounded set of channels."""

import asyncio
import collections
import time

import expression
import grpc
import grpc.aio

from jujubefold import errors
from jujubefold import messages
from jujubefold import peers
from jujubefold import trust

SERVICE = 'jujubefold.Peers'
METHOD = 'Exchange'
MAX_CHANNELS = 24
MAX_CONCURRENT_EXCHANGES = 256
# Rate limit on received envelopes over all peers, and its burst.
MAX_EXCHANGES_PER_S = 500.0
MAX_EXCHANGE_BURST = 1000.0
KEEPALIVE_MS = 20_000
KEEPALIVE_TIMEOUT_MS = 5_000
STOP_GRACE_S = 1.0
# Time for exchanges in progress on a dropped channel to complete.
DROP_GRACE_S = 5.0

_PATH = f'/{SERVICE}/{METHOD}'
_SHARED_OPTIONS = (
    ('grpc.max_receive_message_length', messages.MAX_ENVELOPE_BYTES),
    ('grpc.max_send_message_length', messages.MAX_ENVELOPE_BYTES),
    ('grpc.keepalive_time_ms', KEEPALIVE_MS),
    ('grpc.keepalive_timeout_ms', KEEPALIVE_TIMEOUT_MS),
    ('grpc.http2.max_pings_without_data', 0),
)
_SERVER_OPTIONS = _SHARED_OPTIONS + (
    ('grpc.so_reuseport', 0),
    ('grpc.http2.min_ping_interval_without_data_ms', KEEPALIVE_MS // 2),
    ('grpc.max_concurrent_streams', MAX_CONCURRENT_EXCHANGES),
)
_CHANNEL_OPTIONS = _SHARED_OPTIONS + (
    ('grpc.enable_retries', 0),
    ('grpc.enable_http_proxy', 0),
    ('grpc.use_local_subchannel_pool', 1),
    ('grpc.initial_reconnect_backoff_ms', 200),
    ('grpc.max_reconnect_backoff_ms', 5_000),
)


class GrpcPeers(peers.Peers):
    """Exchanges envelopes over gRPC.

    Args:
        bind_address: `ip:port` to listen on; port 0 picks one.
        credentials: A `trust.PeerCredentials`, or None for plain text.

    Attributes:
        observe: Called for each envelope with its direction, `sent` or
            `received`, and its size in bytes.
    """

    def __init__(self, bind_address, credentials=None):
        self._bind_address = bind_address
        self._credentials = credentials
        self._key_stamps = credentials.stamps if credentials else None
        self._channels = collections.OrderedDict()
        self._retained = frozenset()
        self._closing_tasks = set()
        self._server = None
        self._receive = None
        self._rate_limit = _TokenBucket(
            MAX_EXCHANGES_PER_S, MAX_EXCHANGE_BURST
        )
        self._refused = 0
        self.observe = _ignore_size

    @property
    def channels(self):
        """Number of channels open now."""
        return len(self._channels)

    @property
    def refused(self):
        """Envelopes refused since the start.

        Reasons are the rate limit, a certificate that is not a daemon's, and
        a malformed envelope.
        """
        return self._refused

    def retain(self, addresses):
        """Set the peers whose channels are not evicted.

        Args:
            addresses: Peer addresses of the overlay's neighbours.
        """
        self._retained = frozenset(addresses)

    def reload(self):
        """Drop all channels, so that new ones use the keys read last."""
        for address in tuple(self._channels):
            self._drop(address)

    async def exchange(self, address, envelope, timeout):
        call = self._channel(address)
        try:
            answer = await call(envelope, timeout=timeout)
        except grpc.aio.AioRpcError as error:
            self._drop_unresponsive(address, error)
            return _unreachable(address, error.code().name)
        if answer.is_error():
            return _unreachable(address, answer.error.reason)
        return answer

    async def serve(self, receive):
        self._receive = receive
        self._server = grpc.aio.server(
            options=_SERVER_OPTIONS,
            maximum_concurrent_rpcs=MAX_CONCURRENT_EXCHANGES,
        )
        self._server.add_generic_rpc_handlers((self._handlers(),))
        port = self._add_port()
        await self._server.start()
        host = self._bind_address.rpartition(':')[0]
        return f'{host}:{port}'

    async def close(self):
        self.reload()
        if self._closing_tasks:
            _, late = await asyncio.wait(
                self._closing_tasks, timeout=STOP_GRACE_S
            )
            for task in late:
                task.cancel()
        if self._server is not None:
            await self._server.stop(STOP_GRACE_S)

    def _add_port(self):
        if self._credentials is None:
            return self._server.add_insecure_port(self._bind_address)
        return self._server.add_secure_port(
            self._bind_address, self._credentials.server()
        )

    def _handlers(self):
        handler = grpc.unary_unary_rpc_method_handler(
            self._handle_exchange,
            request_deserializer=self._decode,
            response_serializer=self._encode,
        )
        return grpc.method_handlers_generic_handler(SERVICE, {METHOD: handler})

    async def _handle_exchange(self, decoded, context):
        if not self._rate_limit.take(time.monotonic()):
            return await self._refuse(
                context,
                grpc.StatusCode.RESOURCE_EXHAUSTED,
                'rate limit of received envelopes exceeded',
            )
        if self._credentials and not trust.is_daemon(context.auth_context()):
            return await self._refuse(
                context,
                grpc.StatusCode.PERMISSION_DENIED,
                'the client certificate is not that of a daemon',
            )
        if decoded.is_error():
            return await self._refuse(
                context,
                grpc.StatusCode.INVALID_ARGUMENT,
                decoded.error.reason[:200],
            )
        return self._receive(decoded.ok)

    def _encode(self, envelope):
        data = messages.encode(envelope)
        self.observe('sent', len(data))
        return data

    def _decode(self, data):
        self.observe('received', len(data))
        return messages.decode(data)

    async def _refuse(self, context, code, reason):
        self._refused += 1
        await context.abort(code, reason)

    def _channel(self, address):
        self._reload_changed_keys()
        entry = self._channels.get(address)
        if entry is None:
            entry = self._open_channel(address)
            self._channels[address] = entry
        self._channels.move_to_end(address)
        self._evict_least_recent(address)
        return entry[1]

    def _reload_changed_keys(self):
        if self._credentials is None:
            return
        self._credentials.refresh()
        if self._credentials.stamps != self._key_stamps:
            self._key_stamps = self._credentials.stamps
            self.reload()

    def _open_channel(self, address):
        if self._credentials is None:
            channel = grpc.aio.insecure_channel(
                address, options=_CHANNEL_OPTIONS
            )
        else:
            channel = grpc.aio.secure_channel(
                address,
                self._credentials.channel(),
                options=_CHANNEL_OPTIONS + self._credentials.options,
            )
        call = channel.unary_unary(
            _PATH,
            request_serializer=self._encode,
            response_deserializer=self._decode,
        )
        return channel, call

    def _evict_least_recent(self, in_use):
        excess = len(self._channels) - MAX_CHANNELS
        if excess <= 0:
            return
        evictable = [
            address
            for address in self._channels
            if address not in self._retained and address != in_use
        ]
        for address in evictable[:excess]:
            self._drop(address)

    def _drop_unresponsive(self, address, error):
        # A new connection may work where the old one no longer answers.
        if error.code() is grpc.StatusCode.DEADLINE_EXCEEDED:
            self._drop(address)

    def _drop(self, address):
        entry = self._channels.pop(address, None)
        if entry is None:
            return
        closing = asyncio.ensure_future(entry[0].close(DROP_GRACE_S))
        self._closing_tasks.add(closing)
        closing.add_done_callback(self._closing_tasks.discard)


class _TokenBucket:
    """A token bucket.

    Args:
        rate: Tokens added per second.
        burst: Capacity in tokens.
    """

    def __init__(self, rate, burst):
        self._rate = rate
        self._burst = burst
        self._tokens = burst
        self._refilled_at = 0.0

    def take(self, now):
        """Take one token and return whether one was available.

        Args:
            now: Monotonic time in seconds.
        """
        added = (now - self._refilled_at) * self._rate
        self._tokens = min(self._burst, self._tokens + added)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True


def _ignore_size(direction, size):
    pass


def _unreachable(address, reason):
    return expression.Error(errors.PeerUnreachable(f'{address}: {reason}'))
