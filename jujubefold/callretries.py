"""Call retries: decides which refusals lead to another attempt."""

import dataclasses

from jujubefold import budget
from jujubefold import calls
from jujubefold import errors

# Retries that use no retry budget, because the daemon chosen before has no
# upstream, drains or cannot be reached. In a fleet without upstreams a call
# makes four attempts.
MAX_UNBUDGETED = 3

_RETRY_WITHOUT_BUDGET = frozenset(
    {
        calls.Reason.NO_UPSTREAM,
        calls.Reason.DRAINING,
        calls.Reason.PEER_LOST,
    }
)
_RETRY_WITH_BUDGET = frozenset(
    {
        calls.Reason.NO_SLOT,
        calls.Reason.QUEUE_FULL,
        calls.Reason.UPSTREAM_SHED,
        calls.Reason.BARRED,
    }
)
_RETRY_IF_IDEMPOTENT = frozenset(
    {
        calls.Reason.UPSTREAM_CUT,
        calls.Reason.UPSTREAM_SILENT,
        calls.Reason.PEER_LOST,
    }
)


@dataclasses.dataclass(slots=True)
class RetryState:
    """Retries that one call may still make.

    Args:
        allowance: The `budget.Allowance` for the call and the calls nested
            in it.
        unbudgeted: Retries left that use no budget.
    """

    allowance: budget.Allowance
    unbudgeted: int = MAX_UNBUDGETED


def allow(budgets, retries, call, refusal, now):
    """Return whether a call may be attempted again, and charge the retry.

    A retry after a daemon without an upstream uses no budget, because that
    attempt put no load on any upstream. A retry after a refusal for overload
    does: without a budget, retries would multiply the overload.

    Args:
        budgets: The daemon's `budget.Budgets`, charged for the retry.
        retries: The call's `RetryState`, charged for the retry.
        call: The `calls.Call`.
        refusal: The `calls.Refusal` of the last attempt.
        now: Monotonic seconds.
    """
    if now >= call.deadline:
        return False
    if refusal.ran is not errors.Outcome.DID_NOT_RUN:
        safe = call.idempotent and refusal.reason in _RETRY_IF_IDEMPOTENT
        return safe and budget.allow(budgets, retries.allowance, call, now)
    if refusal.reason in _RETRY_WITHOUT_BUDGET and retries.unbudgeted > 0:
        retries.unbudgeted -= 1
        return retries.allowance.spend()
    if refusal.reason in _RETRY_WITHOUT_BUDGET | _RETRY_WITH_BUDGET:
        return budget.allow(budgets, retries.allowance, call, now)
    return False
