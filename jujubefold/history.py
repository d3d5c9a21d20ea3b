"""History: recent patches, kept to answer pulls of other daemons."""

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
        version.accepted_ms,
    )


def version_of(push):
    """Return the `versions.Version` that a push carries."""
    return versions.Version(
        push.number,
        push.digest,
        push.parent_digest,
        push.patch_id,
        push.patch,
        push.accepted_ms,
    )


def add_version(table, version):
    """Keep a version's patch, and evict the oldest over the limits.

    Args:
        table: A `dissemination.DisseminationTable`.
        version: A `versions.Version`, one above the newest kept.
    """
    table.history[version.number] = push_of(version)
    table.history_bytes += len(version.patch)
    while (
        len(table.history) > table.options.history_versions
        or table.history_bytes > table.options.history_bytes
    ):
        _, oldest = table.history.popitem(last=False)
        table.history_bytes -= len(oldest.patch)


def available_budget(table, now):
    """Return how many bytes may be sent as answers to pulls now.

    This refills a token bucket, which holds at most what is earned in
    `SERVE_BURST_S`.

    Args:
        table: A `dissemination.DisseminationTable`.
        now: Monotonic seconds.
    """
    rate = table.options.serve_bytes_per_second
    capacity = rate * SERVE_BURST_S
    if table.serve_budget_at is None:
        table.serve_budget = capacity
    else:
        earned = rate * (now - table.serve_budget_at)
        table.serve_budget = min(capacity, table.serve_budget + earned)
    table.serve_budget_at = now
    return table.serve_budget


def _chain(table, pull):
    """Return the pushes that follow the puller's version, or None.

    None means that the puller needs a snapshot: it asked for one, its
    version is too old, or its digest differs from the one held here.
    """
    if pull.whole:
        return None
    first = pull.after + 1
    count = table.number - pull.after
    if first not in table.history or count > table.options.chain_max:
        return None
    parent = table.history[first].parent_digest
    if pull.digest and parent != pull.digest:
        return None
    return tuple(
        table.history[number] for number in range(first, table.number + 1)
    )


def _chain_bytes(pushes):
    return sum(len(item.patch) + _PUSH_OVERHEAD_BYTES for item in pushes)


def _snapshot(table):
    if table.snapshot is None or table.snapshot[0] != table.number:
        data = documents.compress(table.tip.document)
        table.snapshot = (table.number, data)
    return messages.Snapshot(push_of(table.tip.version), table.snapshot[1])


def answer_pull(table, pull):
    """Return the answer to a pull and its approximate size in bytes.

    The answer is the smaller of chain and snapshot; a chain of up to
    `SMALL_CHAIN_BYTES` is sent without building a snapshot to compare.

    Args:
        table: A `dissemination.DisseminationTable` with a tip.
        pull: A `messages.Pull` with a lower number than the tip.

    Returns:
        Tuple of a `messages.Chain` or `messages.Snapshot` and bytes.
    """
    chain = _chain(table, pull)
    if chain is not None and _chain_bytes(chain) <= SMALL_CHAIN_BYTES:
        return messages.Chain(chain), _chain_bytes(chain)
    snapshot = _snapshot(table)
    size = len(snapshot.document) + _chain_bytes([snapshot.last])
    if chain is not None and _chain_bytes(chain) <= size:
        return messages.Chain(chain), _chain_bytes(chain)
    return snapshot, size
