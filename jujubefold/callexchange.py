"""Exchange: one request being answered over its connection."""


class Exchange:
    """One request being answered.

    Args:
        connection: The `Connection` it came over.
        request: The whole `Request`.
    """

    __slots__ = ('request', 'on_disconnect', '_connection')

    def __init__(self, connection, request):
        self.request = request
        # Called without arguments if the sender leaves before the answer.
        self.on_disconnect = None
        self._connection = connection

    @property
    def sender_connected(self):
        """Whether the sender still waits."""
        return self._connection is not None

    def reply(self, answer):
        """Send the answer; without effect once the sender has left."""
        self.on_disconnect = None
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.reply(self.request, answer)

    def reply_truncated(self, answer):
        """Send half of the answer's body and close; for fault tests."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.reply_truncated(answer)

    def drop(self):
        """Close the connection without an answer."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()

    def sender_disconnected(self):
        """Learn that the sender has left."""
        self._connection = None
        if self.on_disconnect is not None:
            self.on_disconnect()
