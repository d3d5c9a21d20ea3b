"""Exchange: one request being answered over its connection."""


class Exchange:
    """One request being answered.

    Args:
        connection: The `Connection` it came over.
        request: The whole `Request`.
    """

    __slots__ = ('request', 'gone', '_connection')

    def __init__(self, connection, request):
        self.request = request
        # Called without arguments if the sender leaves before the answer.
        self.gone = None
        self._connection = connection

    @property
    def open(self):
        """Whether the sender still waits."""
        return self._connection is not None

    def reply(self, answer):
        """Send the answer; without effect once the sender has left."""
        self.gone = None
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.reply(self.request, answer)

    def reply_cut(self, answer):
        """Send half of the answer's body and close; for fault tests."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.reply_cut(answer)

    def drop(self):
        """Close the connection without an answer."""
        connection, self._connection = self._connection, None
        if connection is not None:
            connection.abort()

    def lost(self):
        """Learn that the sender has left."""
        self._connection = None
        if self.gone is not None:
            self.gone()
