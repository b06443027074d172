"""Settings of the processes and of the operators' commands, with a function to load them."""

import pathlib
from typing import Any, NamedTuple

from berylrock.core import errors
from berylrock.loader import parsing

__all__ = ["EntrySettings", "OperatorSettings", "PlatformSettings", "SidecarSettings", "load"]


class PlatformSettings(NamedTuple):
    """Locations of the platform's services.

    Attributes:
      objects_url: Base URL of the object API.
      vms_url: URL of the VM list.
      environment: Name of the environment whose document is used.
      ratings_url: Base URL of the rating service; empty if there is none.
    """

    objects_url: str
    vms_url: str
    environment: str = "production"
    ratings_url: str = ""


class EntrySettings(NamedTuple):
    """Settings of an entry process.

    Attributes:
      name: The process's name, unique in the fleet.
      zone: The process's availability zone.
      address: IP address to listen on.
      port: TCP port for callers.
      admin_port: TCP port for health checks, readiness checks and operators.
      secret: The secret shared by all processes of the system.
      operator_key_sha256: Hexadecimal SHA-256 digest of the operators' key.
      platform: Locations of the platform's services.
      statsd: ``host:port`` of the statsd server; empty for none.
      policy: Name of the plug-in that chooses the version.
      balancer: Name of the plug-in that chooses the server.
      vms_seconds: Time between two reads of the VM list, in seconds.
      max_body_bytes: Maximum size of a request body, in bytes.
      max_answer_bytes: Maximum size of the body of a plain service's answer, in bytes.
      default_timeout_seconds: Timeout of a request that has none of its own, in seconds.
      drain_seconds: Longest time to wait for running requests on shutdown, in seconds.
      readiness_seconds: Time on shutdown between reporting "not ready" and closing the port, in
        seconds, so that the load balancer notices.
      bill_seconds: Time between two batches of bills, in seconds.
      subset_size: Maximum number of servers of a pool that this process stays connected to.
      rated_share: Share of the answers that are submitted for rating.
      plugins: Names of modules with additional plug-ins.
    """

    name: str
    zone: str
    address: str
    port: int
    admin_port: int
    secret: str
    operator_key_sha256: str
    platform: PlatformSettings
    statsd: str = ""
    policy: str = "cheapest_good_enough"
    balancer: str = "two_choices"
    vms_seconds: float = 1.0
    max_body_bytes: int = 1_000_000
    max_answer_bytes: int = 4_000_000
    default_timeout_seconds: float = 120.0
    drain_seconds: float = 600.0
    readiness_seconds: float = 3.0
    bill_seconds: float = 1.0
    subset_size: int = 64
    rated_share: float = 1.0
    plugins: tuple[str, ...] = ()


class SidecarSettings(NamedTuple):
    """Settings of a sidecar.

    Attributes:
      name: Name of the backend server that the sidecar serves.
      zone: The sidecar's availability zone.
      pool: The pool of the backend server.
      address: IP address to listen on.
      port: TCP port for entry processes.
      admin_port: TCP port for health and readiness checks.
      secret: The secret shared by all processes of the system.
      operator_key_sha256: Hexadecimal SHA-256 digest of the operators' key.
      backend_url: Base URL of the backend server.
      platform: Locations of the platform's services.
      statsd: ``host:port`` of the statsd server; empty for none.
      stall_seconds: Time without data from an engine, in seconds, after which a run counts as
        stalled.
      max_queue: Maximum number of requests queued in the sidecar.
      drain_seconds: Longest time to wait for running requests on shutdown, in seconds.
    """

    name: str
    zone: str
    pool: str
    address: str
    port: int
    admin_port: int
    secret: str
    operator_key_sha256: str
    backend_url: str
    platform: PlatformSettings
    statsd: str = ""
    stall_seconds: float = 5.0
    max_queue: int = 64
    drain_seconds: float = 600.0


class OperatorSettings(NamedTuple):
    """Settings of the operators' commands.

    Attributes:
      platform: Locations of the platform's services.
      operator_key: The operators' key.
      admin_urls: Base URLs of the admin ports of the entry processes and sidecars.
      trial: Locations of the trial environment's services, for ``promote``; None if not used.
    """

    platform: PlatformSettings
    operator_key: str
    admin_urls: tuple[str, ...] = ()
    trial: PlatformSettings | None = None


def load(path: str, settings_type: Any) -> Any:
    """Load a settings file.

    Args:
      path: Path of a file that contains JSON with comments.
      settings_type: ``EntrySettings``, ``SidecarSettings`` or ``OperatorSettings``.

    Returns:
      The settings.

    Raises:
      SettingsError: The file cannot be read or is invalid; the message lists all errors.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as exc:
        raise errors.SettingsError(f"cannot read settings: {exc}; name an existing file") from exc
    cfg, found = parsing.parse(text, path, settings_type)
    if found:
        raise errors.SettingsError("\n".join(str(item) for item in found))
    return cfg
