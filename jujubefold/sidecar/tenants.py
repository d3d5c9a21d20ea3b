"""Tenants: who sends requests, with their priority and their quota."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Tenant:
    """A tenant of the platform.

    Args:
        name: Its unique name.
        priority: Priority of its requests, 0 for the most urgent; None for
            that of the route.
        rate: Requests a second that it may send in total; 0 for no limit.
        burst: Requests that it may send at once beyond the rate.
    """

    name: str
    priority: int | None = None
    rate: float = 0.0
    burst: float = 0.0
