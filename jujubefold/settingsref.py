"""Settings reference: the operators' page, made from the models.

`python -m jujubefold.settingsref > docs/operations/settings.md` renews it.
"""

import enum
import itertools
import json
import typing

import annotated_types

from jujubefold import settings

_INTRODUCTION = """# Settings

`jujubefoldd` reads one TOML file. Made from the models by
`python -m jujubefold.settingsref`; don't edit it by hand.

    jujubefold settings check jujubefoldd.toml

checks a file, and the key files that it names, before a daemon reads it.
Each error names the file, the dotted key, what was given and what is allowed.
The exit status is 3 then, of `jujubefoldd` too, and nothing is changed.

**When a change takes effect.** Send SIGHUP after replacing the contents of
the files that `tls.certificate`, `tls.key` and `tls.authority` name; the
paths themselves, and every other setting, are read at the start only. So
restart the daemon: a stop drains first and cuts nothing.
"""
_REQUIRED = 'required'
_SIGNS = (
    (annotated_types.Ge, 'ge', 'from'),
    (annotated_types.Gt, 'gt', 'above'),
    (annotated_types.Le, 'le', 'to'),
    (annotated_types.Lt, 'lt', 'below'),
)


def page():
    """Return the reference as Markdown."""
    return _INTRODUCTION + ''.join(
        _section(name) for name in settings.Settings.model_fields
    )


def _section(name):
    model = settings.section_model(settings.Settings, name)
    field = settings.Settings.model_fields[name]
    need = 'Required.' if field.is_required() else 'Optional.'
    rows = ''.join(_row(key, model) for key in model.model_fields)
    return (
        f'\n## [{name}]\n\n{model.__doc__} {need}\n\n'
        '| key | default | unit | allowed | applied by | what it sets |\n'
        f'| --- | --- | --- | --- | --- | --- |\n{rows}{_presets(model)}'
    )


def _presets(model):
    if model is not settings.Dissemination:
        return ''
    lines = (
        f'\n`preset = "{preset}"` sets: {_assignments(values)}.\n'
        for preset, values in settings.PRESETS.items()
        if values
    )
    return ''.join(lines)


def _assignments(values):
    return ', '.join(f'`{key} = {value}`' for key, value in values.items())


def _row(key, model):
    field = model.model_fields[key]
    cells = (
        f'`{key}`',
        _default(field),
        _unit(field),
        _allowed(field),
        _applied(field),
        ' '.join(field.description.split()),
    )
    return f'| {" | ".join(cells)} |\n'


def _default(field):
    if field.is_required():
        return _REQUIRED
    if field.default is None:
        return 'none'
    return f'`{json.dumps(field.default)}`'


def _unit(field):
    names = (unit.name for unit in _marks(field, settings.Unit))
    return next(names, 'number' if field.annotation in (int, float) else '')


def _allowed(field):
    choices = _choices(field.annotation)
    if choices:
        return ', '.join(f'`{choice}`' for choice in choices)
    bounds = [
        f'{word} {getattr(item, attribute):,}'
        for kind, attribute, word in _SIGNS
        for item in field.metadata
        if isinstance(item, kind)
    ]
    if bounds:
        return ' '.join(bounds)
    told = (unit.allowed for unit in _marks(field, settings.Unit))
    patterns = (
        f'`{p.pattern}`' for p in _marks(field, object) if _has_pattern(p)
    )
    return (*told, *patterns, 'any')[0]


def _choices(annotation):
    if isinstance(annotation, type) and issubclass(annotation, enum.Enum):
        return [choice.value for choice in annotation]
    if typing.get_origin(annotation) is typing.Literal:
        return typing.get_args(annotation)
    return ()


def _has_pattern(mark):
    return getattr(mark, 'pattern', None) is not None


def _marks(field, kind):
    """Yield marks of a kind, also those inside a tuple or beside None."""
    inner = (
        getattr(part, '__metadata__', ())
        for part in typing.get_args(field.annotation)
    )
    for mark in itertools.chain(field.metadata, *inner):
        for item in getattr(mark, 'metadata', None) or (mark,):
            if isinstance(item, kind):
                yield item


def _applied(field):
    reloaded = any(True for _ in _marks(field, settings.Reloaded))
    return 'SIGHUP' if reloaded else 'restart'


def main():
    """Print the page."""
    print(page(), end='')


if __name__ == '__main__':
    main()
