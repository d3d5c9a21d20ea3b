"""Tests of the frames between sidecars."""

import contextlib

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
    frames.VersionInForce(4, True, 9, 1, 2, 2),
    frames.ConfigurationRequest(3, 1, b'd'),
    frames.ConfigurationDocument(4, 3, b'{}', 2, b'd'),
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


class OldLoad(msgspec.Struct, array_like=True, tag='load'):
    """Load as the release before `fetch_backlog_ms` has it."""

    running: int
    waiting: int
    slots: int
    mean_duration_ms: int
    failure_percent: int


class OldHello(msgspec.Struct, array_like=True, tag='hello'):
    """Hello as the release before `transfers` has it."""

    member: roster.Member
    version: int
    load: OldLoad
    resume: tuple[int, ...] = ()


class OldVersionInForce(msgspec.Struct, array_like=True, tag='newer'):
    """VersionInForce as the release before `members_changed` has it."""

    version: int
    is_reader: bool


class OldRequest(msgspec.Struct, array_like=True, tag='fetch'):
    """ConfigurationRequest as the release before `era` has it."""

    version: int


class OldDocument(msgspec.Struct, array_like=True, tag='document'):
    """ConfigurationDocument as the release before `era` has it."""

    version: int
    base: int
    body: bytes


class TestOtherReleases(testtools.TestCase):
    """Messages of the release before, and of this one to it."""

    def decode_old(self, message, kind):
        body = frames.encode(message)[4:]
        return msgspec.msgpack.decode(body, type=kind)

    def test_messages_of_the_release_before_eras_have_none(self):
        new = frames.ConfigurationRequest(3)
        self.assertEqual(new, self.decode_new(OldRequest(3)))
        new = frames.ConfigurationDocument(4, 3, b'{}')
        self.assertEqual(new, self.decode_new(OldDocument(4, 3, b'{}')))
        request = frames.ConfigurationRequest(3, 2, b'd')
        self.assertEqual(OldRequest(3), self.decode_old(request, OldRequest))
        document = frames.ConfigurationDocument(4, 3, b'{}', 2, b'd')
        self.assertEqual(
            OldDocument(4, 3, b'{}'), self.decode_old(document, OldDocument)
        )

    def decode_new(self, message):
        body = msgspec.msgpack.encode(message)
        data = len(body).to_bytes(4, 'big') + body
        (found,) = frames.FrameDecoder().feed(data)
        return found

    def test_older_daemons_ignore_added_fields(self):
        new = frames.Hello(MEMBER, 3, LOAD, (1,), transfers=True)
        found = self.decode_old(new, OldHello)
        self.assertEqual((MEMBER, 3, (1,)), (found.member, 3, found.resume))
        announcement = frames.VersionInForce(4, True, 9)
        found = self.decode_old(announcement, OldVersionInForce)
        self.assertEqual((4, True), (found.version, found.is_reader))

    def test_added_fields_have_defaults_without_them(self):
        old = OldHello(MEMBER, 3, OldLoad(1, 2, 3, 40, 5), (1,))
        found = self.decode_new(old)
        self.assertEqual(frames.Hello(MEMBER, 3, LOAD, (1,)), found)
        self.assertFalse(found.transfers)
        self.assertEqual(
            frames.VersionInForce(4, True),
            self.decode_new(OldVersionInForce(4, True)),
        )


class TestMalformed(testtools.TestCase):
    """Guards against input that ends more than its own connection."""

    @hypothesis.given(
        strategies.recursive(
            strategies.none()
            | strategies.booleans()
            | strategies.integers(-(2**31), 2**31)
            | strategies.text(max_size=8)
            | strategies.binary(max_size=8),
            lambda inner: strategies.lists(inner, max_size=4),
            max_leaves=12,
        )
    )
    def test_any_document_is_a_message_skipped_or_a_value_error(self, item):
        body = msgspec.msgpack.encode(item)
        self.feed(len(body).to_bytes(4, 'big') + body)

    @hypothesis.given(strategies.binary(max_size=64))
    def test_any_bytes_are_messages_or_a_value_error(self, data):
        self.feed(data)
        self.feed(len(data).to_bytes(4, 'big') + data)

    def feed(self, data):
        with contextlib.suppress(ValueError):
            for message in frames.FrameDecoder().feed(data):
                self.assertIsInstance(message, frames.Message)
