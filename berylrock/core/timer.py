"""Timer that calls actions at regular intervals or once after a delay.

All timed actions of a process go through one timer, so that tests can control them and a shutdown
can cancel them.
"""

import asyncio
import inspect
import random
from collections.abc import Awaitable, Callable

__all__ = ["Timer"]

JITTER_SHARE = 0.1
# Pause before a task that failed runs again. It doubles with each failure, until the task has run
# for ``STABLE_RUN_S``.
FIRST_RESTART_PAUSE_S, MAX_RESTART_PAUSE_S = 0.05, 2.0
STABLE_RUN_S = 10.0

Action = Callable[[], Awaitable[None] | None]


class Timer:
    """Calls scheduled actions; an error in a periodic action is reported and does not stop it."""

    def __init__(self, report: Callable[..., None], seed: int | None = None) -> None:
        """Create a timer.

        Args:
          report: Called as ``report(name, **fields)`` for each error in an action.
          seed: Seed of the random jitter; None for a different sequence in each process.
        """
        self._report = report
        self._random = random.Random(seed)
        self._tasks: set[asyncio.Task[None]] = set()

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return asyncio.get_running_loop().time()

    def every(self, seconds: float, action: Action) -> asyncio.Task[None]:
        """Call an action periodically, with a random jitter so that processes do not synchronise.

        Args:
          seconds: Mean time in seconds between the end of one call and the start of the next.
          action: The function or coroutine function to call.

        Returns:
          The task that makes the calls; cancelling it stops them.
        """
        return self.spawn(self._repeat(seconds, action))

    def after(self, seconds: float, action: Action) -> asyncio.Task[None]:
        """Call an action once, after a delay in seconds."""
        return self.spawn(self._delay(seconds, action))

    def spawn(self, coro: Awaitable[None]) -> asyncio.Task[None]:
        """Run a coroutine as a task that ``close`` cancels; report its errors."""
        task = asyncio.ensure_future(self._report_errors(coro))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def supervise(self, run: Callable[[], Awaitable[None]]) -> asyncio.Task[None]:
        """Run a coroutine function as a task; after an error, report it and run it again.

        Args:
          run: The coroutine function; the task ends when it returns.

        Returns:
          The task; cancelling it stops the coroutine.
        """
        return self.spawn(self._supervise(run))

    async def _supervise(self, run: Callable[[], Awaitable[None]]) -> None:
        pause_s = FIRST_RESTART_PAUSE_S
        while True:
            began = self.now()
            try:
                return await run()
            except asyncio.CancelledError:
                raise
            except Exception as exc:
                self._report("task_failed", error=f"{type(exc).__name__}: {exc}", retry_s=pause_s)
            if self.now() - began > STABLE_RUN_S:
                pause_s = FIRST_RESTART_PAUSE_S
            await asyncio.sleep(pause_s)
            pause_s = min(MAX_RESTART_PAUSE_S, pause_s * 2.0)

    async def _report_errors(self, coro: Awaitable[None]) -> None:
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
            await self._report_errors(self._call(action))

    async def _delay(self, seconds: float, action: Action) -> None:
        await asyncio.sleep(seconds)
        await self._call(action)

    async def _call(self, action: Action) -> None:
        result = action()
        if inspect.isawaitable(result):
            await result

    async def close(self) -> None:
        """Cancel all tasks except the current one and wait for them."""
        current = asyncio.current_task()
        tasks = [task for task in self._tasks if task is not current]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
