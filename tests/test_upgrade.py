"""Tests that a release reads documents and rows of a newer one."""

import asyncio
import json

import msgspec
import testtools

from jujubefold import adminmodels
from jujubefold import claimrow
from jujubefold import clock
from jujubefold import declarations
from jujubefold import documents
from jujubefold import messages
from jujubefold import objectstore
from jujubefold import patches
from jujubefold import table
from jujubefold import versions
from jujubefold import versionstore

NEWER = {
    'schema': declarations.SCHEMA,
    'minor': declarations.MINOR + 1,
    **{name: {} for name in versions.SECTIONS},
    'services': {'s': {'colour': 'red'}},
    'groups': {'g': {'service': 's', 'later': {'deep': [1, None]}}},
    'routes': {'r': {'targets': [{'group': 'g', 'tint': 3}], 'new': True}},
    'palettes': {'p': {'x': 1}},
}
PATCH = [
    {'op': 'add', 'path': '/services/t', 'value': {}},
    {'op': 'replace', 'path': '/routes/r/new', 'value': True},
]
CLAIM = claimrow.ClaimRow(
    key=claimrow.key_of('route', 'key'),
    id='c1',
    state=claimrow.State.ANSWERED,
    holder='vm-1/7',
    fingerprint='f',
    since_ms=1,
    expires_ms=2,
    answer=b'a',
)


async def _rows_of_two_patches():
    """Accept one patch, abandon another, and return all rows written."""
    rows = table.MemoryTable()
    paused = clock.PausedClock()
    store = versionstore.VersionStore(
        rows, objectstore.MemoryObjectStore(paused), paused
    )
    patch = json.dumps(PATCH[:1]).encode()
    submission = versionstore.Submission(0, 'p1', patch, 'alice')
    accepted = await store.submit(submission, 1.0)
    abandoned = await store.abandon('p2')
    tables = ('head', 'patches', 'versions')
    found = [(await rows.scan(name)).ok for name in tables]
    counts = [len(page) for page in found]
    if accepted.is_error() or abandoned.is_error() or counts != [1, 2, 1]:
        raise AssertionError((accepted, abandoned, counts))
    return [row for page in found for row in page]


class TestDocuments(testtools.TestCase):
    def test_unknown_fields_survive_a_patch_by_an_older_daemon(self):
        before = versions.canonical(NEWER)
        self.assertTrue(declarations.compile_document(before, 1).is_ok())
        patch = json.dumps(PATCH).encode()
        after = patches.apply(before, patch).ok
        stored = documents.decompress(documents.compress(after)).ok
        expected = json.loads(before)
        expected['services']['t'] = {}
        self.assertEqual(expected, json.loads(stored))
        self.assertTrue(declarations.compile_document(stored, 2).is_ok())

    def test_unknown_fields_of_the_same_minor_are_refused(self):
        same_minor = {**NEWER, 'minor': declarations.MINOR}
        found = declarations.compile_mesh(same_minor, 1)
        where = {failure.where for failure in found.error}
        self.assertIn('/palettes', where)
        self.assertIn('/routes/r/new', where)

    def test_newer_schema_is_refused(self):
        newer = {**NEWER, 'schema': declarations.SCHEMA + 1}
        found = declarations.compile_mesh(newer, 1)
        self.assertIn('newer', found.error[0].reason)


class TestStoredForms(testtools.TestCase):
    def test_stored_and_sent_forms_have_a_schema_version(self):
        self.assertIn('schema', json.loads(versions.EMPTY_DOCUMENT))
        self.assertIn('schema', messages.Envelope.__struct_fields__)
        self.assertIn('schema', claimrow.values_of(CLAIM))
        for row in asyncio.run(_rows_of_two_patches()):
            self.assertEqual(versionstore.SCHEMA, row.values['schema'])

    def test_rows_of_a_newer_release_are_read(self):
        values = {**claimrow.values_of(CLAIM), 'schema': 2, 'later': 'x'}
        row = table.Row(CLAIM.key, values)
        self.assertEqual(CLAIM, claimrow.from_row(row))
        newer = table.Row(CLAIM.key, {**values, 'state': 'paused'})
        state = claimrow.from_row(newer).state
        self.assertEqual(claimrow.State.IN_DOUBT, state)

    def test_head_of_a_newer_release_is_read(self):
        rows = table.MemoryTable()
        paused = clock.PausedClock()
        store = versionstore.VersionStore(
            rows, objectstore.MemoryObjectStore(paused), paused
        )
        values = {'identity': '4/d', 'number': 4, 'digest': 'd', 'blob': 'b'}
        put = table.Put(
            versionstore.HEAD_KEY,
            {**values, 'schema': 2, 'x': 1},
            table.Absent(),
        )
        asyncio.run(rows.transact([put]))
        head = asyncio.run(store.head()).ok
        self.assertEqual(versionstore.Head(4, 'd', 'b'), head)

    def test_api_ignores_unknown_fields(self):
        cases = (
            (
                adminmodels.PatchSubmission,
                {'base': 1, 'patch_id': 'p', 'patch': []},
            ),
            (adminmodels.Problem, {'type': 't', 'title': 'x', 'status': 400}),
            (
                adminmodels.VersionSummary,
                {'number': 1, 'digest': '', 'patch_id': ''},
            ),
        )
        for kind, fields in cases:
            data = msgspec.json.encode({**fields, 'later': {'x': 1}})
            self.assertTrue(adminmodels.decode(data, kind).is_ok(), kind)
