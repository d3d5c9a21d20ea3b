"""Options: a sidecar's settings, read from its settings file."""

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
    """Identity and location of the daemon.

    Args:
        vm: Name of the VM.
        region: Region of the VM.
        failure_domain: Failure domain of the VM.
        capacity: Bandwidth of the VM's network link in megabits per second.
        bootstrap: Whether the whole fleet starts for the first time, so that
            nothing is kept from an earlier start.
    """

    vm: Name
    region: Name
    failure_domain: Name
    capacity: typing.Annotated[float, msgspec.Meta(ge=0)] = 0.0
    bootstrap: bool = False


class Listen(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses that the daemon listens at, as `ip:port`.

    Args:
        callers: For requests of callers on this VM.
        peers: For links from other daemons.
        readiness: For the platform's readiness checks.
        announcements: For announcements of the upstream on this VM.
        metrics: For Prometheus scrapers.
        advertised: Address at which other daemons reach `peers`, if it
            differs from that.
    """

    callers: Address
    peers: Address
    readiness: Address
    announcements: Address
    metrics: Address
    advertised: Address | None = None


class Upstream(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The upstream on the daemon's VM.

    Args:
        service: Service that it runs.
        address: `ip:port` that it listens at.
        drain: Seconds for which it continues to serve after it announced
            that it leaves.
    """

    service: Name
    address: Address
    drain: Seconds


class Store(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The platform's store.

    Args:
        address: `ip:port` of the store.
        timeout: Timeout in seconds of a call; added to the time for which a
            call waits for changes.
    """

    address: Address
    timeout: Seconds = 1.0


class Retries(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Retry budget of the whole fleet; see `retrybudget.Policy`."""

    ratio: Ratio
    window: Seconds
    slack: typing.Annotated[float, msgspec.Meta(ge=0)]


class Stop(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Graceful stop.

    Args:
        grace: Grace period: seconds from SIGTERM until the platform kills
            the process.
    """

    grace: Seconds


class Tenants(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Tenants and their keys.

    Args:
        strict_revoke: Whether requests with keys are refused unless it is
            certain that no key was removed in the last `revoke` seconds
            that this daemon does not know of.
        revoke: Seconds after the acknowledgement of a version that removes
            a key, from which no request with it is run.
    """

    strict_revoke: bool = False
    revoke: Seconds = 5.0


class Logs(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Logging.

    Args:
        level: Lowest level that is logged.
    """

    level: typing.Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'


class Rollouts(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds of rollouts; without this section there are none.

    Args:
        exposure_share: Share of a service's requests that a bad version may
            get.
        exposure_slack: Requests that it may get in addition.
        rollback: Seconds after its 50th bad answer within which it must get
            no more requests.
    """

    exposure_share: typing.Annotated[float, msgspec.Meta(gt=0, le=1)]
    exposure_slack: typing.Annotated[float, msgspec.Meta(ge=0)]
    rollback: Seconds


class Capacity(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Capacity of the upstream.

    Args:
        learn: Whether the gate learns how many requests the upstream handles
            well at once; see `capacity`.
    """

    learn: bool = False


class Calls(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Calls that running requests make.

    Args:
        first: Whether they go before other requests; see `calldemand`.
    """

    first: bool = True


class Quotas(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bounds of a tenant's requests in the whole fleet; see `quota.Policy`.

    Args:
        domains: Names of all failure domains.
    """

    window: Seconds
    overage: Ratio
    slack: typing.Annotated[float, msgspec.Meta(ge=0)]
    domains: typing.Annotated[tuple[Name, ...], msgspec.Meta(min_length=1)]


class Options(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of a sidecar, by section."""

    daemon: Daemon
    listen: Listen
    upstream: Upstream
    store: Store
    retries: Retries
    stop: Stop
    logs: Logs = Logs()
    rollouts: Rollouts | None = None
    tenants: Tenants = Tenants()
    capacity: Capacity = Capacity()
    calls: Calls = Calls()
    quotas: Quotas | None = None


def load(path):
    """Read a settings file.

    Args:
        path: Path of a TOML file.

    Returns:
        `Ok(Options)`, or `Error(errors.Invalid)` that names the file and
            the key.
    """
    try:
        text = pathlib.Path(path).read_bytes().decode()
        return expression.Ok(msgspec.convert(tomllib.loads(text), Options))
    except OSError as error:
        return _invalid(f'cannot be read: {error.strerror}', path)
    except (tomllib.TOMLDecodeError, UnicodeError, RecursionError) as error:
        return _invalid(f'is not valid TOML: {error}', path)
    except msgspec.ValidationError as error:
        reason, _, where = str(error).partition(' - at `$.')
        return _invalid(reason, f'{path}: {where.rstrip("`")}')


def _invalid(reason, where):
    return expression.Error(errors.Invalid(reason, str(where)))
