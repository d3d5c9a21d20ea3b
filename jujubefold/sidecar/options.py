"""Options of a sidecar, from its settings file."""

import pathlib
import tomllib
import typing

import expression
import msgspec

from jujubefold import errors

Address = typing.Annotated[
    str, msgspec.Meta(pattern=r'^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$')
]
Name = typing.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
Seconds = typing.Annotated[float, msgspec.Meta(gt=0, le=3600)]
Ratio = typing.Annotated[float, msgspec.Meta(ge=0, le=10)]


class Daemon(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Who and where the daemon is.

    Args:
        capacity: Megabits a second of the VM's link.
    """

    vm: Name
    region: Name
    failure_domain: Name
    capacity: typing.Annotated[float, msgspec.Meta(ge=0)] = 0.0


class Listen(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Where it listens, each as `ip:port`.

    Args:
        callers: For requests that begin on this VM.
        peers: For links of other daemons.
        advertised: Where other daemons find that; the same if not given.
        readiness: Asked by the platform.
        announcements: For the upstream's word on itself.
        metrics: For scrapers.
    """

    callers: Address
    peers: Address
    readiness: Address
    announcements: Address
    metrics: Address
    advertised: Address | None = None


class Upstream(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The upstream beside the daemon.

    Args:
        service: Service that it runs.
        address: Where it listens.
        drain: Seconds for which it serves on after it said that it leaves.
    """

    service: Name
    address: Address
    drain: Seconds


class Store(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The platform's store.

    Args:
        timeout: Seconds for a call that needs no waiting.
    """

    address: Address
    timeout: Seconds = 1.0


class Retries(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What the whole fleet may repeat; see `retrybudget.Policy`."""

    ratio: Ratio
    window: Seconds
    slack: typing.Annotated[float, msgspec.Meta(ge=0)]


class Stop(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """How a stop goes.

    Args:
        grace: Seconds from SIGTERM until the process is killed.
    """

    grace: Seconds


class Logs(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What is logged."""

    level: typing.Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'


class Options(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All options."""

    daemon: Daemon
    listen: Listen
    upstream: Upstream
    store: Store
    retries: Retries
    stop: Stop
    logs: Logs = Logs()


def load(path):
    """Read a settings file.

    Args:
        path: Of a TOML file.

    Returns:
        `Ok(Options)` or `Error(errors.Invalid)` that names the key.
    """
    try:
        text = pathlib.Path(path).read_bytes().decode()
        return expression.Ok(msgspec.convert(tomllib.loads(text), Options))
    except OSError as error:
        return _invalid(f'cannot be read: {error.strerror}', path)
    except (tomllib.TOMLDecodeError, UnicodeError) as error:
        return _invalid(f'is no TOML: {error}', path)
    except msgspec.ValidationError as error:
        reason, _, where = str(error).partition(' - at `$.')
        return _invalid(reason, f'{path}: {where.rstrip("`")}')


def _invalid(reason, where):
    return expression.Error(errors.Invalid(reason, str(where)))
