"""Tests of members' rows, and of whatever else may stand in them."""

import json

import hypothesis
from hypothesis import strategies
import msgspec
import testtools

from jujubefold.sidecar import roster

MEMBER = roster.Member('vm-1', 7, '10.0.0.1:80', 'routes', 'r', 'a', 3.5)
JSON_VALUES = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers()
    | strategies.floats()
    | strategies.text(max_size=12)
    | strategies.sampled_from(['10.0.0.1:80', ':80', '10.0.0.1:', 'a:b']),
    lambda items: strategies.lists(items, max_size=2),
    max_leaves=3,
)


class TestDecode(testtools.TestCase):
    def test_row_of_a_member_is_decoded(self):
        found = roster.decode(roster.encode(MEMBER))
        self.assertEqual(MEMBER, found.ok)

    def test_unknown_fields_of_a_newer_release_are_ignored(self):
        row = {**msgspec.to_builtins(MEMBER), 'later': [1]}
        self.assertEqual(MEMBER, roster.decode(json.dumps(row).encode()).ok)

    def test_wrong_values_are_rejected(self):
        for field, value in (
            ('vm', ''),
            ('address', '10.0.0.1'),
            ('address', 'host:80'),
            ('address', '10.0.0.1:http'),
            ('address', ''),
            ('capacity', -1),
            ('incarnation', 'x'),
            ('service', None),
        ):
            row = {**msgspec.to_builtins(MEMBER), field: value}
            found = roster.decode(json.dumps(row).encode())
            self.assertTrue(found.is_error(), (field, value))
            self.assertTrue(found.error.reason)

    @hypothesis.given(strategies.binary(max_size=60))
    def test_any_bytes_are_decoded_or_rejected(self, value):
        found = roster.decode(value)
        self.assertTrue(found.is_error() and found.error.reason)

    @hypothesis.given(
        strategies.sampled_from(roster.Member.__struct_fields__), JSON_VALUES
    )
    def test_any_value_of_a_field_is_decoded_or_rejected(self, field, value):
        row = {**msgspec.to_builtins(MEMBER), field: value}
        found = roster.decode(json.dumps(row).encode())
        if found.is_ok():
            host, _, port = found.ok.address.rpartition(':')
            self.assertTrue(host)
            self.assertGreaterEqual(int(port), 0)
