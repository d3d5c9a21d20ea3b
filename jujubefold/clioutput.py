"""Outcomes of the command line's verbs: exit status, text and JSON."""

import dataclasses
import enum
import functools

import msgspec

from jujubefold import adminmodels
from jujubefold import errors


class ExitCode(enum.IntEnum):
    """What the exit status says; 2 is wrong usage, as typer gives it."""

    DONE = 0
    INVALID = 3
    REFUSED = 4
    UNKNOWN = 5
    UNREACHABLE = 6
    NOT_CONVERGED = 7

    @property
    def label(self):
        """The status as JSON output names it, such as `not-converged`."""
        return self.name.lower().replace('_', '-')


@dataclasses.dataclass(frozen=True, slots=True)
class CommandFailure:
    """A verb that did not do what was asked, as JSON output shows it.

    Args:
        outcome: An `ExitCode.label`.
        errors: The failures.
        hint: What to do next, or ''.
    """

    outcome: str
    errors: tuple
    hint: str = ''


def command_failure(failures, hint=''):
    """Return a `CommandFailure` for one or more failures of one kind."""
    return CommandFailure(exit_code(failures[0]).label, tuple(failures), hint)


@functools.singledispatch
def exit_code(failure):
    """Return the `ExitCode` of a failure."""
    raise errors.BrokenInvariant(f'no exit code for {failure!r}')


@exit_code.register
def _(failure: errors.Invalid):
    return ExitCode.INVALID


@exit_code.register
def _(failure: errors.PeerUnreachable):
    return ExitCode.UNREACHABLE


@exit_code.register
def _(failure: adminmodels.Problem):
    if failure.ran is errors.Outcome.UNKNOWN:
        return ExitCode.UNKNOWN
    invalid = failure.type == 'urn:jujubefold:invalid'
    return ExitCode.INVALID if invalid else ExitCode.REFUSED


@functools.singledispatch
def failure_text(failure):
    """Return a failure as text for people."""
    return failure.reason


@failure_text.register
def _(failure: errors.Invalid):
    return f'{failure.where}: {failure.reason}'


@failure_text.register
def _(failure: adminmodels.Problem):
    text = [f'{failure.title}: {failure.detail} ({failure.ran})']
    if failure.head is not None:
        text.append(f'  head is version {failure.head}')
    text += [f'  clashes at {pointer}' for pointer in failure.clashes]
    text += [f'  {item}' for item in failure.errors]
    return '\n'.join(text)


def to_json(value):
    """Return a value as one JSON document."""
    return msgspec.json.encode(value, enc_hook=str).decode()
