"""Reads the gateway's settings file, which the platform provides in its own format."""

import os
import pathlib
import tomllib
from typing import Any

from berylrock.core import duties, errors, gatewaysettings
from berylrock.platform import dutysettings

__all__ = ["PATH_VARIABLE", "default_path", "load"]

PATH_VARIABLE = "BERYLROCK_BOOT"
DEFAULT_PATH = "/etc/berylrock/boot.toml"
MS_PER_S = 1000.0
DEFAULT_HEARTBEAT_MS, DEFAULT_MAX_FDS = 1200, 1024


def default_path() -> str:
    """Return the path of the settings file, from the environment or the default."""
    return os.environ.get(PATH_VARIABLE, DEFAULT_PATH)


def _split_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def _read_bounds(table: dict[str, Any]) -> gatewaysettings.Bounds:
    base = gatewaysettings.Bounds()

    def seconds(name: str, default: float) -> float:
        return float(table[name]) / MS_PER_S if name in table else default

    def number(name: str, default: float) -> float:
        return float(table.get(name, default))

    return gatewaysettings.Bounds(
        contact_s=seconds("contact-ms", base.contact_s),
        drain_s=seconds("drain-timeout-ms", base.drain_s),
        grace_s=number("grace-s", base.grace_s),
        config_apply_s=seconds("config-apply-ms", base.config_apply_s),
        revoke_s=seconds("revoke-timeout-ms", base.revoke_s),
        retry_ratio=number("retry-ratio", base.retry_ratio),
        retry_window_s=number("retry-window-s", base.retry_window_s),
        retry_extra=number("retry-extra", base.retry_extra),
        canary_share=number("canary-share", base.canary_share),
        canary_margin=number("canary-margin", base.canary_margin),
        warmup_overrun=number("warmup-overrun", base.warmup_overrun),
        warmup_margin=number("warmup-margin", base.warmup_margin),
        evacuate_s=seconds("evacuate-ms", base.evacuate_s),
        session_ttl_s=number("session-ttl-s", base.session_ttl_s),
        # The platform names this bound after the wait that it was first used for.
        retry_after_s=number("retry-after-s", base.retry_after_s),
    )


def load(path: str) -> gatewaysettings.GatewaySettings:
    """Read the settings of a gateway.

    Args:
      path: Path of the settings file, in TOML.

    Returns:
      The settings.

    Raises:
      SettingsError: The file cannot be read or is invalid; the message lists every fault.
    """
    try:
        table = tomllib.loads(pathlib.Path(path).read_text(encoding="utf-8"))
    except (OSError, ValueError) as exc:
        remedy = f"name a readable TOML file in {PATH_VARIABLE}"
        raise errors.SettingsError(f"cannot read settings {path}: {exc}; {remedy}") from exc
    return _convert(path, table)


class _Table:
    """The settings as read from the file, and the faults that are found in them.

    Each method returns a value of the right type in any case, and adds a line to ``faults`` if it
    is not the one that the file should have.

    Attributes:
      faults: What is wrong and how to correct it.
      notices: The same for settings that the gateway can do without.
    """

    def __init__(self, path: str, table: dict[str, Any]) -> None:
        self.faults: list[str] = []
        self.notices: list[str] = []
        self._path = path
        self._table = table

    def require(self, *names: str) -> Any:
        """Return the value at a path of names; None if it is missing."""
        value: Any = self._table
        for name in names:
            value = value.get(name) if isinstance(value, dict) else None
        if value is None:
            self._add_fault(names, "missing; set it")
        return value

    def address(self, *names: str) -> tuple[str, int]:
        """Return the address and port at a path of names."""
        text = self.require(*names)
        try:
            return _split_address(text) if text is not None else ("", 0)
        except (ValueError, AttributeError):
            self._add_fault(names, f"write it as IP:PORT, not {text!r}")
            return ("", 0)

    def peer_port(self) -> int:
        """Return the port for messages between gateways."""
        ports = self.require("port-range")
        if isinstance(ports, list) and ports and isinstance(ports[0], int):
            return ports[0]
        if ports is not None:
            self._add_fault(("port-range",), f"write it as [FIRST, LAST], not {ports!r}")
        return 0

    def usage_port(self) -> int:
        """Return the port for counts of requests from other gateways; 0 if there is no second."""
        ports = self._table.get("port-range")
        if not isinstance(ports, list) or len(ports) < 2:
            return 0
        return ports[0] + 1 if ports[1] > ports[0] else 0

    def duty_cfg(self) -> duties.DutySettings | None:
        """Return what the platform asks one gateway at a time to do; None for nothing."""
        provider = self._table.get("provider", {})
        found = dutysettings.read_duties(provider, self._table.get("bounds", {}), self.notices)
        if found is not None and not self.usage_port():
            self.notices.append("port-range: give it two ports or more, for the counts of usage")
            return None
        return found

    def heartbeat_s(self) -> float:
        """Return the interval in which engines renew their records, in seconds."""
        value = self._table.get("heartbeat-ms", DEFAULT_HEARTBEAT_MS)
        if isinstance(value, int | float) and value > 0:
            return value / MS_PER_S
        self._add_fault(("heartbeat-ms",), f"write milliseconds above 0, not {value!r}")
        return DEFAULT_HEARTBEAT_MS / MS_PER_S

    def bounds(self) -> gatewaysettings.Bounds:
        """Return the limits that the gateway must keep."""
        try:
            return _read_bounds(self._table.get("bounds", {}))
        except (TypeError, ValueError) as exc:
            self._add_fault(("bounds",), f"each must be a number: {exc}")
            return gatewaysettings.Bounds()

    def limit(self, name: str, default: float) -> float:
        """Return a limit of the VM."""
        return float(self._table.get("limits", {}).get(name, default))

    def region(self) -> str:
        """Return the VM's region; empty if it has none."""
        return str(self._table.get("region", ""))

    def _add_fault(self, names: tuple[str, ...], text: str) -> None:
        self.faults.append(f"{self._path}: {'.'.join(names)}: {text}")


def _convert(path: str, table: dict[str, Any]) -> gatewaysettings.GatewaySettings:
    found = _Table(path, table)
    cfg = gatewaysettings.GatewaySettings(
        name=str(found.require("node-name")),
        zone=str(found.require("zone")),
        region=found.region(),
        address=str(found.require("ip")),
        frontend_address=found.address("listen", "frontend"),
        readiness_address=found.address("listen", "readiness"),
        store_address=found.address("platform", "address"),
        peer_port=found.peer_port(),
        max_fds=int(found.limit("max-fds", DEFAULT_MAX_FDS)),
        memory_mb=found.limit("mem-limit-mb", 0.0),
        link_mbps=found.limit("bandwidth-mbps", 0.0),
        heartbeat_s=found.heartbeat_s(),
        bounds=found.bounds(),
        usage_port=found.usage_port(),
        duty_cfg=found.duty_cfg(),
    )
    if found.faults:
        raise errors.SettingsError("\n".join(found.faults))
    return cfg._replace(faults=tuple(f"{path}: {item}" for item in found.notices))
