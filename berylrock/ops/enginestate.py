"""State of one engine as known to this process."""

from typing import NamedTuple

from berylrock.core import routing
from berylrock.ops import health, notices, pacing

__all__ = ["BrokenRequest", "EngineState"]

# An engine that was unreachable, or whose zone was evacuated, may be cold when it returns.
POSSIBLY_COLD_S = 5.0
# An engine found unreachable within this time after its connections broke counts as crashed.
CRASH_WINDOW_S = 2.0
# For this time after a pause that an engine asked for, it gets no more than a cold one.
PAUSE_RAMP_S = 1.0


class BrokenRequest(NamedTuple):
    """A request whose connection broke before its response was complete.

    Attributes:
      fingerprint: Digest of path, organisation and body.
      shared_parts: Ids of the parts of its prompt that it may share with other requests.
      at: Time at which the connection broke, in seconds on the event loop's clock.
      sent_at: When the request was sent to the engine, on the same clock.
    """

    fingerprint: str
    shared_parts: tuple[str, ...]
    at: float
    sent_at: float


class EngineState:
    """The state of one engine as known to this process.

    Times are in seconds on the event loop's clock.

    Attributes:
      engine: The last record of the engine in the store.
      send_window: Requests sent to the engine within the last second.
      health: Health of the engine, derived from its responses.
      notices: What the engine has said of itself in its answers.
      running: Number of this process's requests that run on the engine.
      work: Work of those requests that have not begun to answer, as in ``enginework``.
      heard_at: Time at which data last arrived from the engine on any connection.
      broken: Requests whose connections broke recently.
      cold_until: Time until which the engine is treated as cold.
      lapsed_at: Time at which its record disappeared around an outage of the store; None if the
        record exists.
    """

    def __init__(self, engine: routing.Engine) -> None:
        self.engine = engine
        self.send_window = pacing.SendWindow()
        self.health = health.EngineHealth()
        self.notices = notices.EngineNotices()
        self.running = 0
        self.work = 0.0
        self.heard_at = 0.0
        self.broken: list[BrokenRequest] = []
        self.cold_until = 0.0
        self.lapsed_at: float | None = None

    def begin(self, work: float, now: float) -> None:
        """Record that a request is sent.

        Args:
          work: The request's work before its first event, as in ``enginework``.
          now: Time in seconds.
        """
        self.running += 1
        self.work += work
        self.send_window.record(now)
        self.notices.limit.take(now)

    def mark_cold(self, now: float, seconds: float = POSSIBLY_COLD_S) -> None:
        """Treat the engine as cold for at least ``seconds`` from now on."""
        self.cold_until = max(self.cold_until, now + seconds)

    def pause(self, seconds: float, now: float) -> None:
        """Send nothing for these seconds, as the engine asked, and few requests right after."""
        self.notices.record_pause(seconds, now)
        self.mark_cold(now, seconds + PAUSE_RAMP_S)

    def record_broken(self, broken: BrokenRequest) -> None:
        """Record that a request's connection broke before its response was complete."""
        self.broken = [item for item in self.broken if broken.at - item.at < CRASH_WINDOW_S]
        self.broken.append(broken)

    def take_broken(self, now: float) -> list[BrokenRequest]:
        """Return and clear the requests that may have crashed an engine found to be unreachable."""
        found = [item for item in self.broken if now - item.at < CRASH_WINDOW_S]
        self.broken.clear()
        return found

    def begin_answer(self, work: float) -> None:
        """Record that a request with this work has begun to answer."""
        self.work = max(0.0, self.work - work)

    def end(self, work: float) -> None:
        """Record that a request has ended; ``work`` is 0 if it had begun to answer."""
        self.running -= 1
        self.work = max(0.0, self.work - work) if self.running else 0.0
