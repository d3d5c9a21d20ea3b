"""Peers port: typed exchanges between daemons."""

import abc

import expression

from jujubefold import errors


class Peers(abc.ABC):
    """Carries envelopes to other daemons and takes theirs."""

    @abc.abstractmethod
    async def exchange(self, address, envelope, timeout):
        """Send an envelope and return the envelope that answers it.

        Args:
            address: Peer address, `ip:port`.
            envelope: A `messages.Envelope`.
            timeout: Seconds to wait for the answer.

        Returns:
            `Ok(messages.Envelope)` or `Error(errors.PeerUnreachable)`;
            after an error the peer may or may not have taken it.
        """

    @abc.abstractmethod
    async def serve(self, receive):
        """Start taking envelopes.

        Args:
            receive: Called with each `messages.Envelope`, returns the
                answering envelope without waiting.

        Returns:
            The bound `ip:port`.
        """

    @abc.abstractmethod
    async def close(self):
        """Stop taking and sending envelopes."""


class MemoryNetwork:
    """Wires in-memory peers together; tests cut links here."""

    def __init__(self):
        self._receivers = {}
        self._cuts = set()

    def attach(self, address, receive):
        """Take envelopes for an address."""
        self._receivers[address] = receive

    def detach(self, address):
        """Stop taking envelopes for an address."""
        self._receivers.pop(address, None)

    def cut(self, source, target):
        """Lose everything sent from one address to another."""
        self._cuts.add((source, target))

    def heal(self):
        """Undo all cuts."""
        self._cuts.clear()

    def deliver(self, source, target, envelope):
        """Return the answering envelope, or None when it is lost."""
        receive = self._receivers.get(target)
        if receive is None or (source, target) in self._cuts:
            return None
        answer = receive(envelope)
        return None if (target, source) in self._cuts else answer


class MemoryPeers(Peers):
    """In-memory twin of the gRPC peers.

    Args:
        network: The `MemoryNetwork` shared by all.
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
