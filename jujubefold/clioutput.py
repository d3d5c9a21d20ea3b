"""Output of CLI commands: exit status, error text and JSON."""

import dataclasses
import enum
import functools

import msgspec

from jujubefold import adminmodels
from jujubefold import errors


class ExitCode(enum.IntEnum):
    """Exit status of a command; typer itself uses 2 for wrong usage."""

    DONE = 0
    INVALID = 3
    REFUSED = 4
    UNKNOWN = 5
    UNREACHABLE = 6
    NOT_CONVERGED = 7

    @property
    def label(self):
        """Name of the status in JSON output, such as `not-converged`."""
        return self.name.lower().replace('_', '-')


@dataclasses.dataclass(frozen=True, slots=True)
class CommandFailure:
    """Failure of a command, as written in JSON output.

    Args:
        outcome: An `ExitCode.label`.
        errors: The failures.
        hint: What the operator should do next, or ''.
    """

    outcome: str
    errors: tuple
    hint: str = ''


def command_failure(failures, hint=''):
    """Return the `CommandFailure` for one or more failures.

    Args:
        failures: Failures, all with the same exit code.
        hint: What the operator should do next, or ''.
    """
    return CommandFailure(exit_code(failures[0]).label, tuple(failures), hint)


@functools.singledispatch
def exit_code(failure):
    """Return the `ExitCode` of a failure."""
    raise errors.BrokenInvariant(f'no exit code is defined for {failure!r}')


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
    """Return the text of a failure for an operator."""
    return failure.reason


@failure_text.register
def _(failure: errors.Invalid):
    return f'{failure.where}: {failure.reason}'


@failure_text.register
def _(failure: adminmodels.Problem):
    lines = [f'{failure.title}: {failure.detail} ({failure.ran})']
    if failure.head is not None:
        lines.append(f'  head is version {failure.head}')
    lines += [f'  clashes at {pointer}' for pointer in failure.clashes]
    lines += [f'  {item}' for item in failure.errors]
    return '\n'.join(lines)


def to_json(value):
    """Encode a value as a JSON document."""
    return msgspec.json.encode(value, enc_hook=str).decode()
