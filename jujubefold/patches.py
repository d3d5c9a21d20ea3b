"""Patches: changes to configuration documents as JSON Patch (RFC 6902)."""

import expression
import jsonpatch
import jsonpointer
import msgspec

from jujubefold import decoding
from jujubefold import errors
from jujubefold import versions

MAX_PATCH_BYTES = 200 * 1024
MAX_OPERATIONS = 10_000

_PATCH_ERRORS = (
    jsonpatch.JsonPatchException,
    jsonpointer.JsonPointerException,
    AttributeError,
    IndexError,
    KeyError,
    RecursionError,
    TypeError,
    ValueError,
)


def difference(old, new):
    """Return the patch that transforms one document into another.

    Args:
        old: Document as JSON-compatible dict.
        new: Document as JSON-compatible dict.

    Returns:
        Canonical JSON bytes of the patch; `[]` for equal documents.
    """
    return versions.canonical(jsonpatch.make_patch(old, new).patch)


def normalize(patch):
    """Return a patch in canonical form.

    Args:
        patch: JSON bytes of an untrusted RFC 6902 patch.

    Returns:
        `Ok(bytes)` or `Error(errors.Invalid)`.
    """
    return _decode_operations(patch).map(versions.canonical)


def apply(document, patch):
    """Apply a patch to a document.

    Args:
        document: Canonical JSON bytes.
        patch: JSON bytes of an untrusted RFC 6902 patch.

    Returns:
        `Ok(canonical bytes)` or `Error(errors.Invalid)`.
    """
    return _decode_operations(patch).bind(
        lambda operations: _apply_operations(document, operations)
    )


def clashes(patch, patches_since):
    """Return the changes of a patch that conflict with later patches.

    Two pointers conflict if they are equal or one contains the other.

    Args:
        patch: Canonical JSON bytes of a patch.
        patches_since: Iterable of patches accepted since its base, as
            canonical JSON bytes.

    Returns:
        Sorted tuple of JSON pointers out of `patch`.
    """
    others_changed = {
        pointer
        for other in patches_since
        for pointer in _changed_pointers(other)
    }
    return tuple(
        sorted(
            pointer
            for pointer in _changed_pointers(patch)
            if any(_overlap(pointer, other) for other in others_changed)
        )
    )


def _decode_operations(patch):
    if len(patch) > MAX_PATCH_BYTES:
        return _invalid(f'larger than {MAX_PATCH_BYTES} bytes')
    try:
        operations = msgspec.json.decode(patch, type=list[dict])
    except decoding.FAULTS as error:
        return _invalid(str(error))
    if len(operations) > MAX_OPERATIONS:
        return _invalid(f'more than {MAX_OPERATIONS} operations')
    return expression.Ok(operations)


def _apply_operations(document, operations):
    try:
        before = msgspec.json.decode(document)
        after = jsonpatch.JsonPatch(operations).apply(before, in_place=True)
        if not isinstance(after, dict):
            return _invalid('the result must be a JSON object')
        return expression.Ok(versions.canonical(after))
    except _PATCH_ERRORS as error:
        return _invalid(f'{type(error).__name__}: {error}')


def _invalid(reason):
    return expression.Error(errors.Invalid(reason, 'patch'))


def _changed_pointers(patch):
    for operation in msgspec.json.decode(patch):
        if operation.get('op') == 'test':
            continue
        yield operation['path']
        if operation.get('op') == 'move':
            yield operation['from']


def _overlap(one, other):
    shorter, longer = sorted((one, other), key=len)
    return longer == shorter or longer.startswith(shorter + '/')
