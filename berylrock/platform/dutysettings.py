"""Reads what the platform asks one gateway at a time to do, from the settings file.

A fault here switches a duty off and is reported; the gateway serves requests all the same.
"""

from typing import Any

from berylrock.core import duties
from berylrock.platform import names

__all__ = ["read_duties"]

MS_PER_S = 1000.0
DEFAULT_LEASE_MS, DEFAULT_CALLS_PER_S = 3000.0, 10.0
KNOWN_DUTIES = (names.METERING, names.AUTOSCALING)


def read_duties(
    table: dict[str, Any], bounds: dict[str, Any], faults: list[str]
) -> duties.DutySettings | None:
    """Read the duties of a deployment.

    Args:
      table: The settings of the service that takes the calls; empty if there is none.
      bounds: The operators' limits.
      faults: A line is added for each fault: what is wrong and how to correct it.

    Returns:
      The duties; None if the gateways have none, or if their settings cannot be used.
    """
    named = table.get("duties", [])
    if not table or not named:
        return None
    if not isinstance(named, list):
        faults.append(f"provider.duties: write a list of names, not {named!r}")
        return None
    for name in named:
        if name not in KNOWN_DUTIES:
            known = ", ".join(KNOWN_DUTIES)
            faults.append(f"provider.duties: {name!r} is not known; use {known}, or leave it out")
    address = _read_address(table.get("address"), faults)
    window_s = _positive(bounds, "report-interval-s", 0.0, faults)
    lease_ms = _positive(bounds, "lease-ms", DEFAULT_LEASE_MS, faults)
    calls_per_s = _positive(table, "duties-per-s", DEFAULT_CALLS_PER_S, faults)
    if address is None or not (lease_ms and calls_per_s):
        return None
    reports_usage = names.METERING in named and window_s > 0.0
    delay_s = _positive(bounds, "usage-delay-s", window_s, faults) if reports_usage else 0.0
    return duties.DutySettings(
        address=address,
        reports_usage=reports_usage,
        calls_per_s=calls_per_s,
        lease_s=lease_ms / MS_PER_S,
        window_s=window_s,
        report_delay_s=delay_s,
    )


def _read_address(value: Any, faults: list[str]) -> tuple[str, int] | None:
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if host and port.isdigit():
        return host, int(port)
    faults.append(f"provider.address: write it as IP:PORT, not {value!r}")
    return None


def _positive(table: dict[str, Any], name: str, default: float, faults: list[str]) -> float:
    """Return a number above 0, or the default; 0 and a fault for anything else."""
    value = table.get(name, default)
    if isinstance(value, int | float) and not isinstance(value, bool) and value > 0:
        return float(value)
    faults.append(f"{name}: write a number above 0, not {value!r}; the duty is left out")
    return 0.0
