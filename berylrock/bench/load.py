"""An open-loop load generator that records the arrival time of each token.

A request is sent at its scheduled time whether or not earlier requests have ended, so that the
queueing delay of a slow system is part of the measured latency.
"""

import asyncio
import json
import random
import socket
from collections.abc import AsyncIterator, Callable
from typing import NamedTuple

import aiohttp
import urllib3
from hdrh.histogram import HdrHistogram

__all__ = [
    "Job",
    "LatencyHistograms",
    "Load",
    "RequestResult",
    "open_unread_stream",
    "percentile_ms",
    "poisson_times",
]

MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS = 1, 600_000_000, 3
TIMEOUT_SECONDS = 300.0
UNREAD_BUFFER_BYTES = 16_384


class Job(NamedTuple):
    """A request to send.

    Attributes:
      at: Scheduled time from the start of the load, in seconds.
      url: Base URL of the entry process.
      key: Caller key.
      name: Id of the request.
      prompt: Prompt of a chat; empty for a lookup.
      tokens: Length of the answer, in tokens.
      path: Path of a lookup.
      kind: Kind of request.
      session: Value of the session header; empty for none.
      stream: Whether a chat's answer is streamed.
    """

    at: float
    url: str
    key: str
    name: str
    prompt: str = ""
    tokens: int = 0
    path: str = ""
    kind: str = "default"
    session: str = ""
    stream: bool = True


class RequestResult(NamedTuple):
    """The outcome of a request.

    Attributes:
      job: The request.
      at: Time at which it was sent, from the start of the load, in seconds.
      outcome: Value of the outcome header, or ``broken`` if the connection or stream was cut.
      version: Version that answered.
      first_seconds: Time to the first token, or to the answer of a lookup, in seconds.
      seconds: Time to the end of the answer, in seconds.
      bad: Whether the answer contains the marker of a bad version.
    """

    job: Job
    at: float
    outcome: str
    version: str
    first_seconds: float
    seconds: float
    bad: bool


class LatencyHistograms:
    """Latency histograms of a load, in microseconds.

    Attributes:
      first: Time to the first token of a chat.
      gap: Time between tokens of a chat.
      lookup: Time to the answer of a lookup.
    """

    def __init__(self) -> None:
        self.first = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.gap = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)
        self.lookup = HdrHistogram(MIN_LATENCY_US, MAX_LATENCY_US, SIGNIFICANT_DIGITS)


def percentile_ms(histogram: HdrHistogram, percentile: float) -> float:
    """Return a percentile of a histogram in milliseconds."""
    return histogram.get_value_at_percentile(percentile) / 1000.0


class Load:
    """A running or completed load.

    Attributes:
      latencies: Latency histograms.
      results: Outcomes of the requests, in the order in which they ended.
    """

    def __init__(self) -> None:
        self.latencies = LatencyHistograms()
        self.results: list[RequestResult] = []

    async def run(self, jobs: list[Job], started: Callable[[], None] | None = None) -> None:
        """Send all requests and wait until all of them have ended.

        Args:
          jobs: The requests.
          started: If given, called when the load starts.
        """
        connector = aiohttp.TCPConnector(limit=0)
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_SECONDS)
        async with aiohttp.ClientSession(connector=connector, timeout=timeout) as session:
            loop = asyncio.get_running_loop()
            began = loop.time()
            if started is not None:
                started()
            async with asyncio.TaskGroup() as group:
                for job in sorted(jobs, key=lambda item: item.at):
                    await asyncio.sleep(max(0.0, began + job.at - loop.time()))
                    group.create_task(self._send(session, job, loop.time() - began))

    async def _send(self, session: aiohttp.ClientSession, job: Job, at: float) -> None:
        try:
            if job.prompt:
                await self._chat(session, job, at)
            else:
                await self._lookup(session, job, at)
        except (aiohttp.ClientError, TimeoutError, OSError):
            self.results.append(RequestResult(job, at, "broken", "", 0.0, 0.0, False))

    def _make_headers(self, job: Job) -> dict[str, str]:
        headers = {
            "Authorization": f"Bearer {job.key}",
            "X-Request-Id": job.name,
            "X-Request-Kind": job.kind,
        }
        if job.session:
            headers["X-Session"] = job.session
        return headers

    async def _lookup(self, session: aiohttp.ClientSession, job: Job, at: float) -> None:
        loop = asyncio.get_running_loop()
        sent = loop.time()
        async with session.get(job.url + job.path, headers=self._make_headers(job)) as resp:
            await resp.read()
            outcome = resp.headers.get("X-Berylrock-Outcome", "none")
        seconds = loop.time() - sent
        if outcome == "done":
            self.latencies.lookup.record_value(int(seconds * 1e6))
        self.results.append(RequestResult(job, at, outcome, "", seconds, seconds, False))

    async def _chat(self, session: aiohttp.ClientSession, job: Job, at: float) -> None:
        loop = asyncio.get_running_loop()
        body = {
            "model": "auto",
            "messages": [{"role": "user", "content": job.prompt}],
            "max_tokens": job.tokens,
            "stream": job.stream,
        }
        sent = loop.time()
        url = f"{job.url}/v1/chat/completions"
        data = json.dumps(body).encode()
        async with session.post(url, data=data, headers=self._make_headers(job)) as resp:
            outcome = resp.headers.get("X-Berylrock-Outcome", "none")
            version = resp.headers.get("X-Berylrock-Version", "")
            first = last = 0.0
            ended = bad = False
            if not job.stream:
                await resp.read()
                ended = outcome == "done"
            async for line in _iterate_lines(resp):
                now = loop.time()
                if line.startswith(b"data: [DONE]"):
                    ended = True
                    break
                if b'"content"' not in line:
                    continue
                bad = bad or b"BAD" in line
                if not first:
                    first = now - sent
                    self.latencies.first.record_value(int(first * 1e6))
                else:
                    self.latencies.gap.record_value(max(1, int((now - last) * 1e6)))
                last = now
        if outcome == "done" and not ended:
            outcome = "broken"
        self.results.append(
            RequestResult(job, at, outcome, version, first, loop.time() - sent, bad)
        )


async def _iterate_lines(resp: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    async for line in resp.content:
        yield line


def poisson_times(rate: float, seconds: float, rng: random.Random) -> list[float]:
    """Draw the arrival times of a Poisson process, in seconds.

    Args:
      rate: Mean number of arrivals per second.
      seconds: Duration.
      rng: Random generator.

    Returns:
      The arrival times, in ascending order.
    """
    times = []
    at = rng.expovariate(rate)
    while at < seconds:
        times.append(at)
        at += rng.expovariate(rate)
    return times


async def open_unread_stream(url: str, key: str, tokens: int) -> asyncio.StreamWriter:
    """Request a streamed answer and read nothing of it.

    Args:
      url: Base URL of the entry process.
      key: Caller key.
      tokens: Length of the answer, in tokens.

    Returns:
      The writer of the connection; close it to end the request.
    """
    target = urllib3.util.parse_url(url)
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BUFFER_BYTES)
    sock.setblocking(False)
    await asyncio.get_running_loop().sock_connect(sock, (target.host, target.port))
    _, writer = await asyncio.open_connection(sock=sock, limit=UNREAD_BUFFER_BYTES)
    body = {
        "model": "auto",
        "messages": [{"role": "user", "content": "a long dossier"}],
        "max_tokens": tokens,
        "stream": True,
    }
    data = json.dumps(body).encode()
    head = (
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: {target.host}\r\n"
        f"Authorization: Bearer {key}\r\nContent-Length: {len(data)}\r\n\r\n"
    )
    writer.write(head.encode() + data)
    await writer.drain()
    return writer
