"""Tests of the question whether an upstream serves."""

import asyncio
import dataclasses

import testtools

from jujubefold import bodymemory
from jujubefold import callclient
from jujubefold import clock
from jujubefold import mesh
from jujubefold.platform import headers
from jujubefold.sidecar import instance
from jujubefold.sidecar import leavingcheck
from jujubefold.sidecar import versions
from tests import sidecars

Confirmation = instance.Confirmation
SERVING = b'HTTP/1.1 200 OK\r\nX-Instance-Id: i-1\r\nContent-Length: 0\r\n\r\n'
LEAVING = SERVING.replace(b'200 OK', b'503 Draining')
REJECTED = LEAVING.replace(b'\r\nX-I', b'\r\nX-Not-Executed: 1\r\nX-I')
ANONYMOUS = SERVING.replace(b'X-Instance-Id: i-1\r\n', b'')


@dataclasses.dataclass
class Egress:
    pool: callclient.Pool


@dataclasses.dataclass
class Versions:
    current: versions.Configuration


class TestLeavingCheck(testtools.TestCase):
    def ask(self, *answers, path='/live'):
        """Ask an upstream that gives these answers, then the last again.

        Returns:
            The confirmation, and the number of questions.
        """

        async def main():
            remaining = list(answers)
            upstream = sidecars.Upstream()

            async def answer(request, writer):
                data = remaining.pop(0) if len(remaining) > 1 else remaining[0]
                writer.write(data)
                if not data:
                    writer.close()

            upstream.handler = answer
            await upstream.start()
            pool = callclient.Pool(
                upstream.address,
                4,
                clock.SystemClock(),
                bodymemory.Budget(1 << 20),
                1 << 20,
            )
            services = {'pickups': mesh.Service('pickups', path)}
            current = versions.Configuration(mesh.Mesh(1, (), services))
            check = leavingcheck.LeavingCheck(
                Egress(pool),
                Versions(current),
                'pickups',
                headers.NAMES,
                clock.SystemClock(),
            )
            found = await check.ask('i-1')
            pool.close()
            await upstream.stop()
            return found, len(upstream.requests)

        return asyncio.run(main())

    def test_answers_are_understood(self):
        for answer, expected in (
            (SERVING, Confirmation.SERVES),
            (LEAVING, Confirmation.LEAVES),
            (SERVING.replace(b'i-1', b'i-2'), Confirmation.LEAVES),
            (ANONYMOUS, Confirmation.UNKNOWN),
            (SERVING.replace(b'200 OK', b'404 No'), Confirmation.UNKNOWN),
        ):
            self.assertEqual((expected, 1), self.ask(answer), answer)

    def test_a_question_that_was_not_answered_is_asked_again(self):
        for first in (REJECTED, b''):
            self.assertEqual(
                (Confirmation.LEAVES, 2),
                self.ask(first, LEAVING),
            )

    def test_questions_are_bounded(self):
        self.assertEqual(
            (Confirmation.UNKNOWN, leavingcheck.MAX_QUESTIONS),
            self.ask(REJECTED),
        )

    def test_a_path_that_cannot_be_sent_is_not_asked(self):
        for path in ('', 'live', '/a b', '/a\r\nX: y', '/\u20ac'):
            self.assertEqual(
                (Confirmation.UNKNOWN, 0), self.ask(SERVING, path=path)
            )
