"""Settings reference for operators, generated from the models.

To regenerate it, run
`python -m jujubefold.settingsref > docs/operations/settings.md`.
"""

import enum
import itertools
import json
import typing

import annotated_types

from jujubefold import settings

_INTRODUCTION = """# Settings

`jujubefoldd` reads one TOML file. This page is generated from the models by
`python -m jujubefold.settingsref`; don't edit it by hand.

    jujubefold settings check jujubefoldd.toml

checks a file, and the key files that it names, before a daemon reads it.
Each error names the file, the dotted key, the value given and what is allowed.
With errors the exit status is 3, as of `jujubefoldd`, and nothing is changed.

**When a change takes effect.** Send SIGHUP after replacing the contents of
the files that `tls.certificate`, `tls.key` and `tls.authority` name; the
paths themselves, and all other settings, are read at the start only, so a
change needs a restart. A stop drains the daemon first and cuts no request.
"""
_REQUIRED = 'required'
_BOUND_WORDS = (
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
    requirement = 'Required.' if field.is_required() else 'Optional.'
    rows = ''.join(_row(key, model) for key in model.model_fields)
    return (
        f'\n## [{name}]\n\n{model.__doc__} {requirement}\n\n'
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
        _applied_by(field),
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
    names = (unit.name for unit in _annotations_of(field, settings.Unit))
    return next(names, 'number' if field.annotation in (int, float) else '')


def _allowed(field):
    choices = _choices(field.annotation)
    if choices:
        return ', '.join(f'`{choice}`' for choice in choices)
    bounds = [
        f'{word} {getattr(item, attribute):,}'
        for kind, attribute, word in _BOUND_WORDS
        for item in field.metadata
        if isinstance(item, kind)
    ]
    if bounds:
        return ' '.join(bounds)
    described = (
        unit.allowed for unit in _annotations_of(field, settings.Unit)
    )
    patterns = (
        f'`{p.pattern}`'
        for p in _annotations_of(field, object)
        if _has_pattern(p)
    )
    return (*described, *patterns, 'any')[0]


def _choices(annotation):
    if isinstance(annotation, type) and issubclass(annotation, enum.Enum):
        return [choice.value for choice in annotation]
    if typing.get_origin(annotation) is typing.Literal:
        return typing.get_args(annotation)
    return ()


def _has_pattern(annotation):
    return getattr(annotation, 'pattern', None) is not None


def _annotations_of(field, kind):
    """Yield annotations of a kind, also from within a tuple or optional."""
    inner = (
        getattr(part, '__metadata__', ())
        for part in typing.get_args(field.annotation)
    )
    for annotation in itertools.chain(field.metadata, *inner):
        for item in getattr(annotation, 'metadata', None) or (annotation,):
            if isinstance(item, kind):
                yield item


def _applied_by(field):
    reloaded = any(
        True for _ in _annotations_of(field, settings.AppliedOnSighup)
    )
    return 'SIGHUP' if reloaded else 'restart'


def main():
    """Print the reference."""
    print(page(), end='')


if __name__ == '__main__':
    main()
