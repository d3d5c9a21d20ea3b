"""Tests of the message codec."""

import hypothesis
from hypothesis import strategies
import msgspec
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


class TestForwardCompatibility(testtools.TestCase):
    def newer_envelope(self, *extra, **fields):
        """Encode the envelope with additions, as a newer release might."""
        raw = msgspec.to_builtins(ENVELOPE)
        raw['messages'] = [*extra, *raw['messages'], *extra]
        return msgspec.msgpack.encode({**raw, **fields})

    def test_unknown_parts_are_ignored_and_known_ones_decoded(self):
        pull = {'type': 'Pull', 'after': 3, 'colour': [1, {'deep': None}]}
        member = ['vm-2', 1, 'r', 'd', 'a', 'b', '', 1, 'alive', '', 'absent']
        gossip = {'type': 'Gossip', 'updates': [[*member, 0, 0, 5, 'new', 9]]}
        cases = (
            (
                'envelope field',
                self.newer_envelope(colour='red', schema=2),
                1,
                0,
            ),
            ('forged count', self.newer_envelope(skipped=7), 1, 0),
            ('message field', self.newer_envelope(pull), 3, 0),
            ('record field', self.newer_envelope(gossip), 3, 0),
            (
                'message type',
                self.newer_envelope({'type': 'Later', 'x': b'y'}),
                1,
                2,
            ),
            (
                'both',
                self.newer_envelope(pull, {'type': 'Later'}, schema=9),
                3,
                2,
            ),
        )
        for name, data, kept, skipped in cases:
            envelope = messages.decode(data).ok
            self.assertEqual(kept, len(envelope.messages), name)
            self.assertEqual(skipped, envelope.skipped, name)
            self.assertEqual('vm-1', envelope.vm, name)
            self.assertIn(messages.Pull(after=3), envelope.messages, name)

    def test_malformed_and_too_many_unknown_messages_are_refused(self):
        later = {'type': 'Later'}
        cases = (
            (
                'known, wrong field',
                self.newer_envelope({'type': 'Pull', 'after': 'x'}),
            ),
            ('beside unknown', self.newer_envelope(later, {'type': 'Ping'})),
            ('no type', self.newer_envelope({'after': 3})),
            ('type not text', self.newer_envelope({'type': 7})),
            ('not a message', self.newer_envelope(3)),
            ('sender missing', self.newer_envelope(later, vm=None)),
            ('flood', self.newer_envelope(*[later] * messages.MAX_SKIPPED)),
        )
        for name, data in cases:
            self.assertTrue(messages.decode(data).is_error(), name)
