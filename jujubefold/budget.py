"""Retry budgets: limit retries to a small share of first attempts.

Two limits apply at any call depth. An allowance travels with a request and is
split, never copied, at each hop: a request and all calls below it make no
more retries in total than its first daemon allowed. In addition, each daemon
takes the cost of retries from token buckets that first attempts fill; the
cost grows with depth.
"""

import dataclasses


BURST_TOKENS = 32.0
# Tokens added per second, so that a route with little traffic can retry too.
REFILL_TOKENS_PER_S = 0.5
MAX_ROUTES = 1024


class RetryBudget:
    """A token bucket that first attempts fill and retries drain.

    Args:
        percent: Retries allowed per 100 first attempts at depth 0.
        now: Monotonic seconds.
    """

    __slots__ = ('_percent', '_tokens', '_updated_at')

    def __init__(self, percent, now=0.0):
        self._percent = percent
        self._tokens = BURST_TOKENS if percent else 0.0
        self._updated_at = now

    @classmethod
    def new(cls, percent, now=0.0):
        """Return a full bucket; an empty one if `percent` is 0."""
        return cls(percent, now)

    @property
    def tokens(self):
        """Tokens left at the last update."""
        return self._tokens

    def record_first_attempt(self, now):
        """Add tokens for a first attempt."""
        self._refill(now, self._percent / 100)

    def has_tokens(self, now, depth):
        """Return whether the bucket covers a retry at a depth."""
        self._refill(now, 0.0)
        return self._tokens >= retry_cost(depth)

    def allow(self, now, depth):
        """Take the tokens of a retry; return whether there were enough.

        Args:
            now: Monotonic seconds.
            depth: Hops from the first caller; 0 for the first daemon.
        """
        if not self.has_tokens(now, depth):
            return False
        self._tokens -= retry_cost(depth)
        return True

    def _refill(self, now, tokens):
        if self._percent and now > self._updated_at:
            tokens += (now - self._updated_at) * REFILL_TOKENS_PER_S
            self._updated_at = now
        self._tokens = min(BURST_TOKENS, self._tokens + tokens)


def retry_cost(depth):
    """Return the tokens that a retry at a depth costs."""
    return 1 + depth


@dataclasses.dataclass(slots=True)
class Budgets:
    """Retry budgets of a daemon.

    Args:
        overall: Budget of the daemon, over all routes.
        routes: Budgets by route name.
    """

    overall: RetryBudget
    routes: dict[str, RetryBudget] = dataclasses.field(default_factory=dict)


def new_budgets(percent=20):
    """Return the `Budgets` of a daemon.

    Args:
        percent: Retries allowed per 100 first attempts over all routes. The
            budget of each route has the percentage in its retry policy.
    """
    return Budgets(RetryBudget.new(percent))


def record_first_attempt(budgets, route, now):
    """Add tokens for a first attempt on a route.

    Args:
        budgets: A `Budgets`.
        route: The `mesh.Route`.
        now: Monotonic seconds.
    """
    budgets.overall.record_first_attempt(now)
    _route_budget(budgets, route, now).record_first_attempt(now)


def allow(budgets, allowance, call, now):
    """Charge a retry of a call to the budgets; return whether it may be made.

    The caller must know that no upstream ran the call, or that the call may
    run twice.

    Args:
        budgets: A `Budgets`; charged if the retry is allowed.
        allowance: The call's `Allowance`; reduced if the retry is allowed.
        call: The `calls.Call`.
        now: Monotonic seconds.
    """
    route_budget = _route_budget(budgets, call.route, now)
    if allowance.left <= 0 or not budgets.overall.has_tokens(now, call.depth):
        return False
    if not route_budget.allow(now, call.depth):
        return False
    return budgets.overall.allow(now, call.depth) and allowance.spend()


@dataclasses.dataclass(slots=True)
class Allowance:
    """Retries that a request and the calls below it may still make.

    Args:
        left: Number of retries.
    """

    left: int

    def spend(self):
        """Take one retry; return whether one was left."""
        if self.left <= 0:
            return False
        self.left -= 1
        return True

    def split_off(self):
        """Take out half of the retries for the next hop and return them."""
        part = self.left // 2
        self.left -= part
        return part

    def restore(self, part):
        """Add back the part of an attempt that a gate refused.

        The upstream never saw the attempt, so none of its part was used.
        """
        self.left += part


def incoming_allowance(header, policy, depth):
    """Return the `Allowance` of an incoming request.

    Args:
        header: Value of the header `calls.RETRY_BUDGET`; '' if absent.
        policy: The route's `mesh.RetryPolicy`.
        depth: Hops from the first caller; 0 for the first daemon.
    """
    maximum = max(0, policy.attempts - 1)
    if not header:
        return Allowance(maximum if depth == 0 else 0)
    if not (header.isascii() and header.isdigit() and len(header) < 4):
        return Allowance(0)
    return Allowance(min(maximum, int(header)))


def _route_budget(budgets, route, now):
    found = budgets.routes.get(route.name)
    if found is None:
        if len(budgets.routes) >= MAX_ROUTES:
            budgets.routes.clear()
        found = RetryBudget.new(route.retry.budget_percent, now)
        budgets.routes[route.name] = found
    return found
