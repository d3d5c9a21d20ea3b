"""Settings: the daemon's TOML file, checked by models at the border."""

import dataclasses
import enum
import functools
import json
import pathlib
import re
import tomllib
import typing

import expression
import pydantic

from jujubefold import errors
from jujubefold import inputfiles
from jujubefold import tlsfiles

MAX_FILE_BYTES = 1024 * 1024
MAX_PORT = 65_535
MAX_OCTET = 255
# Characters of a wrong value that an error repeats.
SHOWN_INPUT = 60

_ADDRESS = re.compile(r'(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})')


@dataclasses.dataclass(frozen=True, slots=True)
class Unit:
    """What a setting is counted in, for the reference page.

    Args:
        name: The unit.
        allowed: Values allowed, where no bounds or pattern say so.
    """

    name: str
    allowed: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class Reloaded:
    """Marks a setting that SIGHUP applies; all others need a restart."""


def checked_address(text):
    """Return an address, if it is an IPv4 number and a port.

    Raises:
        ValueError: When it is not, with what is allowed.
    """
    found = _ADDRESS.fullmatch(text)
    if found is None:
        raise ValueError('must be ip:port, such as 10.0.0.1:7402')
    *octets, port = map(int, found.groups())
    if max(octets) > MAX_OCTET:
        raise ValueError(f'numbers of the IP must be 0 to {MAX_OCTET}')
    if port > MAX_PORT:
        raise ValueError(f'the port must be 0 to {MAX_PORT}')
    return text


Address = typing.Annotated[
    str,
    pydantic.AfterValidator(checked_address),
    Unit('ip:port', 'IPv4 number, port 0 to 65535'),
]
Name = typing.Annotated[
    str, pydantic.Field(pattern=r'^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$')
]
Url = typing.Annotated[
    str,
    pydantic.Field(pattern=r'^https?://[^/\s]+(/\S*)?$'),
    Unit('URL', 'http or https URL'),
]
Seconds = typing.Annotated[float, Unit('seconds')]
Bytes = typing.Annotated[int, Unit('bytes')]
KeyFile = typing.Annotated[
    pathlib.Path, Unit('PEM file', 'readable file'), Reloaded()
]


class Preset(enum.StrEnum):
    """Which of the two measures dissemination favours."""

    CONVERGENCE = 'convergence'
    BYTES = 'bytes'


class Model(pydantic.BaseModel):
    """Base of all settings models: unknown keys are refused."""

    model_config = pydantic.ConfigDict(
        extra='forbid',
        frozen=True,
        allow_inf_nan=False,
        use_attribute_docstrings=True,
    )


class Daemon(Model):
    """Who this daemon is and where it listens."""

    vm: Name
    """Name of this VM, unique in the fleet."""

    region: Name
    """Region that the VM is in."""

    failure_domain: Name
    """Failure domain that the VM is in."""

    peer_address: Address = '127.0.0.1:0'
    """Where other daemons send control messages; port 0 picks a free one."""

    call_address: Address = '127.0.0.1:0'
    """Where other daemons forward calls to."""

    caller_address: Address = '127.0.0.1:0'
    """Where callers on this VM or near it connect."""

    admin_address: Address = '127.0.0.1:0'
    """Where operators, `/metrics` and the upstream's announcements go."""

    contacts: tuple[Address, ...] = ()
    """Peer addresses of daemons to join through; three or more."""

    seed: int | None = None
    """Seed of random choices, for tests only."""


class Upstream(Model):
    """The upstream on this VM; it may also announce itself."""

    address: Address | None = None
    """Where the upstream takes requests, if it does not announce itself."""

    service: Name | None = None
    """Service that it serves; goes with `address`."""

    slots: int = pydantic.Field(default=6, ge=1, le=10_000)
    """Requests that it runs at once."""

    connections: int = pydantic.Field(default=110, ge=1, le=10_000)
    """Most connections to it."""


class Platform(Model):
    """The platform's table service and object store."""

    table_url: Url
    """Endpoint of the table service."""

    objects_url: Url
    """Endpoint of the object store, with the bucket."""

    timeout: Seconds = pydantic.Field(default=2.0, gt=0, le=60)
    """Longest wait for one call to the platform."""

    submit_timeout: Seconds = pydantic.Field(default=8.0, gt=0, le=120)
    """Longest wait for a submitted patch to be accepted or refused."""

    calls_per_second: float = pydantic.Field(default=20.0, gt=0)
    """Most writes, and most reads, of this daemon a second."""


PRESETS = {
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
    """How versions spread; a preset gives what the file leaves out."""

    preset: Preset = Preset.CONVERGENCE
    """Whose defaults to take; those listed are CONVERGENCE's."""

    witnesses: int = pydantic.Field(default=0, ge=0, le=5)
    """Daemons that note a version before it is in force; 0 to need the
    store after every restart."""

    readers: int = pydantic.Field(default=2, ge=1, le=16)
    """Daemons of a failure domain that read the head."""

    head_interval: Seconds = pydantic.Field(default=1.0, gt=0, le=3600)
    """Time between two reads of the head by a reader."""

    push_edges: int = pydantic.Field(default=4, ge=0, le=16)
    """Neighbours that get a new version at once with its patch; the others
    get an announcement."""

    announce_delay: Seconds = pydantic.Field(default=0.0, ge=0, le=60)
    """Time an announcement waits, so that a version that comes sooner over
    another edge saves the pull."""

    repair_interval: Seconds = pydantic.Field(default=2.0, gt=0, le=3600)
    """Time between comparisons with a random daemon."""

    pulls: int = pydantic.Field(default=2, ge=1, le=16)
    """Most pulls without answer at a time."""

    pull_timeout: Seconds = pydantic.Field(default=1.0, gt=0, le=60)
    """Time after which a pull counts as lost."""

    start_jitter: Seconds = pydantic.Field(default=2.0, ge=0, le=60)
    """Time over which starting daemons spread their first read and pull."""

    settle: Seconds = pydantic.Field(default=5.0, ge=0, le=300)
    """Time between joining the fleet and asking witnesses."""

    serve_bytes_per_second: Bytes = pydantic.Field(default=1 << 20, ge=1024)
    """Most bytes a second sent as answers to pulls."""

    chain_max: int = pydantic.Field(default=32, ge=1, le=1000)
    """Most patches in one answer; more go as a snapshot."""

    history_versions: int = pydantic.Field(default=128, ge=1)
    """Most patches held for others."""

    history_bytes: Bytes = pydantic.Field(default=1 << 20, ge=1024)
    """Most bytes of patches held for others."""

    @pydantic.model_validator(mode='before')
    @classmethod
    def _with_preset(cls, given):
        preset = given.get('preset') if isinstance(given, dict) else None
        if not isinstance(preset, str):
            return given
        return {**PRESETS.get(preset, {}), **given}


class Tls(Model):
    """Keys for mutual authentication between daemons and operators."""

    certificate: KeyFile
    """This daemon's certificate, with the chain to the authority."""

    key: KeyFile
    """Its private key."""

    authority: KeyFile
    """Certificates of the authority that signs daemons and operators."""

    operators: tuple[str, ...] = ()
    """Common names of certificates that may submit patches and drain."""


class Logs(Model):
    """Where and how much is logged, as JSON lines."""

    level: typing.Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'
    """Least level that is logged."""


class Settings(Model):
    """The whole settings file of a daemon."""

    daemon: Daemon
    platform: Platform
    upstream: Upstream = Upstream()
    dissemination: Dissemination = Dissemination()
    tls: Tls | None = None
    logs: Logs = Logs()


def load(path):
    """Read and check a settings file and the key files that it names.

    Args:
        path: `pathlib.Path` of a TOML file.

    Returns:
        `Ok(Settings)`, or `Error(tuple[errors.Invalid, ...])` with one
        entry for each offending key.
    """
    source = str(path)
    read = inputfiles.read_text(path, MAX_FILE_BYTES)
    if read.is_error():
        return expression.Error((read.error,))
    try:
        raw = tomllib.loads(read.ok)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        return expression.Error((errors.Invalid(f'TOML: {error}', source),))
    return parse(raw, source).bind(functools.partial(_with_files, source))


def parse(raw, source):
    """Check settings that were read already.

    Args:
        raw: Nested dict as TOML gives it.
        source: File name for error messages.

    Returns:
        As `load`; files that the settings name are not looked at.
    """
    text = json.dumps(raw, default=str)
    try:
        return expression.Ok(Settings.model_validate_json(text, strict=True))
    except pydantic.ValidationError as error:
        return expression.Error(
            tuple(_invalid(item, source) for item in error.errors())
        )


def _with_files(source, settings):
    found = tuple(
        errors.Invalid(item.reason, f'{source}: {item.where}')
        for item in tlsfiles.problems(settings.tls)
    )
    return expression.Error(found) if found else expression.Ok(settings)


def _invalid(item, source):
    where = '.'.join(map(str, item['loc']))
    return errors.Invalid(_reason(item), f'{source}: {where}')


def _reason(item):
    kind = item['type']
    if kind == 'missing':
        return 'required, but not there'
    if kind == 'extra_forbidden':
        return f'unknown key; allowed: {", ".join(_siblings(item["loc"]))}'
    shown = json.dumps(item['input'], default=str)
    if len(shown) > SHOWN_INPUT:
        shown = shown[:SHOWN_INPUT] + '...'
    return f'{item["msg"].removeprefix("Value error, ")}; given {shown}'


def _siblings(location):
    model = Settings
    for name in location[:-1]:
        model = section_model(model, name)
    return model.model_fields


def section_model(model, name):
    """Return the model class of a section, also of one that may be absent.

    Args:
        model: Model class that the section is in.
        name: Key of the section.
    """
    kind = model.model_fields[name].annotation
    options = typing.get_args(kind) or (kind,)
    return next(option for option in options if option is not type(None))
