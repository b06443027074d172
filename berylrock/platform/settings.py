"""Reads the gateway's settings file, which the platform provides in its own format."""

import os
import pathlib
import tomllib
from typing import Any

from berylrock.core import errors, routing

__all__ = ["PATH_VARIABLE", "default_path", "load"]

PATH_VARIABLE = "BERYLROCK_BOOT"
DEFAULT_PATH = "/etc/berylrock/boot.toml"
MS_PER_S = 1000.0
DEFAULT_HEARTBEAT_MS = 1200


def default_path() -> str:
    """Return the path of the settings file, from the environment or the default."""
    return os.environ.get(PATH_VARIABLE, DEFAULT_PATH)


def _split_address(text: str) -> tuple[str, int]:
    host, _, port = text.rpartition(":")
    return host, int(port)


def _read_bounds(table: dict[str, Any]) -> routing.Bounds:
    base = routing.Bounds()

    def seconds(name: str, default: float) -> float:
        return float(table[name]) / MS_PER_S if name in table else default

    def number(name: str, default: float) -> float:
        return float(table.get(name, default))

    return routing.Bounds(
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


def load(path: str) -> routing.GatewaySettings:
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


def _convert(path: str, table: dict[str, Any]) -> routing.GatewaySettings:
    faults: list[str] = []

    def require(*names: str) -> Any:
        value: Any = table
        for name in names:
            value = value.get(name) if isinstance(value, dict) else None
        if value is None:
            faults.append(f"{path}: {'.'.join(names)}: missing; set it")
        return value

    def address(*names: str) -> tuple[str, int]:
        text = require(*names)
        try:
            return _split_address(text) if text is not None else ("", 0)
        except (ValueError, AttributeError):
            faults.append(f"{path}: {'.'.join(names)}: write it as IP:PORT, not {text!r}")
            return ("", 0)

    def peer_port() -> int:
        ports = require("port-range")
        if isinstance(ports, list) and ports and isinstance(ports[0], int):
            return ports[0]
        if ports is not None:
            faults.append(f"{path}: port-range: write it as [FIRST, LAST], not {ports!r}")
        return 0

    def heartbeat_s() -> float:
        value = table.get("heartbeat-ms", DEFAULT_HEARTBEAT_MS)
        if isinstance(value, int | float) and value > 0:
            return value / MS_PER_S
        faults.append(f"{path}: heartbeat-ms: write milliseconds above 0, not {value!r}")
        return DEFAULT_HEARTBEAT_MS / MS_PER_S

    try:
        bounds = _read_bounds(table.get("bounds", {}))
    except (TypeError, ValueError) as exc:
        faults.append(f"{path}: bounds: each must be a number: {exc}")
        bounds = routing.Bounds()
    cfg = routing.GatewaySettings(
        name=str(require("node-name")),
        zone=str(require("zone")),
        region=str(table.get("region", "")),
        address=str(require("ip")),
        frontend_address=address("listen", "frontend"),
        readiness_address=address("listen", "readiness"),
        store_address=address("platform", "address"),
        peer_port=peer_port(),
        max_fds=int(table.get("limits", {}).get("max-fds", 1024)),
        memory_mb=float(table.get("limits", {}).get("mem-limit-mb", 0.0)),
        link_mbps=float(table.get("limits", {}).get("bandwidth-mbps", 0.0)),
        heartbeat_s=heartbeat_s(),
        bounds=bounds,
    )
    if faults:
        raise errors.SettingsError("\n".join(faults))
    return cfg
