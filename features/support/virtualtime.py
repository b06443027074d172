"""An event loop whose clock jumps to the next timer, so that pauses and timeouts cost no time."""

import asyncio
import selectors


class _JumpingSelector(selectors.SelectSelector):
    """Adds the time that it is asked to wait to a clock, and does not wait."""

    def __init__(self):
        super().__init__()
        self.now = 0.0

    def select(self, timeout=None):
        """Return what is ready now."""
        assert timeout is not None, "nothing will ever happen"
        self.now += max(0.0, timeout)
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop for tasks that wait for each other and for timers only, never for sockets."""

    def __init__(self):
        self._clock = _JumpingSelector()
        super().__init__(self._clock)

    def time(self):
        """Return the clock's time in seconds."""
        return self._clock.now


def run(main):
    """Run a coroutine on a new loop; what it has started is cancelled then.

    Args:
      main: The coroutine.

    Returns:
      Its result.
    """
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(main)
