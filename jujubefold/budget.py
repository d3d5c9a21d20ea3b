"""Retry budgets: retries stay a small share of first tries at any depth.

Two bounds hold at once. An allowance travels with a request and is split,
never copied, at each hop: a request and all calls below it make no more
retries than its first daemon allowed. And each daemon pays for retries from
a bucket that first tries fill; the price grows with depth.
"""

import dataclasses


BURST_TOKENS = 32.0
# Tokens regained each second, so that a quiet route can retry too.
QUIET_TOKENS_PER_S = 0.5
MAX_ROUTES = 1024


class RetryBudget:
    """A bucket that first tries fill and retries empty.

    Args:
        percent: Retries allowed in 100 first tries of callers.
    """

    __slots__ = ('_percent', '_tokens', '_at')

    def __init__(self, percent, now=0.0):
        self._percent = percent
        self._tokens = BURST_TOKENS if percent else 0.0
        self._at = now

    @classmethod
    def new(cls, percent, now=0.0):
        """Return a full budget."""
        return cls(percent, now)

    @property
    def tokens(self):
        """Tokens left when last looked at."""
        return self._tokens

    def record_first_attempt(self, now):
        """Count a first try."""
        self._fill(now, self._percent / 100)

    def can(self, now, depth):
        """Return whether a retry at a depth could be paid for."""
        self._fill(now, 0.0)
        return self._tokens >= price(depth)

    def allow(self, now, depth):
        """Return whether a retry may be made, and pay for it.

        Args:
            now: Monotonic seconds.
            depth: Hops from the first caller, 0 for the first.
        """
        if not self.can(now, depth):
            return False
        self._tokens -= price(depth)
        return True

    def _fill(self, now, tokens):
        if self._percent and now > self._at:
            tokens += (now - self._at) * QUIET_TOKENS_PER_S
            self._at = now
        self._tokens = min(BURST_TOKENS, self._tokens + tokens)


def price(depth):
    """Return the tokens that a retry at a depth costs."""
    return 1 + depth


@dataclasses.dataclass(slots=True)
class Budgets:
    """The budget of this daemon and one for each route."""

    whole: RetryBudget
    routes: dict[str, RetryBudget] = dataclasses.field(default_factory=dict)


def new_budgets(percent=20):
    """Return `Budgets` of a daemon whose routes may name their own."""
    return Budgets(RetryBudget.new(percent))


def record_first_attempt(budgets, route, now):
    """Count a first try of a route.

    Args:
        budgets: A `Budgets`.
        route: The `mesh.Route`.
        now: Monotonic seconds.
    """
    budgets.whole.record_first_attempt(now)
    _of_route(budgets, route, now).record_first_attempt(now)


def allow(budgets, allowance, call, now):
    """Return whether a call may be tried again, and pay for it.

    Whoever asks has proof that no upstream ran the call, or may run it
    twice.

    Args:
        budgets: A `Budgets`, paid when the answer is yes.
        allowance: The call's `Allowance`, paid as well.
        call: The `calls.Call`.
        now: Monotonic seconds.
    """
    mine = _of_route(budgets, call.route, now)
    if allowance.left <= 0 or not budgets.whole.can(now, call.depth):
        return False
    if not mine.allow(now, call.depth):
        return False
    return budgets.whole.allow(now, call.depth) and allowance.spend()


@dataclasses.dataclass(slots=True)
class Allowance:
    """Retries that a request and the calls below it may still make."""

    left: int

    def spend(self):
        """Take one retry; return whether there was one."""
        if self.left <= 0:
            return False
        self.left -= 1
        return True

    def split_off(self):
        """Take the next hop's part and return it, for the header."""
        part = self.left // 2
        self.left -= part
        return part

    def restore(self, part):
        """Take back a part whose attempt a gate refused.

        The upstream never saw it, so nobody spent of it.
        """
        self.left += part


def incoming_allowance(header, policy, depth):
    """Return the `Allowance` of a request that arrived.

    Args:
        header: Value of `calls.RETRY_BUDGET`; '' for none.
        policy: The route's `mesh.RetryPolicy`.
        depth: Hops from the first caller.
    """
    most = max(0, policy.attempts - 1)
    if not header:
        return Allowance(most if depth == 0 else 0)
    if not (header.isascii() and header.isdigit() and len(header) < 4):
        return Allowance(0)
    return Allowance(min(most, int(header)))


def _of_route(budgets, route, now):
    found = budgets.routes.get(route.name)
    if found is None:
        if len(budgets.routes) >= MAX_ROUTES:
            budgets.routes.clear()
        found = RetryBudget.new(route.retry.budget_percent, now)
        budgets.routes[route.name] = found
    return found
