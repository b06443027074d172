"""Steps on tasks that the timer supervises."""

import asyncio

from behave import then

from berylrock.core import timer


@then("the task runs again after a pause, and each error is reported")
def step_runs_again(context):
    """Run a task that fails twice, then returns."""
    starts, reports = [], []

    async def fail_twice():
        starts.append(asyncio.get_running_loop().time())
        if len(starts) < 3:
            raise KeyError("unexpected")

    async def main():
        timers = timer.Timer(lambda name, **fields: reports.append((name, fields)))
        await timers.supervise(fail_twice)

    asyncio.run(main())
    assert len(starts) == 3 and [name for name, _ in reports] == ["task_failed"] * 2, reports
    pauses_s = [after - before for before, after in zip(starts, starts[1:], strict=False)]
    assert pauses_s[0] >= timer.FIRST_RESTART_PAUSE_S
    assert pauses_s[1] >= 2 * timer.FIRST_RESTART_PAUSE_S


@then("a task that is cancelled or returns does not run again")
def step_no_restart(context):
    """Cancel a task that waits, and let another one return."""
    starts = []

    async def wait():
        starts.append("wait")
        await asyncio.sleep(60.0)

    async def end():
        starts.append("end")

    async def main():
        timers = timer.Timer(lambda name, **fields: None)
        waiting = timers.supervise(wait)
        await timers.supervise(end)
        await asyncio.sleep(0)
        await timers.close()
        assert waiting.cancelled()

    asyncio.run(main())
    assert sorted(starts) == ["end", "wait"], starts
