"""Retries of the call path: which refusals lead to another try."""

import dataclasses

from jujubefold import budget
from jujubefold import calls
from jujubefold import errors

# Further daemons asked on nobody's budget because the one before has no
# upstream; a fleet without upstreams is then asked four times a call.
MAX_FREE = 3

_GONE = frozenset(
    {
        calls.Reason.NO_UPSTREAM,
        calls.Reason.DRAINING,
        calls.Reason.PEER_LOST,
    }
)
_BUSY = frozenset(
    {
        calls.Reason.NO_SLOT,
        calls.Reason.QUEUE_FULL,
        calls.Reason.UPSTREAM_SHED,
        calls.Reason.BARRED,
    }
)
_AGAIN_IF_IDEMPOTENT = frozenset(
    {
        calls.Reason.UPSTREAM_CUT,
        calls.Reason.UPSTREAM_SILENT,
        calls.Reason.PEER_LOST,
    }
)


@dataclasses.dataclass(slots=True)
class Retries:
    """What one call may still retry.

    Args:
        allowance: Retries that it and the calls below it may make.
        free: Daemons that may still be asked after one had no upstream.
    """

    allowance: budget.Allowance
    free: int = MAX_FREE


def allow(budgets, retries, call, refusal, now):
    """Return whether another try is safe, in time and paid for.

    A daemon without an upstream was no load to any, so that asking another
    one costs no budget. Load that is refused does cost: without a budget,
    overload would multiply itself.

    Args:
        budgets: The daemon's `budget.Budgets`, paid when the answer is yes.
        retries: The call's `Retries`, paid as well.
        call: The `calls.Call`.
        refusal: The `calls.Refusal` that the last try ended with.
        now: Monotonic seconds.
    """
    if now >= call.deadline:
        return False
    if refusal.ran is not errors.Outcome.DID_NOT_RUN:
        again = call.idempotent and refusal.reason in _AGAIN_IF_IDEMPOTENT
        return again and budget.allow(budgets, retries.allowance, call, now)
    if refusal.reason in _GONE and retries.free > 0:
        retries.free -= 1
        return retries.allowance.spend()
    if refusal.reason in _GONE | _BUSY:
        return budget.allow(budgets, retries.allowance, call, now)
    return False
