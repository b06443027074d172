"""A client of the router that checks whether each answer is complete and its own."""

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
    """The outcome of a request, as its caller observed it.

    Attributes:
      request_id: Id of the request.
      status: HTTP status code; 0 if the connection failed.
      outcome: Value of the outcome header, or ``broken`` if the connection or stream was cut.
      body: Response body, or the concatenated text of a streamed answer.
      headers: Response headers.
      complete: Whether the answer is complete and belongs to this request.
      first_seconds: Time from sending to the first token, in seconds.
      gaps: Times between consecutive tokens, in seconds.
      seconds: Time from sending to the end of the answer, in seconds.
      detail: Error message; empty if there was none.
    """

    request_id: str
    status: int
    outcome: str
    body: str
    headers: dict[str, str]
    complete: bool
    first_seconds: float = 0.0
    gaps: tuple[float, ...] = ()
    seconds: float = 0.0
    detail: str = ""


class Caller:
    """A client that sends requests of one organisation to one entry process."""

    def __init__(self, base_url: str, key: str) -> None:
        self._base = base_url
        self._key = key
        options = [(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)]
        self._http = urllib3.PoolManager(retries=False, maxsize=64, socket_options=options)

    def _headers(self, request_id: str, extra_headers: dict[str, str]) -> dict[str, str]:
        headers = {"Authorization": f"Bearer {self._key}", **extra_headers}
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
        """Send a chat completion request and check the answer.

        Args:
          prompt: Text of the user message.
          tokens: Length of the answer, in tokens.
          request_id: Id of the request; empty to let the router generate one.
          stream: Whether to request the answer as server-sent_at events.
          model: Value of the ``model`` field of the request.
          timeout: Maximum time without data from the router, in seconds.
          hold: If given, the stream is not read until this event is set.
          **headers: Additional request headers; ``_`` in a name is replaced by ``-``.

        Returns:
          The outcome. A transport error is returned as ``broken``, not raised.
        """
        body = {
            "model": model,
            "messages": [{"role": "user", "content": prompt}],
            "max_tokens": tokens,
            "stream": stream,
        }
        extra_headers = {name.replace("_", "-"): value for name, value in headers.items()}
        sent_at = time.monotonic()
        try:
            resp = self._http.request(
                "POST",
                f"{self._base}/v1/chat/completions",
                body=json.dumps(body).encode(),
                headers=self._headers(request_id, extra_headers),
                timeout=timeout,
                preload_content=False,
            )
            if resp.status != 200 or not stream:
                return self._read_full_response(resp, prompt, tokens, request_id, sent_at)
            if hold is not None:
                hold.wait()
            return self._read_stream(resp, prompt, tokens, request_id, sent_at)
        except urllib3.exceptions.HTTPError as exc:
            return Result(request_id, 0, "broken", "", {}, False, detail=str(exc))

    def _read_full_response(
        self, resp: Any, prompt: str, tokens: int, request_id: str, sent_at: float
    ) -> Result:
        data = resp.read()
        resp.release_conn()
        text = data.decode()
        complete = False
        if resp.status == 200:
            text = json.loads(data)["choices"][0]["message"]["content"]
            complete = _is_complete(text, prompt, tokens)
        headers = dict(resp.headers)
        outcome = headers.get("X-Berylrock-Outcome", "none")
        seconds = time.monotonic() - sent_at
        return Result(request_id, resp.status, outcome, text, headers, complete, seconds=seconds)

    def _read_stream(
        self, resp: Any, prompt: str, tokens: int, request_id: str, sent_at: float
    ) -> Result:
        text, done_received, detail = "", False, ""
        first = last = 0.0
        gaps = []
        for line in resp:
            if not line.startswith(b"data: "):
                continue
            event_data = line[6:].strip()
            if event_data == b"[DONE]":
                done_received = True
                break
            event = json.loads(event_data)
            if "error" in event:
                detail = event["error"]["message"]
                continue
            now = time.monotonic()
            if last:
                gaps.append(now - last)
            first = first or now - sent_at
            last = now
            for choice in event["choices"]:
                text += choice["delta"].get("content") or ""
        resp.release_conn() if done_received else resp.close()
        headers = dict(resp.headers)
        outcome = "done" if done_received else "unknown-not-repeated" if detail else "broken"
        return Result(
            request_id,
            resp.status,
            outcome,
            text,
            headers,
            done_received and _is_complete(text, prompt, tokens),
            first,
            tuple(gaps),
            time.monotonic() - sent_at,
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
        """Call a plain service and check that the answer echoes the body that was sent_at."""
        extra_headers = {name.replace("_", "-"): value for name, value in headers.items()}
        if key:
            extra_headers["Idempotency-Key"] = key
        sent_at = time.monotonic()
        try:
            resp = self._http.request(
                method,
                f"{self._base}/services/{service}{path}",
                body=body.encode() if body else None,
                headers=self._headers(request_id, extra_headers),
                timeout=timeout,
            )
        except urllib3.exceptions.HTTPError as exc:
            return Result(request_id, 0, "broken", "", {}, False, detail=str(exc))
        response_headers = dict(resp.headers)
        text = resp.data.decode()
        outcome = response_headers.get("X-Berylrock-Outcome", "none")
        complete = resp.status == 200 and json.loads(text).get("echo") == body
        return Result(
            request_id,
            resp.status,
            outcome,
            text,
            response_headers,
            complete,
            seconds=time.monotonic() - sent_at,
        )


def _is_complete(text: str, prompt: str, tokens: int) -> bool:
    expected = engine.expected_text(prompt, tokens)
    return text.replace(engine.BAD_VERSION_MARKER, "") == expected
