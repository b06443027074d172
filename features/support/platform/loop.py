"""Runs stand-ins on an event loop in a background thread, so that steps can be synchronous."""

import asyncio
import threading

TIMEOUT_S = 15.0


class LoopThread:
    """A background thread that runs an asyncio event loop."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()

    def run(self, coro, timeout_s=TIMEOUT_S):
        """Run a coroutine on the event loop and wait for its result.

        Args:
          coro: The coroutine.
          timeout_s: Longest wait, in seconds.
        """
        return asyncio.run_coroutine_threadsafe(coro, self.loop).result(timeout_s)

    def call(self, function, *args):
        """Call a function on the event loop's thread and wait for its result."""

        async def inner():
            return function(*args)

        return self.run(inner())

    def stop(self):
        """Cancel all tasks and close the event loop; do nothing if it is closed already."""
        if self.loop.is_closed():
            return

        async def cancel():
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.run(cancel())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(TIMEOUT_S)
        self.loop.close()
