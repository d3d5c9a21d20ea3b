"""Tests of the message codec."""

import hypothesis
from hypothesis import strategies
import testtools

from jujubefold import messages

ENVELOPE = messages.Envelope(
    vm='vm-1',
    incarnation=7,
    address='127.0.0.1:1',
    wall_ns=5,
    counter=0,
    messages=(messages.Pull(after=3),),
)


class TestCodec(testtools.TestCase):
    def test_round_trip(self):
        data = messages.encode(ENVELOPE)
        self.assertEqual(ENVELOPE, messages.decode(data).ok)

    @hypothesis.given(strategies.binary(max_size=300))
    @hypothesis.settings(derandomize=True)
    def test_arbitrary_bytes_are_refused_or_decoded(self, data):
        result = messages.decode(data)
        self.assertTrue(result.is_ok() or result.error.reason)

    def test_oversized_envelope_is_refused(self):
        data = b'\0' * (messages.MAX_ENVELOPE_BYTES + 1)
        self.assertIn('larger', messages.decode(data).error.reason)
