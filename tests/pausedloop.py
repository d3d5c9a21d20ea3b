"""Event loop on a paused clock, which it advances to the next timer."""

import asyncio
import selectors

from jujubefold import clock


class _JumpingSelector(selectors.DefaultSelector):
    """Advances the clock by each time-out instead of waiting."""

    def __init__(self, paused):
        super().__init__()
        self._paused = paused

    def select(self, timeout=None):
        if timeout is None:
            raise AssertionError(
                'deadlock: every task waits and no timer is set'
            )
        if timeout > 0:
            self._paused.advance(timeout)
        return super().select(0)


class PausedLoop(asyncio.SelectorEventLoop):
    """Runs timers in order without waiting for them.

    Args:
        paused: A `clock.PausedClock`.
    """

    def __init__(self, paused):
        super().__init__(_JumpingSelector(paused))
        self._paused = paused

    def time(self):
        return self._paused.monotonic()


def run(main, paused=None):
    """Run a coroutine to its end on a loop with a paused clock.

    Args:
        main: Function that is called with the clock and returns the
            coroutine.
        paused: A `clock.PausedClock`, or None for a new one.
    """
    paused = paused or clock.PausedClock()
    with asyncio.Runner(loop_factory=lambda: PausedLoop(paused)) as runner:
        return runner.run(main(paused))
