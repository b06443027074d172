"""Reads whole bodies from other processes, with limits on their bytes and their time.

All clients read bodies here, whatever library their connection is from: a server in trouble may
send bytes without end, or a byte now and then.
"""

import time
from collections.abc import Awaitable, Callable, Iterable

from berylrock.core import errors
from berylrock.ops import buffering

__all__ = ["BodyTooSlow", "read", "read_blocking", "read_start"]


class BodyTooSlow(errors.BerylrockError):
    """A body did not end in time; check the server that sends it."""


async def read(body: buffering.Body, next_part: Callable[[], Awaitable[bytes]]) -> bytes:
    """Read a body to its end.

    Args:
      body: Collects the body; it stays counted until it is released, and is released on an error.
      next_part: Waits for the next bytes; returns none at the end.

    Returns:
      The body.

    Raises:
      BodyTooLarge: The body is larger than its limit.
      BodyGivenUp: There is no memory for it.
    """
    try:
        while part := await next_part():
            body.add(part)
        return body.finish()
    except BaseException:
        body.release()
        raise


async def read_start(
    body: buffering.Body, next_part: Callable[[], Awaitable[bytes]], size: int
) -> bytes:
    """Read the first bytes of a body, of which the rest is not of interest.

    Args:
      body: Collects the bytes, and is released.
      next_part: Waits for the next bytes; returns none at the end.
      size: Number of bytes after which reading stops.

    Returns:
      The bytes, about as many as wanted, or fewer if the body ends before.
    """
    try:
        while body.size < size and (part := await next_part()):
            body.add(part[: size - body.size])
        return body.finish()
    finally:
        body.release()


def read_blocking(body: buffering.Body, parts: Iterable[bytes], expires_at: float) -> bytes:
    """Read a body to its end, in a thread that may wait.

    Args:
      body: Collects the body, and is released.
      parts: Waits for the next bytes at each step.
      expires_at: Time by which the body must have ended, on the monotonic clock.

    Returns:
      The body.

    Raises:
      BodyTooLarge: The body is larger than its limit.
      BodyGivenUp: There is no memory for it.
      BodyTooSlow: It did not end in time.
    """
    try:
        for part in parts:
            body.add(part)
            if time.monotonic() > expires_at:
                raise BodyTooSlow("body did not end in time; check the server that sends it")
        return body.finish()
    finally:
        body.release()
