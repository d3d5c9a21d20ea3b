"""Tests of the operator's configuration, as the platform encodes it."""

import json

import testtools

from jujubefold.platform import configuration
from tests import sidecars


class TestDecode(testtools.TestCase):
    def test_each_column_of_a_route_is_decoded(self):
        row = sidecars.route(
            'r-1',
            '/a/',
            'non_idempotent',
            priority=2,
            timeout_s=0.8,
            target_latency_s=0.25,
            max_attempts=3,
        )
        found = configuration.decode(sidecars.document(7, [row])).ok
        route = found.mesh.match(sidecars.HOST, '/a/x', 'GET')
        self.assertEqual(7, found.mesh.number)
        self.assertIs(False, route.idempotent)
        self.assertEqual(-2, route.priority)
        self.assertEqual(0.8, route.timeout.request)
        self.assertEqual(0.25, route.latency_objective)
        self.assertEqual(3, route.retry.attempts)
        self.assertEqual(15, found.limits.idle_timeout)

    def test_the_longest_prefix_matches(self):
        rows = [
            sidecars.route('short', '/a/'),
            sidecars.route('long', '/a/b/'),
        ]
        mesh = configuration.decode(sidecars.document(1, rows)).ok.mesh
        for path, name in (
            ('/a/x', 'short'),
            ('/a/b', 'short'),
            ('/a/b/', 'long'),
            ('/a/bc/', 'short'),
            ('/a', None),
        ):
            route = mesh.match(sidecars.HOST, path, 'GET')
            self.assertEqual(name, route and route.name, path)

    def test_columns_may_be_reordered_and_unknown_ones_are_ignored(self):
        body = json.loads(sidecars.document(1))
        table = body['routes']
        table['columns'] = [*table['columns'][::-1], 'tomorrow']
        table['rows'] = [[*row[::-1], 1] for row in table['rows']]
        found = configuration.decode(json.dumps(body).encode()).ok
        self.assertEqual(2, len(found.mesh.routes))

    def test_invalid_configurations_are_rejected(self):
        valid = json.loads(sidecars.document(1))
        for change in (
            {'version': 'x'},
            {'routes': {'columns': ['name'], 'rows': [['r']]}},
            {'routes': []},
            {'limits': {}},
        ):
            body = json.dumps({**valid, **change}).encode()
            self.assertTrue(configuration.decode(body).is_error(), change)
        row = sidecars.route('r', '/a/', 'sometimes')
        body = sidecars.document(1, [row])
        self.assertTrue(configuration.decode(body).is_error())
        self.assertTrue(configuration.decode(b'\xff').is_error())
