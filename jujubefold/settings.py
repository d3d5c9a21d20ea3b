"""Settings of the daemon, read from a TOML file and validated."""

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
# Characters of an invalid value that its error message shows.
MAX_INPUT_SHOWN = 60

_ADDRESS = re.compile(r'(\d{1,3})\.(\d{1,3})\.(\d{1,3})\.(\d{1,3}):(\d{1,5})')


@dataclasses.dataclass(frozen=True, slots=True)
class Unit:
    """Unit of a setting, for the settings reference.

    Args:
        name: Name of the unit.
        allowed: Allowed values, for a setting without bounds or a pattern.
    """

    name: str
    allowed: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class AppliedOnSighup:
    """Marks a setting that SIGHUP applies; the others need a restart."""


def validate_address(text):
    """Return `text` unchanged if it is an IPv4 address and a port.

    Raises:
        ValueError: If it is not; the message states what is allowed.
    """
    match = _ADDRESS.fullmatch(text)
    if match is None:
        raise ValueError('must be ip:port, such as 10.0.0.1:7402')
    *octets, port = map(int, match.groups())
    if max(octets) > MAX_OCTET:
        raise ValueError(f'octets of the IP address must be 0 to {MAX_OCTET}')
    if port > MAX_PORT:
        raise ValueError(f'the port must be 0 to {MAX_PORT}')
    return text


Address = typing.Annotated[
    str,
    pydantic.AfterValidator(validate_address),
    Unit('ip:port', 'IPv4 address, port 0 to 65535'),
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
    pathlib.Path, Unit('PEM file', 'readable file'), AppliedOnSighup()
]


class Preset(enum.StrEnum):
    """Which of two measures the defaults of dissemination optimize."""

    CONVERGENCE = 'convergence'
    BYTES = 'bytes'


class Model(pydantic.BaseModel):
    """Base of all settings models; refuses unknown keys."""

    model_config = pydantic.ConfigDict(
        extra='forbid',
        frozen=True,
        allow_inf_nan=False,
        use_attribute_docstrings=True,
    )


class Daemon(Model):
    """Identity of this daemon and the addresses it listens on."""

    vm: Name
    """Name of this VM; unique in the fleet."""

    region: Name
    """Region of the VM."""

    failure_domain: Name
    """Failure domain of the VM."""

    peer_address: Address = '127.0.0.1:0'
    """Address for control messages of other daemons; port 0 picks a free
    port."""

    call_address: Address = '127.0.0.1:0'
    """Address to which other daemons forward calls."""

    caller_address: Address = '127.0.0.1:0'
    """Address for callers on this VM or near it."""

    admin_address: Address = '127.0.0.1:0'
    """Address of the operators' API, `/metrics` and the announcements of the
    upstream."""

    contacts: tuple[Address, ...] = ()
    """Peer addresses of daemons through which to join the fleet; three or
    more."""

    seed: int | None = None
    """Seed of the random number generator, for tests only."""


class Upstream(Model):
    """The upstream on this VM, which may also announce itself."""

    address: Address | None = None
    """Address of the upstream, if it does not announce itself."""

    service: Name | None = None
    """Service that the upstream serves; used with `address`."""

    slots: int = pydantic.Field(default=6, ge=1, le=10_000)
    """Number of requests that the upstream runs at once."""

    connections: int = pydantic.Field(default=110, ge=1, le=10_000)
    """Maximum number of connections to the upstream."""


class Platform(Model):
    """The platform's table service and object store."""

    table_url: Url
    """Endpoint of the table service."""

    objects_url: Url
    """Endpoint of the object store, including the bucket."""

    timeout: Seconds = pydantic.Field(default=2.0, gt=0, le=60)
    """Timeout of one call to the platform."""

    submit_timeout: Seconds = pydantic.Field(default=8.0, gt=0, le=120)
    """Time limit for a submitted patch to be accepted or refused."""

    calls_per_second: float = pydantic.Field(default=20.0, gt=0)
    """Maximum number of writes per second, and of reads per second, of this
    daemon."""


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
    """Dissemination of versions; a preset gives values for omitted keys."""

    preset: Preset = Preset.CONVERGENCE
    """Set of defaults; those listed here are of `convergence`."""

    witnesses: int = pydantic.Field(default=0, ge=0, le=5)
    """Number of daemons that record a version before it is in force; with 0
    a daemon needs the store after every restart."""

    readers: int = pydantic.Field(default=2, ge=1, le=16)
    """Number of daemons in a failure domain that read the head."""

    head_interval: Seconds = pydantic.Field(default=1.0, gt=0, le=3600)
    """Interval between reads of the head by one reader."""

    push_edges: int = pydantic.Field(default=4, ge=0, le=16)
    """Number of neighbours to which a new version is sent at once with its
    patch; the others are sent an announcement."""

    announce_delay: Seconds = pydantic.Field(default=0.0, ge=0, le=60)
    """Delay of announcements; no pull is needed if the version arrives over
    another edge first."""

    repair_interval: Seconds = pydantic.Field(default=2.0, gt=0, le=3600)
    """Interval between comparisons of versions with a random daemon."""

    pulls: int = pydantic.Field(default=2, ge=1, le=16)
    """Maximum number of unanswered pulls."""

    pull_timeout: Seconds = pydantic.Field(default=1.0, gt=0, le=60)
    """Time after which an unanswered pull is regarded as lost."""

    start_jitter: Seconds = pydantic.Field(default=2.0, ge=0, le=60)
    """Range of the random delay of a starting daemon's first read and
    pull."""

    settle: Seconds = pydantic.Field(default=5.0, ge=0, le=300)
    """Time between joining the fleet and asking witnesses."""

    serve_bytes_per_second: Bytes = pydantic.Field(default=1 << 20, ge=1024)
    """Maximum number of bytes per second sent as answers to pulls."""

    chain_max: int = pydantic.Field(default=32, ge=1, le=1000)
    """Maximum number of patches in one answer; with more a snapshot is
    sent."""

    history_versions: int = pydantic.Field(default=128, ge=1)
    """Maximum number of patches kept for other daemons."""

    history_bytes: Bytes = pydantic.Field(default=1 << 20, ge=1024)
    """Maximum size of the patches kept for other daemons."""

    @pydantic.model_validator(mode='before')
    @classmethod
    def _apply_preset(cls, section):
        preset = section.get('preset') if isinstance(section, dict) else None
        if not isinstance(preset, str):
            return section
        return {**PRESETS.get(preset, {}), **section}


class Tls(Model):
    """Keys for mutual TLS between daemons and with operators."""

    certificate: KeyFile
    """Certificate of this daemon, with the chain to the authority."""

    key: KeyFile
    """Private key of the certificate."""

    authority: KeyFile
    """Certificates of the authority that signs the certificates of daemons
    and operators."""

    operators: tuple[str, ...] = ()
    """Common names of the certificates that are authorized to submit patches
    and to drain."""


class Logs(Model):
    """Logging, as JSON lines on standard error."""

    level: typing.Literal['DEBUG', 'INFO', 'WARNING', 'ERROR'] = 'INFO'
    """Lowest level that is logged."""


class Settings(Model):
    """The whole settings file of a daemon."""

    daemon: Daemon
    platform: Platform
    upstream: Upstream = Upstream()
    dissemination: Dissemination = Dissemination()
    tls: Tls | None = None
    logs: Logs = Logs()


def load(path):
    """Read and validate a settings file and the key files that it names.

    Args:
        path: `pathlib.Path` of a TOML file.

    Returns:
        `Ok(Settings)`, or `Error(tuple[errors.Invalid, ...])` with one
        entry for each invalid key.
    """
    source = str(path)
    read = inputfiles.read_text(path, MAX_FILE_BYTES)
    if read.is_error():
        return expression.Error((read.error,))
    try:
        raw = tomllib.loads(read.ok)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        return expression.Error((errors.Invalid(f'TOML: {error}', source),))
    return parse(raw, source).bind(
        functools.partial(_with_key_file_checks, source)
    )


def parse(raw, source):
    """Validate settings that were already parsed from TOML.

    Args:
        raw: Nested dict, as `tomllib` returns it.
        source: File name for error messages.

    Returns:
        As `load`, but files that the settings name are not checked.
    """
    text = json.dumps(raw, default=str)
    try:
        return expression.Ok(Settings.model_validate_json(text, strict=True))
    except pydantic.ValidationError as error:
        return expression.Error(
            tuple(_invalid(item, source) for item in error.errors())
        )


def _with_key_file_checks(source, settings):
    faults = tuple(
        errors.Invalid(item.reason, f'{source}: {item.where}')
        for item in tlsfiles.problems(settings.tls)
    )
    return expression.Error(faults) if faults else expression.Ok(settings)


def _invalid(item, source):
    where = '.'.join(map(str, item['loc']))
    return errors.Invalid(_reason(item), f'{source}: {where}')


def _reason(item):
    error_type = item['type']
    if error_type == 'missing':
        return 'required, but missing'
    if error_type == 'extra_forbidden':
        return f'unknown key; allowed: {", ".join(_allowed_keys(item["loc"]))}'
    shown = json.dumps(item['input'], default=str)
    if len(shown) > MAX_INPUT_SHOWN:
        shown = shown[:MAX_INPUT_SHOWN] + '...'
    return f'{item["msg"].removeprefix("Value error, ")}; given {shown}'


def _allowed_keys(location):
    model = Settings
    for name in location[:-1]:
        model = section_model(model, name)
    return model.model_fields


def section_model(model, name):
    """Return the model class of a section, whether optional or required.

    Args:
        model: Model class that the section is in.
        name: Key of the section.
    """
    annotation = model.model_fields[name].annotation
    kinds = typing.get_args(annotation) or (annotation,)
    return next(kind for kind in kinds if kind is not type(None))
