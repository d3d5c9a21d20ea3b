"""Tests of what daemons say to each other."""

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
    frames.Cancel(1),
    frames.Answered(1, 200, 12, [(b'a', b'b')], b'body', LOAD),
    frames.Refused(1, 'did-not-run', 'no-slot', 50, '', False, LOAD),
    frames.Unseen(1),
    frames.Ping(),
    frames.Pong(),
    frames.Goodbye(),
    frames.Newer(4, True),
    frames.Fetch(3),
    frames.Document(4, 3, b'{}'),
    frames.Crash('f', 'vm-1/7', 1, 166),
    LOAD,
)


class TestFrames(testtools.TestCase):
    @hypothesis.given(strategies.lists(strategies.integers(1, 50)))
    def test_any_cut_of_the_stream_gives_the_same_messages(self, sizes):
        stream = b''.join(frames.encode(item) for item in SAMPLES)
        reader = frames.Reader()
        found = []
        for size in [*sizes, len(stream)]:
            piece, stream = stream[:size], stream[size:]
            found.extend(reader.feed(piece))
        self.assertEqual(list(SAMPLES), found)

    def test_messages_of_a_later_release_are_skipped(self):
        body = msgspec.msgpack.encode(['tomorrow', 1])
        data = len(body).to_bytes(4, 'big') + body
        reader = frames.Reader()
        found = list(reader.feed(data + frames.encode(frames.Ping())))
        self.assertEqual([frames.Ping()], found)

    def test_what_makes_no_sense_is_an_error(self):
        for body in (
            msgspec.msgpack.encode(['cancel', 'x']),
            msgspec.msgpack.encode(7),
            b'\xc1',
            b'',
        ):
            data = len(body).to_bytes(4, 'big') + body
            with testtools.ExpectedException(ValueError):
                list(frames.Reader().feed(data))
        with testtools.ExpectedException(ValueError):
            list(frames.Reader().feed(b'\xff\xff\xff\xff'))

    @hypothesis.given(strategies.binary(max_size=200))
    def test_any_bytes_end_in_messages_or_a_value_error(self, data):
        try:
            list(frames.Reader().feed(data))
        except ValueError:
            pass
