"""What this process has used of processor time and memory, for status and the bench."""

import resource
from typing import TypedDict

__all__ = ["Usage", "read"]

PAGE_BYTES = resource.getpagesize()


class Usage(TypedDict):
    """Processor time in seconds since the start, and memory resident now, in bytes."""

    cpu_seconds: float
    rss_bytes: int


def read() -> Usage:
    """Read this process's usage."""
    used = resource.getrusage(resource.RUSAGE_SELF)
    with open("/proc/self/statm", encoding="ascii") as file:
        pages = int(file.read().split()[1])
    return Usage(cpu_seconds=used.ru_utime + used.ru_stime, rss_bytes=pages * PAGE_BYTES)
