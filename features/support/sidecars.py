"""Makes the part of a sidecar that runs requests, without a process."""

import types

from berylrock.adapters import interfaces
from berylrock.core import metrics
from berylrock.daemons.sidecar import entrylinks, process, runner
from berylrock.ops import buffering, strikes

# Time without data from an engine after which a run counts as stalled, in seconds.
TIMEOUT_S = 2.0


class PollResult:
    """State of a server that answers its polls."""

    reachable = True
    report = interfaces.LoadReport("one", ("m@v1",))

    def __init__(self, server, kind):
        self.server = server
        self.warmup = types.SimpleNamespace(pool=types.SimpleNamespace(kind=kind))

    async def poll(self):
        """Learn nothing new."""

    async def has_crashed(self, incarnation):
        """Tell that it has not."""
        return False


class Places:
    """Admission that lets everything in and counts what runs."""

    def __init__(self):
        self.running = set()

    async def acquire(self, start):
        """Let it run."""
        self.running.add(start.attempt)

    def record_first_token(self, attempt):
        """Keep nothing."""

    def release(self, attempt):
        """Take its place back."""
        self.running.discard(attempt)


def make_buffers():
    """Return a budget as a sidecar has it."""
    return buffering.BufferBudget(process.BUFFER_BYTES)


def make_runner(server, kind="engine"):
    """Return a runner for a server of this kind of pool, with nothing around it that matters."""
    log = types.SimpleNamespace(write=lambda name, **fields: None)
    shared = types.SimpleNamespace(
        config=types.SimpleNamespace(version=1, doc=None),
        strikes=strikes.StrikeTable(),
        log=log,
        meter=metrics.Metrics("", "test"),
    )
    cfg = types.SimpleNamespace(max_queue=1, stall_seconds=TIMEOUT_S, name="sidecar", pool="m")
    made = runner.Runner(cfg, shared, PollResult(server, kind), make_buffers())
    made.admission = Places()
    made.check = lambda start: None
    return made


class Clock:
    """A timer service whose time is set by the scenario.

    Attributes:
      at: The time, in seconds.
    """

    def __init__(self):
        self.at = 0.0

    def now(self):
        """Return the time."""
        return self.at


def make_links():
    """Return the links of a sidecar to entry processes, its runner and its clock."""
    made, clock = make_runner(None), Clock()
    shared = types.SimpleNamespace(
        config=types.SimpleNamespace(version=1), strikes=None, timer=clock, log=None
    )
    cfg = types.SimpleNamespace(name="sidecar")
    return entrylinks.EntryLinks(cfg, shared, made, None), made, clock
