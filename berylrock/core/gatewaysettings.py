"""Settings of a gateway process, as the package ``platform`` reads them from the platform's file.

Times are in seconds unless a field says otherwise.
"""

from typing import NamedTuple

from berylrock.core import duties

__all__ = ["Bounds", "GatewaySettings"]


class Bounds(NamedTuple):
    """Guarantees of the operators to their callers, as limits that the gateway must keep.

    Attributes:
      contact_s: Time after which a process that has not been disturbed must keep all other limits.
      drain_s: Longest time for which a draining engine may still get new requests.
      grace_s: Time from SIGTERM to SIGKILL.
      config_apply_s: Longest time until a new configuration is in force.
      revoke_s: Longest time for which a revoked key may still be served.
      retry_ratio: Maximum number of retries at a service, as a share of its requests.
      retry_window_s: Length of the window in which retries are counted.
      retry_extra: Retries allowed in each window in addition to that share.
      canary_share: Maximum share of a service's requests that a version on trial may get.
      canary_margin: Requests that a version on trial may get in addition to that share.
      warmup_overrun: Factor on the request rate that an engine can serve while it is cold.
      warmup_margin: Requests per second allowed in addition to that rate.
      evacuate_s: Longest time for which an availability zone taken out of service may still get
        new requests.
      session_ttl_s: Idle time after which a session's next request starts a new session.
      retry_after_s: Time for which an engine that read a prompt part is assumed to keep it.
    """

    contact_s: float = 3.0
    drain_s: float = 2.0
    grace_s: float = 8.0
    config_apply_s: float = 2.0
    revoke_s: float = 5.0
    retry_ratio: float = 0.9
    retry_window_s: float = 10.0
    retry_extra: float = 50.0
    canary_share: float = 0.15
    canary_margin: float = 30.0
    warmup_overrun: float = 1.5
    warmup_margin: float = 5.0
    evacuate_s: float = 5.0
    session_ttl_s: float = 5.0
    retry_after_s: float = 7.0


class GatewaySettings(NamedTuple):
    """Settings of a gateway process, from the platform's settings file.

    Attributes:
      name: Name of the VM.
      zone: The VM's availability zone.
      region: The VM's region.
      address: The VM's IP address.
      frontend_address: ``(address, port)`` on which callers connect.
      readiness_address: ``(address, port)`` for the load balancer's readiness checks.
      store_address: ``(address, port)`` of the platform's store.
      peer_port: UDP and TCP port for messages between gateways, the same on all VMs.
      max_fds: Maximum number of file descriptors.
      memory_mb: Memory limit of the process, in MB; 0 if not given.
      link_mbps: Bandwidth of the VM's link, in Mbit/s; 0 if not given.
      heartbeat_s: Interval in which engines renew their records in the store.
      bounds: The limits that the gateway must keep.
      usage_port: TCP port for counts of requests from other gateways; 0 if there is none.
      duty_cfg: What the platform asks one gateway at a time to do; None for nothing.
      faults: What is wrong with settings that the gateway can do without, and how to correct it.
    """

    name: str
    zone: str
    region: str
    address: str
    frontend_address: tuple[str, int]
    readiness_address: tuple[str, int]
    store_address: tuple[str, int]
    peer_port: int
    max_fds: int
    memory_mb: float
    link_mbps: float
    heartbeat_s: float
    bounds: Bounds
    usage_port: int = 0
    duty_cfg: duties.DutySettings | None = None
    faults: tuple[str, ...] = ()
