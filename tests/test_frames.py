"""Tests of the frames between sidecars."""

import hypothesis
from hypothesis import strategies
import msgspec
import testtools

from jujubefold.sidecar import frames
from jujubefold.sidecar import roster

LOAD = frames.Load(1, 2, 3, 40, 5)
MEMBER = roster.Member('vm-1', 7, '10.0.0.1:1', 's', 'r', 'a', 5.0)
SAMPLES = (
    frames.Hello(MEMBER, 3, LOAD, (1, 2)),
    frames.Offer(
        1,
        'id',
        'r',
        3,
        0,
        True,
        900,
        -20,
        5,
        True,
        'GET',
        b'/x',
        [(b'host', b'h')],
        b'\x00',
    ),
    frames.BodyRequest(1, 8, 4),
    frames.BodyPart(1, 8, b'part'),
    frames.Cancel(1),
    frames.Answered(1, 200, 12, [(b'a', b'b')], b'body', LOAD),
    frames.Refused(1, 'did-not-run', 'no-slot', 50, '', False, LOAD),
    frames.NotReceived(1),
    frames.Ping(),
    frames.Pong(),
    frames.ShutdownNotice(),
    frames.VersionInForce(4, True),
    frames.ConfigurationRequest(3),
    frames.ConfigurationDocument(4, 3, b'{}'),
    frames.CrashEvidence('f', 'vm-1/7', 1, 166),
    LOAD,
)


class TestFrames(testtools.TestCase):
    @hypothesis.given(strategies.lists(strategies.integers(1, 50)))
    def test_chunking_of_the_stream_does_not_matter(self, sizes):
        stream = b''.join(frames.encode(item) for item in SAMPLES)
        decoder = frames.FrameDecoder()
        messages = []
        for size in [*sizes, len(stream)]:
            chunk, stream = stream[:size], stream[size:]
            messages.extend(decoder.feed(chunk))
        self.assertEqual(list(SAMPLES), messages)

    def test_messages_of_unknown_types_are_skipped(self):
        body = msgspec.msgpack.encode(['added-later', 1])
        data = len(body).to_bytes(4, 'big') + body
        decoder = frames.FrameDecoder()
        messages = list(decoder.feed(data + frames.encode(frames.Ping())))
        self.assertEqual([frames.Ping()], messages)

    def test_malformed_frames_raise_value_error(self):
        for body in (
            msgspec.msgpack.encode(['cancel', 'x']),
            msgspec.msgpack.encode(7),
            b'\xc1',
            b'',
        ):
            data = len(body).to_bytes(4, 'big') + body
            with testtools.ExpectedException(ValueError):
                list(frames.FrameDecoder().feed(data))
        with testtools.ExpectedException(ValueError):
            list(frames.FrameDecoder().feed(b'\xff\xff\xff\xff'))

    @hypothesis.given(strategies.binary(max_size=200))
    def test_arbitrary_bytes_raise_nothing_but_value_error(self, data):
        try:
            list(frames.FrameDecoder().feed(data))
        except ValueError:
            pass
