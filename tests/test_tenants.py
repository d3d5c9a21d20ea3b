"""Tests of tenants: their rows, and who sends a request."""

import json
from unittest import mock

import hypothesis
from hypothesis import strategies
import testtools

from jujubefold import calls
from jujubefold.platform import configuration
from jujubefold.platform import tenantrows
from jujubefold.sidecar import tenants
from tests import sidecars

KEY = 'k-7Qx'
ROUTES = (
    sidecars.route('own', '/own/'),
    sidecars.route('open', '/open/', public=True),
)
VALUES = strategies.sampled_from(
    [None, True, -1, 0, 7, 2**70, 1e400, -0.5, '', 'a', ' a', 'a\nb', 'ü', KEY]
)
ROWS = strategies.lists(VALUES | strategies.lists(VALUES, max_size=3))
TABLES = strategies.fixed_dictionaries(
    {
        'columns': strategies.just(sidecars.TENANT_COLUMNS)
        | strategies.lists(VALUES),
        'rows': strategies.lists(
            strategies.builds(
                lambda name, keys, *rest: [name, keys, *rest],
                VALUES,
                strategies.lists(VALUES, max_size=3),
                VALUES,
                VALUES,
                VALUES,
            )
            | ROWS,
            max_size=3,
        ),
    }
)


def decode(rows, version=1):
    """Decode a configuration with these rows of tenants."""
    return configuration.Decoder().decode(
        sidecars.document(version, ROUTES, tenants=rows)
    )


class TestRows(testtools.TestCase):
    def test_each_column_is_decoded(self):
        found = decode(
            [
                sidecars.tenant(
                    'a', KEY, 'k2', priority=3, rate_per_s=1.5, burst=2
                ),
                sidecars.tenant('b'),
            ]
        ).ok
        self.assertEqual(
            {
                'a': tenants.Tenant('a', 3, 1.5, 2.0),
                'b': tenants.Tenant('b', None, 0.0, 0.0),
            },
            found.tenants,
        )
        self.assertEqual([False, True], [r.public for r in found.mesh.routes])
        self.assertNotIn(KEY, repr(found) + repr(found.keys))

    def test_wrong_values_are_rejected_by_their_path_without_the_key(self):
        good = sidecars.tenant('a', KEY)
        for rows, where in (
            ([good, sidecars.tenant('b', 'x', KEY)], 'tenants.b.api_keys[1]'),
            ([good, sidecars.tenant('a', 'x')], 'tenants.a.name'),
            ([good, sidecars.tenant('')], 'tenants.1.name'),
            # It would end the header that names the tenant, and begin another.
            ([sidecars.tenant('a\r\nx: y', KEY)], 'tenants.a\r\nx: y.name'),
            ([sidecars.tenant('a', KEY, '')], 'tenants.a.api_keys[1]'),
            ([sidecars.tenant('a', priority=-1)], 'tenants.a.priority'),
            ([sidecars.tenant('a', rate_per_s=-1)], 'tenants.a.rate_per_s'),
            ([sidecars.tenant('a', burst=-0.1)], 'tenants.a.burst'),
            ([good, [KEY, 7]], 'tenants.1'),
        ):
            found = decode(rows)
            self.assertTrue(found.is_error(), where)
            self.assertEqual(where, found.error.where)
            self.assertNotIn(KEY, found.error.reason)

    @hypothesis.given(TABLES | VALUES | ROWS)
    def test_malformed_tables_are_decoded_or_rejected(self, table):
        body = json.loads(sidecars.document(1))
        body['tenants'] = table
        found = configuration.Decoder().decode(json.dumps(body).encode())
        # Guards against exceptions, and against keys in messages.
        if found.is_error():
            self.assertNotIn(KEY, found.error.reason)
        else:
            self.assertNotIn('', found.ok.tenants)

    def test_deep_nesting_is_rejected(self):
        body = sidecars.document(1, tenants=[])
        deep = b'[' * 100_000
        self.assertTrue(
            configuration.Decoder()
            .decode(body.replace(b'"rows": []', b'"rows": ' + deep))
            .is_error()
        )

    def test_tenants_are_decoded_again_only_when_they_changed(self):
        decoder = configuration.Decoder()
        rows = [sidecars.tenant('a', KEY)]
        with mock.patch.object(
            tenantrows, '_key_table', wraps=tenantrows._key_table
        ) as decoded:
            for version in (1, 2):
                decoder.decode(sidecars.document(version, tenants=rows))
            self.assertEqual(1, decoded.call_count)
            found = decoder.decode(sidecars.document(3, tenants=[])).ok
        self.assertEqual({}, found.tenants)
        self.assertIsNone(decoder.decode(sidecars.document(4)).ok.keys)


class TestAuthenticate(testtools.TestCase):
    def authenticate(self, found, path, *values):
        """Authenticate a request with these Authorization headers."""
        route = found.mesh.match(sidecars.HOST, path, 'GET')
        headers = [(b'x-other', b'Token ' + KEY.encode())]
        headers += [(b'authorization', value) for value in values]
        result = tenants.authenticate(found, route, headers)
        if result.is_error():
            return result.error
        return result.ok and result.ok.name

    def test_only_one_well_formed_header_with_a_known_key_is_accepted(self):
        found = decode([sidecars.tenant('a', KEY), sidecars.tenant('b', 'x')])
        key = KEY.encode()
        refused = calls.Reason.UNAUTHENTICATED
        for values, expected in (
            ([b'Token ' + key], 'a'),
            ([b'tOKEN  ' + key + b' '], 'a'),
            ([b'Token x'], 'b'),
            ([], refused),
            ([b'Token ' + key, b'Token ' + key], refused),
            ([b'Bearer ' + key], refused),
            ([b'Token' + key], refused),
            ([key], refused),
            ([b'Token'], refused),
            ([b'Token ' + key[:-1]], refused),
            ([b'Token ' + key + b'x'], refused),
            ([b'Token ' + key.lower()], refused),
            ([b'Token ' + key + b', Token x'], refused),
            ([b'\xff\xfe \x80'], refused),
        ):
            self.assertEqual(
                expected,
                self.authenticate(found.ok, '/own/x', *values),
                values,
            )
            self.assertIsNone(self.authenticate(found.ok, '/open/x', *values))

    def test_without_a_table_no_key_is_needed_and_an_empty_one_has_none(self):
        # Removing the last tenant must not open its routes to everyone.
        self.assertIsNone(self.authenticate(decode(None).ok, '/own/x'))
        self.assertEqual(
            calls.Reason.UNAUTHENTICATED,
            self.authenticate(decode([]).ok, '/own/x', b'Token x'),
        )
