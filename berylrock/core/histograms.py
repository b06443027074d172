"""Latency histograms of one process, by name, for the metrics page."""

from hdrh import histogram

__all__ = ["Histograms"]

LOWEST_MS, HIGHEST_MS, DIGITS = 1, 60_000, 2
MS_PER_S = 1000.0
REPORTED_PERCENTILES = (50.0, 95.0, 99.0)


class Histograms:
    """Histograms that are made when their name first occurs."""

    def __init__(self) -> None:
        self._by_name: dict[str, histogram.HdrHistogram] = {}

    def record(self, name: str, seconds: float) -> None:
        """Record a duration."""
        found = self._by_name.get(name)
        if found is None:
            found = histogram.HdrHistogram(LOWEST_MS, HIGHEST_MS, DIGITS)
            self._by_name[name] = found
        found.record_value(min(HIGHEST_MS, max(LOWEST_MS, int(seconds * MS_PER_S))))

    def render(self) -> list[str]:
        """Lines of text: ``name_ms{quantile="95"} value`` and the count."""
        lines = []
        for name, found in sorted(self._by_name.items()):
            for percent in REPORTED_PERCENTILES:
                value = found.get_value_at_percentile(percent)
                lines.append(f'{name}_ms{{quantile="{percent:g}"}} {value}')
            lines.append(f"{name}_count {found.get_total_count()}")
        return lines
