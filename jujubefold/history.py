"""History: patches kept for other daemons, and answers made of them."""

from jujubefold import documents
from jujubefold import messages
from jujubefold import versions

SERVE_BURST_S = 4.0
SMALL_CHAIN_BYTES = 1024

_PUSH_OVERHEAD_BYTES = 250


def push_of(version):
    """Return the `messages.Push` that carries a version."""
    return messages.Push(
        version.number,
        version.digest,
        version.parent_digest,
        version.patch_id,
        version.patch,
    )


def version_of(push):
    """Return the `versions.Version` that a push carries."""
    return versions.Version(
        push.number,
        push.digest,
        push.parent_digest,
        push.patch_id,
        push.patch,
    )


def remember(table, version):
    """Keep a version's patch, and drop the oldest over the bounds.

    Args:
        table: A `dissemination.DisseminationTable`.
        version: A `versions.Version`, one above the last kept.
    """
    table.history[version.number] = push_of(version)
    table.history_bytes += len(version.patch)
    while (
        len(table.history) > table.options.history_versions
        or table.history_bytes > table.options.history_bytes
    ):
        _, oldest = table.history.popitem(last=False)
        table.history_bytes -= len(oldest.patch)


def allowance(table, now):
    """Return how many bytes may be sent as answers now.

    Args:
        table: A `dissemination.DisseminationTable`.
        now: Monotonic seconds.
    """
    rate = table.options.serve_bytes_per_second
    most = rate * SERVE_BURST_S
    if table.budget_at is None:
        table.budget = most
    else:
        earned = rate * (now - table.budget_at)
        table.budget = min(most, table.budget + earned)
    table.budget_at = now
    return table.budget


def _chain(table, pull):
    """Return the pushes that follow what the puller holds, or None."""
    if pull.whole:
        return None
    first = pull.after + 1
    wanted = table.number - pull.after
    if first not in table.history or wanted > table.options.chain_max:
        return None
    parent = table.history[first].parent_digest
    if pull.digest and parent != pull.digest:
        return None
    return tuple(
        table.history[number] for number in range(first, table.number + 1)
    )


def _size(pushes):
    return sum(len(item.patch) + _PUSH_OVERHEAD_BYTES for item in pushes)


def _snapshot(table):
    if table.snapshot is None or table.snapshot[0] != table.number:
        data = documents.compress(table.tip.document)
        table.snapshot = (table.number, data)
    return messages.Snapshot(push_of(table.tip.version), table.snapshot[1])


def answer(table, pull):
    """Return the smaller answer to a pull and its size in bytes.

    Args:
        table: A `dissemination.DisseminationTable` with a tip.
        pull: A `messages.Pull` of one that is behind.
    """
    chain = _chain(table, pull)
    if chain is not None and _size(chain) <= SMALL_CHAIN_BYTES:
        return messages.Chain(chain), _size(chain)
    snapshot = _snapshot(table)
    size = len(snapshot.document) + _size([snapshot.last])
    if chain is not None and _size(chain) <= size:
        return messages.Chain(chain), _size(chain)
    return snapshot, size
