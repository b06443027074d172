"""Measures the CPU time and memory of this process, for the status page and the benchmarks."""

import resource
from typing import TypedDict

__all__ = ["Usage", "read"]

PAGE_BYTES = resource.getpagesize()


class Usage(TypedDict):
    """CPU time in seconds since the start of the process, and resident memory in bytes."""

    cpu_seconds: float
    rss_bytes: int


def read() -> Usage:
    """Read the usage of this process."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    with open("/proc/self/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return Usage(cpu_seconds=usage.ru_utime + usage.ru_stime, rss_bytes=pages * PAGE_BYTES)
