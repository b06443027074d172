"""Defines the names of the metrics and sends their values to statsd."""

import statsd

__all__ = ["Metrics"]

PREFIX = "berylrock"


class Metrics:
    """Counters and timings of a process; the counters are also kept in memory for ``status``."""

    REQUESTS = "requests"
    ANSWERED = "answered"
    NOT_RUN = "not_run"
    OUTCOME_UNKNOWN = "outcome_unknown"
    RETRIES = "retries"
    RESUMES = "resumes"
    REATTACHED = "reattached"
    LATE_FRAMES = "late_frames_dropped"
    LINKS_LOST = "links_lost"
    ENGINE_CRASHES = "engine_fell"
    REFUSED = "refused"
    PAUSED = "paused"
    CASCADE_ESCALATIONS = "cascades_up"
    STORE_CALLS = "store_calls"
    STORE_ERRORS = "store_errors"
    BILLS_STORED = "bills_stored"
    FIRST_TOKEN = "first_token"
    CALL = "call"

    def __init__(self, target: str, process: str) -> None:
        """Create the metrics of a process.

        Args:
          target: ``host:port`` of the statsd server; empty to send nothing.
          process: Name of the process, which becomes part of the metric names.
        """
        self.counts: dict[str, int] = {}
        self._client: statsd.StatsClient | None = None
        if target:
            host, _, port = target.rpartition(":")
            prefix = f"{PREFIX}.{process.replace('.', '-')}"
            self._client = statsd.StatsClient(host, int(port), prefix=prefix)

    def count(self, name: str, amount: int = 1) -> None:
        """Add an amount to a counter."""
        self.counts[name] = self.counts.get(name, 0) + amount
        if self._client is not None:
            self._client.incr(name, amount)

    def time(self, name: str, seconds: float) -> None:
        """Send a duration, which is not kept in memory."""
        if self._client is not None:
            self._client.timing(name, seconds * 1000.0)
