"""Latency histograms of a process, for its metrics page."""

from hdrh import histogram

__all__ = ["Histograms"]

MIN_MS, MAX_MS, SIGNIFICANT_DIGITS = 1, 60_000, 2
MS_PER_S = 1000.0
REPORTED_PERCENTILES = (50.0, 95.0, 99.0)


class Histograms:
    """Histograms by name, each created when its first value is recorded."""

    def __init__(self) -> None:
        self._by_name: dict[str, histogram.HdrHistogram] = {}

    def record(self, name: str, seconds: float) -> None:
        """Record a duration, limited to the range from 1 ms to 60 s."""
        recorded = self._by_name.get(name)
        if recorded is None:
            recorded = histogram.HdrHistogram(MIN_MS, MAX_MS, SIGNIFICANT_DIGITS)
            self._by_name[name] = recorded
        recorded.record_value(min(MAX_MS, max(MIN_MS, int(seconds * MS_PER_S))))

    def render(self) -> list[str]:
        """Return text lines such as ``name_ms{quantile="95"} value`` and ``name_count value``."""
        lines = []
        for name, recorded in sorted(self._by_name.items()):
            for percent in REPORTED_PERCENTILES:
                value = recorded.get_value_at_percentile(percent)
                lines.append(f'{name}_ms{{quantile="{percent:g}"}} {value}')
            lines.append(f"{name}_count {recorded.get_total_count()}")
        return lines
