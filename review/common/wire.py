"""HTTP/1.1 as the stand-ins speak it: heads, and bodies with a length."""

import asyncio

REASONS = {200: "OK", 404: "Not Found", 409: "Conflict", 410: "Gone", 503: "Unavailable"}


async def read_head(reader):
    """Read a head; returns its first line and its headers by lower-case name.

    Raises:
      EOFError: The peer closed the connection before a head.
    """
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError) as exc:
        raise EOFError(repr(exc)) from exc
    first, *lines = data.decode("latin-1")[:-4].split("\r\n")
    pairs = [line.partition(":") for line in lines]
    return first, {name.strip().lower(): value.strip() for name, _, value in pairs}


async def read_request(reader):
    """Read a request; returns method, target, headers and body."""
    first, headers = await read_head(reader)
    method, target, _ = first.split(" ", 2)
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return method, target, headers, body


def make_response(status, headers, body):
    """Return the bytes of a response; ``headers`` are pairs of names and values."""
    lines = [f"HTTP/1.1 {status} {REASONS.get(status, 'Status')}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


def make_request(method, target, headers, body=b""):
    """Return the bytes of a request; ``headers`` are pairs of names and values."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
