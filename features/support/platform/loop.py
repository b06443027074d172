"""Runs stand-ins on an event loop of their own, in a thread beside the steps."""

import asyncio
import threading

WAIT_S = 15.0


class LoopThread:
    """An event loop in a thread."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self._thread.start()

    def run(self, coro, timeout_s=WAIT_S):
        """Run a coroutine there and wait for its result."""
        return asyncio.run_coroutine_threadsafe(coro, self.loop).result(timeout_s)

    def call(self, function, *args):
        """Call a function there and wait for its result."""

        async def inner():
            return function(*args)

        return self.run(inner())

    def stop(self):
        """End the loop and what runs on it; a second call does nothing."""
        if self.loop.is_closed():
            return

        async def cancel():
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.run(cancel())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self._thread.join(WAIT_S)
        self.loop.close()
