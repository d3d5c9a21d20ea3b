"""Freshness: until when the version in force is sure to be the newest.

A daemon that can't reach the store may hold a key that was removed. So keys
are served only while the version in force was the newest one within
`limit` seconds. That is known from answered reads of the store, or from
another daemon that knows it, and always as of when the read or the question
was sent. All times are `clock.Clock.boottime`, since a suspended VM must not
count as fresh.

Designed for 137 daemons in a failure domain, of which two read the store:
each of the others asks one of these twice in `limit` times 0.22.
"""

import dataclasses
import itertools
import math
import zlib

from jujubefold.sidecar import feedwatcher
from jujubefold.sidecar import versions

# Share of the time in which a removed key must be refused for which a
# confirmation holds. The rest covers clocks of different rates.
LIMIT_SHARE = 0.9
# Shares of the limit (of 4.5 s: 0.8 s, 0.5 s, 0.5 s, 1 s, 2 s). A reader
# reads every 0.4 s, and its answer can be 0.7 s old. Asked every 0.5 s, a
# confirmation is 1.3 s old at most when the path to the store is lost, and
# so holds for 3 s without it.
ASK_AGE_SHARE = 0.8 / 4.5
ASK_INTERVAL_SHARE = 0.5 / 4.5
ANSWER_TIMEOUT_SHARE = 0.5 / 4.5
READ_INTERVAL_SHARE = 1.0 / 4.5
AVOID_SHARE = 2.0 / 4.5
FEED_WAIT_SHARE = 0.3 / 4.5
FEED_INTERVAL_SHARE = 0.1 / 4.5
# Bounds on these two; the second is the interval without strict revocation.
MAX_FEED_WAIT_S = 0.5
MAX_FEED_INTERVAL_S = 0.4
# Questions whose answer is still accepted; each counts from its own sending.
MAX_QUESTIONS = 4


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """A question to another daemon.

    Args:
        number: Identifies it.
        vm: Name of the VM whose daemon is asked.
        sent_at: When it was sent.
    """

    number: int
    vm: str
    sent_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class StoreRead:
    """A read of the store that this daemon makes itself."""


@dataclasses.dataclass(frozen=True, slots=True)
class Answer:
    """What another daemon knows.

    Args:
        number: Number of the question.
        stamp: `versions.Stamp` of the version in force there.
        age: Seconds since that version, or an older one, was the newest;
            negative if that is not known.
    """

    number: int
    stamp: versions.Stamp
    age: float


@dataclasses.dataclass(slots=True)
class FreshnessTable:
    """What a daemon knows of the freshness of its version.

    Args:
        limit: Seconds for which a confirmation holds.
        confirmed_at: When the version in force was last known to be the
            newest.
        awaited: `versions.Stamp` of a version that is not in force here yet,
            and `confirmed_at` once it is; None without one.
        questions: Each `Question` without an answer by its number, oldest
            first.
        asked_at: When the last question was sent.
        read_at: When this daemon last read the store because of `next_step`.
        avoided: VMs whose daemons did not help, and when that was seen.
        numbers: Numbers of the questions to come.
    """

    limit: float
    confirmed_at: float = -math.inf
    awaited: tuple[versions.Stamp, float] | None = None
    questions: dict[int, Question] = dataclasses.field(default_factory=dict)
    asked_at: float = -math.inf
    read_at: float = -math.inf
    avoided: dict[str, float] = dataclasses.field(default_factory=dict)
    numbers: itertools.count = dataclasses.field(
        default_factory=lambda: itertools.count(1)
    )


def new_table(revoke):
    """Return a `FreshnessTable` without a confirmation.

    Args:
        revoke: Seconds after which a removed key must be refused.
    """
    return FreshnessTable(LIMIT_SHARE * revoke)


def feed_intervals(revoke):
    """Return the `feedwatcher.PollIntervals` of the readers.

    Args:
        revoke: As in `new_table`.
    """
    limit = LIMIT_SHARE * revoke
    interval = min(MAX_FEED_INTERVAL_S, FEED_INTERVAL_SHARE * limit)
    wait = min(MAX_FEED_WAIT_S, FEED_WAIT_SHARE * limit)
    return feedwatcher.PollIntervals(interval, interval, wait)


def is_confirmed(table, now):
    """Return whether the version in force is fresh enough to serve keys.

    Args:
        table: A `FreshnessTable`.
        now: Boot time in seconds.
    """
    return now - table.confirmed_at <= table.limit


def age(table, now):
    """Return the seconds since the last confirmation; -1 without one.

    Args:
        table: A `FreshnessTable`.
        now: Boot time in seconds.
    """
    return -1.0 if math.isinf(table.confirmed_at) else now - table.confirmed_at


def record(table, confirmed_at, newest, in_force):
    """Note that no version newer than `newest` existed at a time.

    Args:
        table: A `FreshnessTable`.
        confirmed_at: Boot time in seconds.
        newest: A `versions.Stamp`.
        in_force: `versions.Stamp` of the version in force here. If it is
            older, nothing is confirmed until `settle` finds it replaced.
    """
    if newest <= in_force:
        table.confirmed_at = max(table.confirmed_at, confirmed_at)
    elif table.awaited is None or table.awaited < (newest, confirmed_at):
        table.awaited = (newest, confirmed_at)


def settle(table, in_force):
    """Take over the confirmation of a version that is in force by now.

    Args:
        table: A `FreshnessTable`.
        in_force: As in `record`.
    """
    if table.awaited is not None and table.awaited[0] <= in_force:
        _, confirmed_at = table.awaited
        table.awaited = None
        table.confirmed_at = max(table.confirmed_at, confirmed_at)


def record_answer(table, answer, in_force, now):
    """Note the answer to a question.

    Its age counts back from when the question was sent, so that an answer
    that was delayed is not taken as more recent than it is.

    Args:
        table: A `FreshnessTable`.
        answer: An `Answer`; one to no pending question is ignored.
        in_force: As in `record`.
        now: Boot time in seconds.
    """
    question = table.questions.pop(answer.number, None)
    if question is None:
        return
    if answer.age >= 0.0:
        confirmed_at = question.sent_at - answer.age
        record(table, confirmed_at, answer.stamp, in_force)
        if now - confirmed_at < table.limit * AVOID_SHARE:
            table.avoided.pop(question.vm, None)
            return
    # It has lost the store itself: another one is asked at once.
    _avoid(table, question.vm, now)


def unconfirm(table):
    """Discard all confirmations, as the store lost data.

    Args:
        table: A `FreshnessTable`.
    """
    table.confirmed_at = -math.inf
    table.awaited = None
    table.questions.clear()
    table.asked_at = table.read_at = -math.inf
    table.avoided.clear()


def is_due(table, now):
    """Return whether `next_step` may have something to do.

    Args:
        table: A `FreshnessTable`.
        now: Boot time in seconds.
    """
    return (
        now - table.confirmed_at >= ASK_AGE_SHARE * table.limit
        and now - table.asked_at >= ASK_INTERVAL_SHARE * table.limit
    )


def next_step(table, own_vm, readers, follows, now):
    """Return what to do for a new confirmation.

    Args:
        table: A `FreshnessTable`.
        own_vm: Name of this daemon's VM.
        readers: VM names of the readers of its failure domain that it has
            a link to.
        follows: Whether this daemon follows the store's versions itself, so
            that its reads are made anyway.
        now: Boot time in seconds.

    Returns:
        A `Question` to send, a `StoreRead` to make, or None.
    """
    if not is_due(table, now):
        return None
    for question in table.questions.values():
        if now - question.sent_at >= ANSWER_TIMEOUT_SHARE * table.limit:
            avoided_at = table.avoided.get(question.vm, -math.inf)
            table.avoided[question.vm] = max(avoided_at, question.sent_at)
    usable = [
        vm
        for vm in readers
        if vm != own_vm
        and now - table.avoided.get(vm, -math.inf) >= AVOID_SHARE * table.limit
    ]
    if usable:
        # Each daemon has an order of its own, which spreads the questions.
        vm = min(usable, key=lambda vm: zlib.crc32(f'{own_vm}/{vm}'.encode()))
        return _ask(table, vm, now)
    if follows or now - table.read_at < READ_INTERVAL_SHARE * table.limit:
        return None
    table.read_at = now
    return StoreRead()


def _ask(table, vm, now):
    table.avoided.pop(vm, None)
    table.asked_at = now
    question = Question(next(table.numbers), vm, now)
    table.questions[question.number] = question
    if len(table.questions) > MAX_QUESTIONS:
        del table.questions[next(iter(table.questions))]
    return question


def _avoid(table, vm, now):
    table.avoided[vm] = now
    table.asked_at = -math.inf
