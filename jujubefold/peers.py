"""Transport between daemons: interface, and an in-memory implementation."""

import abc

import expression

from jujubefold import errors


class Peers(abc.ABC):
    """Sends envelopes to other daemons and receives theirs."""

    @abc.abstractmethod
    async def exchange(self, address, envelope, timeout):
        """Send an envelope and return the envelope that answers it.

        Args:
            address: Peer address, `ip:port`.
            envelope: A `messages.Envelope`.
            timeout: Seconds to wait for the answer.

        Returns:
            `Ok(messages.Envelope)` or `Error(errors.PeerUnreachable)`;
            after an error the peer may or may not have processed it.
        """

    @abc.abstractmethod
    async def serve(self, receive):
        """Start receiving envelopes.

        Args:
            receive: Function that is called with each `messages.Envelope`
                and returns the answering envelope without blocking.

        Returns:
            The bound address, `ip:port`.
        """

    @abc.abstractmethod
    async def close(self):
        """Stop sending and receiving envelopes."""


class MemoryNetwork:
    """Connects `MemoryPeers`; tests can cut its links."""

    def __init__(self):
        self._receivers = {}
        self._cuts = set()

    def attach(self, address, receive):
        """Register the receiver of an address."""
        self._receivers[address] = receive

    def detach(self, address):
        """Remove the receiver of an address, if there is one."""
        self._receivers.pop(address, None)

    def cut(self, source, target):
        """Drop everything sent from one address to another."""
        self._cuts.add((source, target))

    def heal(self):
        """Restore all cut links."""
        self._cuts.clear()

    def deliver(self, source, target, envelope):
        """Deliver an envelope.

        Returns:
            The answering envelope, or None when either of them is lost.
        """
        receive = self._receivers.get(target)
        if receive is None or (source, target) in self._cuts:
            return None
        answer = receive(envelope)
        return None if (target, source) in self._cuts else answer


class MemoryPeers(Peers):
    """In-memory implementation of `Peers`, for tests.

    Args:
        network: The `MemoryNetwork` shared by all peers.
        address: This daemon's peer address.
    """

    def __init__(self, network, address):
        self._network = network
        self._address = address

    async def exchange(self, address, envelope, timeout):
        answer = self._network.deliver(self._address, address, envelope)
        if answer is None:
            return expression.Error(
                errors.PeerUnreachable(f'no answer from {address}')
            )
        return expression.Ok(answer)

    async def serve(self, receive):
        self._network.attach(self._address, receive)
        return self._address

    async def close(self):
        self._network.detach(self._address)
