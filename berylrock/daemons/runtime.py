"""The parts that every process has and its other parts share."""

from typing import NamedTuple

from berylrock.adapters import interfaces, platform
from berylrock.core import eventlog, metrics, timer
from berylrock.loader import settings
from berylrock.ops import configuration, strikes

__all__ = ["Runtime", "build"]


class Runtime(NamedTuple):
    """What every part of a process may use.

    Attributes:
      log: Writes events.
      meter: Counts and times.
      timer: Calls back and runs tasks.
      config: The document in force.
      objects: The object API.
      strikes: Requests that were held when a backend server fell.
    """

    log: eventlog.EventLog
    meter: metrics.Metrics
    timer: timer.Timer
    config: configuration.Configuration
    objects: interfaces.ObjectStore
    strikes: strikes.StrikeTable


def build(name: str, statsd: str, platform_settings: settings.PlatformSettings) -> Runtime:
    """Make the shared parts of a process.

    Args:
      name: The process's name.
      statsd: ``host:port`` of the metrics receiver; empty for none.
      where: Where the platform's services are.

    Returns:
      The parts.
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
