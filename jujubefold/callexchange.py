"""Call exchange: a server's handle on one request and its answer."""


class Exchange:
    """One complete request and the means to answer it once.

    Args:
        connection: The `callserver.Connection` that received the request.
        request: The `callserver.Request`.

    Attributes:
        on_disconnect: Called without arguments if the sender disconnects
            before the answer; None for no callback.
    """

    __slots__ = ('request', 'on_disconnect', '_connection')

    def __init__(self, connection, request):
        self.request = request
        self.on_disconnect = None
        self._connection = connection

    @property
    def sender_connected(self):
        """Whether the sender is connected and has not been answered."""
        return self._connection is not None

    def reply(self, answer):
        """Send the answer; does nothing if the sender has disconnected."""
        self.on_disconnect = None
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.reply(self.request, answer)

    def reply_truncated(self, answer):
        """Send half of the answer's body and close, to inject a fault."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.reply_truncated(self.request, answer)

    def drop(self):
        """Close the connection without an answer."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()

    def sender_disconnected(self):
        """Handle the loss of the sender's connection."""
        self._connection = None
        if self.on_disconnect is not None:
            self.on_disconnect()
