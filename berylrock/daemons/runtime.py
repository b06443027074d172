"""Builds the services that the other parts of a process share."""

from typing import NamedTuple

from berylrock.adapters import interfaces, platform
from berylrock.core import eventlog, metrics, timer
from berylrock.loader import settings
from berylrock.ops import configuration, strikes

__all__ = ["Runtime", "build"]


class Runtime(NamedTuple):
    """The services that all parts of a process share.

    Attributes:
      log: Writes events.
      meter: Records counts and durations.
      timer: Calls functions periodically and runs tasks.
      config: The configuration document in force.
      objects: The client of the object API.
      strikes: The requests that a backend server was running when it crashed.
    """

    log: eventlog.EventLog
    meter: metrics.Metrics
    timer: timer.Timer
    config: configuration.Configuration
    objects: interfaces.ObjectStore
    strikes: strikes.StrikeTable


def build(name: str, statsd: str, platform_settings: settings.PlatformSettings) -> Runtime:
    """Build the shared services of a process.

    Args:
      name: The process's name.
      statsd: ``host:port`` of the metrics receiver; empty for none.
      platform_settings: The addresses of the platform's services.

    Returns:
      The services.
    """
    log = eventlog.EventLog(name)
    meter = metrics.Metrics(statsd, name)
    return Runtime(
        log,
        meter,
        timer.Timer(log.write),
        configuration.Configuration(log),
        platform.HttpObjectStore(platform_settings.objects_url, meter),
        strikes.StrikeTable(),
    )
