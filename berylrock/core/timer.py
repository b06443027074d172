"""The timer service: parts subscribe to be called at a steady interval or once after a delay.

One place owns all waiting on time, so that a test can drive it and a stop ends it.
"""

import asyncio
import inspect
import random
from collections.abc import Awaitable, Callable

__all__ = ["Timer"]

JITTER_SHARE = 0.1

Action = Callable[[], Awaitable[None] | None]


class Timer:
    """Calls its subscribers; an error in one is reported and does not stop it."""

    def __init__(self, report: Callable[..., None], seed: int | None = None) -> None:
        """Report errors to ``report(name, **fields)``."""
        self._report = report
        self._random = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()

    def now(self) -> float:
        """Monotonic time in seconds."""
        return asyncio.get_running_loop().time()

    def every(self, seconds: float, action: Action) -> asyncio.Task[None]:
        """Call an action again and again, with a little jitter so that processes do not align.

        Args:
          seconds: Time between the end of one call and the start of the next.
          action: What to call; may be a coroutine function.

        Returns:
          The task; cancel it to unsubscribe.
        """
        return self.spawn(self._repeat(seconds, action))

    def after(self, seconds: float, action: Action) -> asyncio.Task[None]:
        """Call an action once after a delay."""
        return self.spawn(self._delay(seconds, action))

    def spawn(self, coro: Awaitable[None]) -> asyncio.Task[None]:
        """Run a coroutine as a task that the service keeps hold of and can end."""
        task = asyncio.ensure_future(self._guard(coro))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _guard(self, coro: Awaitable[None]) -> None:
        try:
            await coro
        except asyncio.CancelledError:
            raise
        except Exception as exc:
            self._report("task_failed", error=f"{type(exc).__name__}: {exc}")

    async def _repeat(self, seconds: float, action: Action) -> None:
        while True:
            jitter = self._random.uniform(1 - JITTER_SHARE, 1 + JITTER_SHARE)
            await asyncio.sleep(seconds * jitter)
            await self._guard(self._call(action))

    async def _delay(self, seconds: float, action: Action) -> None:
        await asyncio.sleep(seconds)
        await self._call(action)

    async def _call(self, action: Action) -> None:
        result = action()
        if inspect.isawaitable(result):
            await result

    async def close(self) -> None:
        """End all tasks."""
        current = asyncio.current_task()
        tasks = [task for task in self._tasks if task is not current]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
