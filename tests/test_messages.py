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


class TestNewerRelease(testtools.TestCase):
    def sent(self, *extra, **fields):
        """Encode the envelope as a newer release might send it."""
        raw = msgspec.to_builtins(ENVELOPE)
        raw['messages'] = [*extra, *raw['messages'], *extra]
        return msgspec.msgpack.encode({**raw, **fields})

    def test_known_rest_survives_what_is_not_known(self):
        pull = {'type': 'Pull', 'after': 3, 'colour': [1, {'deep': None}]}
        member = ['vm-2', 1, 'r', 'd', 'a', 'b', '', 1, 'alive', '', 'absent']
        gossip = {'type': 'Gossip', 'updates': [[*member, 0, 0, 5, 'new', 9]]}
        cases = (
            ('envelope field', self.sent(colour='red', schema=2), 1, 0),
            ('forged count', self.sent(skipped=7), 1, 0),
            ('message field', self.sent(pull), 3, 0),
            ('record field', self.sent(gossip), 3, 0),
            ('message type', self.sent({'type': 'Later', 'x': b'y'}), 1, 2),
            ('both', self.sent(pull, {'type': 'Later'}, schema=9), 3, 2),
        )
        for what, data, kept, skipped in cases:
            envelope = messages.decode(data).ok
            self.assertEqual(kept, len(envelope.messages), what)
            self.assertEqual(skipped, envelope.skipped, what)
            self.assertEqual('vm-1', envelope.vm, what)
            self.assertIn(messages.Pull(after=3), envelope.messages, what)

    def test_malformed_or_too_many_are_refused(self):
        later = {'type': 'Later'}
        cases = (
            ('known, wrong field', self.sent({'type': 'Pull', 'after': 'x'})),
            ('beside unknown', self.sent(later, {'type': 'Ping'})),
            ('no type', self.sent({'after': 3})),
            ('type not text', self.sent({'type': 7})),
            ('not a message', self.sent(3)),
            ('sender missing', self.sent(later, vm=None)),
            ('flood', self.sent(*[later] * messages.MAX_SKIPPED)),
        )
        for what, data in cases:
            self.assertTrue(messages.decode(data).is_error(), what)
