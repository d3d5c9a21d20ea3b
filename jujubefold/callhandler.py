"""Call handler: what a `callserver.Server` passes complete requests to."""

import abc


class Handler(abc.ABC):
    """Serves the requests that a server receives."""

    @abc.abstractmethod
    def handle(self, exchange):
        """Start to serve a request.

        Args:
            exchange: A `callexchange.Exchange`, through which it is answered
                now or later.
        """

    @abc.abstractmethod
    def body_limit(self, request):
        """Return the maximum size of a request's body in bytes.

        Args:
            request: A `callserver.Request` whose body was not received yet.
        """

    def may_overlap(self, request):
        """Return whether a request may be served beside others.

        It is asked for requests that a connection carries behind others. If
        an answer before it closes the connection, the sender repeats it, so
        only what may run twice may overlap.

        Args:
            request: A complete `callserver.Request`.
        """
        return False


class FunctionHandler(Handler):
    """Handler that calls functions.

    Args:
        handle: Called with each `callexchange.Exchange`.
        body_limit: Called with a `callserver.Request`; returns bytes.
    """

    def __init__(self, handle, body_limit):
        self._handle = handle
        self._body_limit = body_limit

    def handle(self, exchange):
        self._handle(exchange)

    def body_limit(self, request):
        return self._body_limit(request)
