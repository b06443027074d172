"""Draws events as an HTML timeline: a row for each process, a line for each rollout step."""

import html

from berylrock.core import eventlog

__all__ = ["draw"]

WIDTH, ROW_HEIGHT, LEFT_MARGIN = 1200, 26, 150
COLOURS = {
    "attempt_refused": "#d9822b",
    "attempt_failed": "#c23030",
    "request_answered": "#0f9960",
    "request_refused": "#c23030",
    "config_in_force": "#137cbd",
    "rollout_step": "#634dbf",
    "version_found_bad": "#c23030",
}
BAND_COLOURS = ("#eef3f7", "#f7f3ee", "#f1f7ee", "#f6eef7")
DEFAULT_COLOUR = "#8a9ba8"


def draw(events: list[eventlog.Event]) -> str:
    """Draw events as an HTML page.

    Args:
      events: The events, in order of time.

    Returns:
      The page's HTML text.
    """
    if not events:
        return "<!doctype html><p>no events</p>"
    first, last = events[0].time, events[-1].time
    scale = (WIDTH - LEFT_MARGIN - 20) / max(0.001, last - first)
    rows = _order_rows(events)
    parts = _draw_bands(rows)
    parts += _draw_rollouts(events, rows, first, scale)
    for event in events:
        x = LEFT_MARGIN + (event.time - first) * scale
        y = rows.index(event.process) * ROW_HEIGHT + ROW_HEIGHT / 2
        colour = COLOURS.get(event.name, DEFAULT_COLOUR)
        fields = " ".join(f"{key}={value}" for key, value in event.fields.items())
        title = html.escape(f"+{event.time - first:.3f} s {event.name} {fields}")
        parts.append(
            f'<circle cx="{x:.1f}" cy="{y:.1f}" r="4" fill="{colour}"><title>{title}</title>'
            "</circle>"
        )
    height = len(rows) * ROW_HEIGHT
    return (
        "<!doctype html><meta charset=utf-8><title>time line</title>"
        f"<p>{len(events)} events in {last - first:.3f} s</p>"
        f'<svg width="{WIDTH}" height="{height}" font-family="sans-serif" font-size="11">'
        + "".join(parts)
        + "</svg>"
    )


def _find_zones(events: list[eventlog.Event]) -> dict[str, str]:
    return {event.process: str(event.fields["zone"]) for event in events if event.name == "started"}


def _order_rows(events: list[eventlog.Event]) -> list[str]:
    zones = _find_zones(events)
    return sorted({event.process for event in events}, key=lambda name: (zones.get(name, ""), name))


def _draw_bands(rows: list[str]) -> list[str]:
    parts = []
    for index, name in enumerate(rows):
        colour = BAND_COLOURS[index % len(BAND_COLOURS)]
        top = index * ROW_HEIGHT
        parts.append(
            f'<rect x="0" y="{top}" width="{WIDTH}" height="{ROW_HEIGHT}" fill="{colour}"/>'
            f'<text x="4" y="{top + 17}">{html.escape(name)}</text>'
        )
    return parts


def _draw_rollouts(
    events: list[eventlog.Event], rows: list[str], first: float, scale: float
) -> list[str]:
    height = len(rows) * ROW_HEIGHT
    parts = []
    for event in events:
        if event.name == "rollout_step":
            x = LEFT_MARGIN + (event.time - first) * scale
            label = f"{event.fields['version']} {event.fields['percent']:g} %"
            parts.append(
                f'<line x1="{x:.1f}" x2="{x:.1f}" y1="0" y2="{height}" stroke="#634dbf"/>'
                f'<text x="{x + 3:.1f}" y="10" fill="#634dbf">{html.escape(label)}</text>'
            )
    return parts
