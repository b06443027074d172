"""Each process's settings: its name, address and availability zone, and where the platform is."""

import pathlib
from typing import Any, NamedTuple

from berylrock.core import errors
from berylrock.loader import parsing

__all__ = ["EntrySettings", "OperatorSettings", "PlatformSettings", "SidecarSettings", "load"]


class PlatformSettings(NamedTuple):
    """Where the platform's services are.

    Attributes:
      objects_url: Base URL of the object API.
      vms_url: URL of the VM list.
      ratings_url: URL of the rating service; empty if there is none.
      environment: Which environment's document is in force here.
    """

    objects_url: str
    vms_url: str
    environment: str = "production"
    ratings_url: str = ""


class EntrySettings(NamedTuple):
    """Settings of an entry process.

    Attributes:
      name: Its name, unique in the fleet.
      zone: Its availability zone.
      address: IP number that it listens on.
      port: TCP port for callers.
      admin_port: TCP port for health, readiness and operators.
      secret: The secret shared by all processes of the system.
      operator_key_sha256: Hex SHA-256 of the operators' key.
      platform: Where the platform's services are.
      statsd: ``host:port`` of the metrics receiver; empty for none.
      policy: Name of the plug-in that chooses the version.
      balancer: Name of the plug-in that chooses the server.
      vms_seconds: Time between two readings of the VM list, in seconds.
      max_body_bytes: Largest body of a request.
      max_answer_bytes: Largest body of a plain service's answer.
      default_timeout_seconds: Deadline of a request that names none.
      drain_seconds: Longest wait for running requests at a stop.
      readiness_seconds: Time from unready to the closed port, for the balancer to notice.
      bill_seconds: Time between two batches of bills, in seconds.
      subset_size: Most servers of a pool that this process keeps connections to.
      rated_share: Share of the answers that are handed in to be rated.
      plugins: Modules with further plug-ins.
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
      name: Name of the backend server it stands beside.
      zone: Its availability zone.
      pool: The pool of its backend server.
      address: IP number that it listens on.
      port: TCP port for entry processes.
      admin_port: TCP port for health and readiness.
      secret: The secret shared by all processes of the system.
      operator_key_sha256: Hex SHA-256 of the operators' key.
      backend_url: Base URL of the backend server.
      platform: Where the platform's services are.
      statsd: ``host:port`` of the metrics receiver; empty for none.
      stall_seconds: Silence of an engine after which a run counts as stalled.
      max_queue: Most requests that wait in the sidecar.
      drain_seconds: Longest wait for running requests at a stop.
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
      platform: Where the platform's services are.
      operator_key: The operators' key.
      admin_urls: Base URLs of the admin ports of the entry processes and sidecars.
      trial: Where the trial environment's platform is, for ``promote``.
    """

    platform: PlatformSettings
    operator_key: str
    admin_urls: tuple[str, ...] = ()
    trial: PlatformSettings | None = None


def load(path: str, settings_type: Any) -> Any:
    """Read a settings file.

    Args:
      path: File of JSON with comments.
      settings_type: ``EntrySettings``, ``SidecarSettings`` or ``OperatorSettings``.

    Returns:
      The settings.

    Raises:
      SettingsError: The file cannot be read or is wrong; the message lists every fault.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as exc:
        raise errors.SettingsError(f"cannot read settings: {exc}; name a file that exists") from exc
    cfg, found = parsing.parse(text, path, settings_type)
    if found:
        raise errors.SettingsError("\n".join(str(item) for item in found))
    return cfg
