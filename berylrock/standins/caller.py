"""A caller of the router that judges each answer: whole, its own, and how it ended."""

import json
import socket
import threading
import time
from typing import Any, NamedTuple

import urllib3

from berylrock.standins import engine

__all__ = ["Caller", "Result"]

DEFAULT_TIMEOUT_SECONDS = 60.0
RECEIVE_BUFFER_BYTES = 16_384


class Result(NamedTuple):
    """How a request ended, as its caller saw it.

    Attributes:
      request_id: Its id.
      status: HTTP status; 0 if the connection broke.
      outcome: The outcome header, or ``broken``.
      body: The body, or the text of a streamed answer.
      headers: The answer's headers.
      whole: Whether the answer is whole and the request's own.
      first_seconds: Time to the first token.
      gaps: Times between tokens, in seconds.
      seconds: Time to the end.
      detail: What was wrong.
    """

    request_id: str
    status: int
    outcome: str
    body: str
    headers: dict[str, str]
    whole: bool
    first_seconds: float = 0.0
    gaps: tuple[float, ...] = ()
    seconds: float = 0.0
    detail: str = ""


class Caller:
    """Sends requests of one organisation to one entry process."""

    def __init__(self, base_url: str, key: str) -> None:
        self._base = base_url
        self._key = key
        options = [(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)]
        self._http = urllib3.PoolManager(retries=False, maxsize=64, socket_options=options)

    def _headers(self, request_id: str, extra: dict[str, str]) -> dict[str, str]:
        headers = {"Authorization": f"Bearer {self._key}", **extra}
        if request_id:
            headers["X-Request-Id"] = request_id
        return headers

    def chat(
        self,
        prompt: str,
        tokens: int = 8,
        request_id: str = "",
        stream: bool = True,
        model: str = "auto",
        timeout: float = DEFAULT_TIMEOUT_SECONDS,
        hold: threading.Event | None = None,
        **headers: str,
    ) -> Result:
        """Ask a model and check the answer.

        Args:
          prompt: The prompt.
          tokens: Length of the answer.
          request_id: Id of the request; empty to let the router make one.
          stream: Whether to read server-sent events.
          model: What to ask for.
          timeout: Longest silence.
          hold: If given, the stream is not read before this is set.
          **headers: Further headers, with ``_`` for ``-``.
        """
        body = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": stream,
        }
        extra = {name.replace("_", "-"): value for name, value in headers.items()}
        sent = time.monotonic()
        try:
            resp = self._http.request(
                "POST",
                f"{self._base}/v1/chat/completions",
                body=json.dumps(body).encode(),
                headers=self._headers(request_id, extra),
                timeout=timeout,
                preload_content=False,
            )
            if resp.status != 200 or not stream:
                return self._read_whole(resp, prompt, tokens, request_id, sent)
            if hold is not None:
                hold.wait()
            return self._read_stream(resp, prompt, tokens, request_id, sent)
        except urllib3.exceptions.HTTPError as exc:
            return Result(request_id, 0, "broken", "", {}, False, detail=str(exc))

    def _read_whole(
        self, resp: Any, prompt: str, tokens: int, request_id: str, sent: float
    ) -> Result:
        data = resp.read()
        resp.release_conn()
        text = data.decode()
        whole = False
        if resp.status == 200:
            text = json.loads(data)["choices"][0]["message"]["content"]
            whole = _is_whole(text, prompt, tokens)
        headers = dict(resp.headers)
        outcome = headers.get("X-Berylrock-Outcome", "none")
        seconds = time.monotonic() - sent
        return Result(request_id, resp.status, outcome, text, headers, whole, seconds=seconds)

    def _read_stream(
        self, resp: Any, prompt: str, tokens: int, request_id: str, sent: float
    ) -> Result:
        text, ended, detail = "", False, ""
        first = last = 0.0
        gaps = []
        for line in resp:
            if not line.startswith(b"data: "):
                continue
            payload = line[6:].strip()
            if payload == b"[DONE]":
                ended = True
                break
            event = json.loads(payload)
            if "error" in event:
                detail = event["error"]["message"]
                continue
            now = time.monotonic()
            if last:
                gaps.append(now - last)
            first = first or now - sent
            last = now
            for choice in event["choices"]:
                text += choice["delta"].get("content") or ""
        resp.release_conn() if ended else resp.close()
        headers = dict(resp.headers)
        outcome = "done" if ended else "unknown-not-repeated" if detail else "broken"
        return Result(
            request_id,
            resp.status,
            outcome,
            text,
            headers,
            ended and _is_whole(text, prompt, tokens),
            first,
            tuple(gaps),
            time.monotonic() - sent,
            detail,
        )

    def call(
        self,
        service: str,
        method: str,
        path: str,
        body: str = "",
        key: str = "",
        request_id: str = "",
        timeout: float = DEFAULT_TIMEOUT_SECONDS,
        **headers: str,
    ) -> Result:
        """Call a plain service and check that the answer is the call's own."""
        extra = {name.replace("_", "-"): value for name, value in headers.items()}
        if key:
            extra["Idempotency-Key"] = key
        sent = time.monotonic()
        try:
            resp = self._http.request(
                method,
                f"{self._base}/services/{service}{path}",
                body=body.encode() if body else None,
                headers=self._headers(request_id, extra),
                timeout=timeout,
            )
        except urllib3.exceptions.HTTPError as exc:
            return Result(request_id, 0, "broken", "", {}, False, detail=str(exc))
        found = dict(resp.headers)
        text = resp.data.decode()
        outcome = found.get("X-Berylrock-Outcome", "none")
        whole = resp.status == 200 and json.loads(text).get("echo") == body
        return Result(
            request_id, resp.status, outcome, text, found, whole, seconds=time.monotonic() - sent
        )


def _is_whole(text: str, prompt: str, tokens: int) -> bool:
    expected = engine.expected_text(prompt, tokens)
    return text.replace(engine.BAD_VERSION_MARKER, "") == expected
