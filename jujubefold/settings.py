"""Settings: the daemon's TOML file, checked by models at the border."""

import enum
import pathlib
import tomllib
import typing

import expression
import pydantic

from jujubefold import errors

Address = typing.Annotated[
    str, pydantic.Field(pattern=r'^(\d{1,3}\.){3}\d{1,3}:\d{1,5}$')
]
Name = typing.Annotated[
    str, pydantic.Field(pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$')
]


class Preset(enum.StrEnum):
    """Which of the two measures dissemination favours."""

    CONVERGENCE = 'convergence'
    BYTES = 'bytes'


class Model(pydantic.BaseModel):
    """Base of all settings models: unknown keys are refused."""

    model_config = pydantic.ConfigDict(extra='forbid', frozen=True)


class Daemon(Model):
    """Who this daemon is and where it listens."""

    vm: Name
    region: Name
    failure_domain: Name
    peer_address: Address = '127.0.0.1:0'
    call_address: Address = '127.0.0.1:0'
    caller_address: Address = '127.0.0.1:0'
    admin_address: Address = '127.0.0.1:0'
    contacts: tuple[Address, ...] = ()
    seed: int | None = None


class Upstream(Model):
    """The upstream on this VM; it may also announce itself."""

    address: Address | None = None
    service: Name | None = None
    slots: int = pydantic.Field(default=6, ge=1, le=10_000)
    connections: int = pydantic.Field(default=110, ge=1, le=10_000)


class Platform(Model):
    """The platform's table service and object store."""

    table_url: str
    objects_url: str
    timeout: float = pydantic.Field(default=2.0, gt=0, le=60)
    submit_timeout: float = pydantic.Field(default=8.0, gt=0, le=120)
    calls_per_second: float = pydantic.Field(default=20.0, gt=0)


_PRESETS = {
    Preset.CONVERGENCE: {},
    Preset.BYTES: {
        'push_edges': 1,
        'announce_delay': 1.0,
        'head_interval': 5.0,
        'repair_interval': 20.0,
        'pull_timeout': 3.0,
        'serve_bytes_per_second': 128 * 1024,
    },
}


class Dissemination(Model):
    """How versions spread; a preset gives what the file leaves out.

    Args:
        preset: Whose defaults to take; those below are CONVERGENCE's.
        witnesses: Daemons that note a version before it is in force; 0 to
            need the store after every restart.
        readers: Daemons of a failure domain that read the head.
        head_interval: Seconds between two reads of the head by a reader.
        push_edges: Neighbours that get a new version at once with its
            patch; the others get an announcement.
        announce_delay: Seconds an announcement waits, so that a version
            that comes sooner over another edge saves the pull.
        repair_interval: Seconds between comparisons with a random daemon.
        pulls: Most pulls without answer at a time.
        pull_timeout: Seconds after which a pull counts as lost.
        start_jitter: Seconds over which starting daemons spread their
            first read and pull.
        settle: Seconds between joining the fleet and asking witnesses.
        serve_bytes_per_second: Most bytes sent as answers to pulls.
        chain_max: Most patches in one answer; more go as a snapshot.
        history_versions: Most patches held for others.
        history_bytes: Most bytes of patches held for others.
    """

    preset: Preset = Preset.CONVERGENCE
    witnesses: int = pydantic.Field(default=0, ge=0, le=5)
    readers: int = pydantic.Field(default=2, ge=1, le=16)
    head_interval: float = pydantic.Field(default=1.0, gt=0, le=3600)
    push_edges: int = pydantic.Field(default=4, ge=0, le=16)
    announce_delay: float = pydantic.Field(default=0.0, ge=0, le=60)
    repair_interval: float = pydantic.Field(default=2.0, gt=0, le=3600)
    pulls: int = pydantic.Field(default=2, ge=1, le=16)
    pull_timeout: float = pydantic.Field(default=1.0, gt=0, le=60)
    start_jitter: float = pydantic.Field(default=2.0, ge=0, le=60)
    settle: float = pydantic.Field(default=5.0, ge=0, le=300)
    serve_bytes_per_second: int = pydantic.Field(default=1 << 20, ge=1024)
    chain_max: int = pydantic.Field(default=32, ge=1, le=1000)
    history_versions: int = pydantic.Field(default=128, ge=1)
    history_bytes: int = pydantic.Field(default=1 << 20, ge=1024)

    @pydantic.model_validator(mode='before')
    @classmethod
    def _with_preset(cls, given):
        preset = given.get('preset') if isinstance(given, dict) else None
        if not isinstance(preset, str):
            return given
        return {**_PRESETS.get(preset, {}), **given}


class Tls(Model):
    """Keys for mutual authentication between daemons and operators."""

    certificate: pathlib.Path
    key: pathlib.Path
    authority: pathlib.Path
    operators: tuple[str, ...] = ()


class Logs(Model):
    """Where and how much is logged, as JSON lines."""

    level: typing.Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'


class Settings(Model):
    """The whole settings file of a daemon."""

    daemon: Daemon
    platform: Platform
    upstream: Upstream = Upstream()
    dissemination: Dissemination = Dissemination()
    tls: Tls | None = None
    logs: Logs = Logs()


def load(path):
    """Read and check a settings file.

    Args:
        path: `pathlib.Path` of a TOML file.

    Returns:
        `Ok(Settings)`, or `Error(tuple[errors.Invalid, ...])` with one
        entry for each offending key.
    """
    try:
        raw = tomllib.loads(path.read_text())
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as error:
        return expression.Error((errors.Invalid(str(error), str(path)),))
    return parse(raw, str(path))


def parse(raw, source):
    """Check settings that were read already.

    Args:
        raw: Nested dict as TOML gives it.
        source: File name for error messages.

    Returns:
        As `load`.
    """
    try:
        return expression.Ok(Settings.model_validate(raw))
    except pydantic.ValidationError as error:
        return expression.Error(
            tuple(
                errors.Invalid(
                    item['msg'],
                    f'{source}: {".".join(map(str, item["loc"]))}',
                )
                for item in error.errors()
            )
        )
