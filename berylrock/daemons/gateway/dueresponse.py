"""Reads the head of the response that is due on a connection, past copies of earlier answers."""

from collections.abc import Awaitable, Callable
from typing import NamedTuple

import h11

from berylrock.adapters import http1
from berylrock.core import routing
from berylrock.daemons.gateway import context, pool
from berylrock.ops import answers
from berylrock.platform import translating

__all__ = ["CopiesWithoutEnd", "DueHead", "Exchange", "read_head"]

# Copies of earlier answers, and their bytes, that one attempt passes over.
MAX_PASSED_OVER = 4
MAX_PASSED_OVER_BYTES = 65_536


class CopiesWithoutEnd(http1.ResponseBroken):
    """The engine sends more copies of earlier answers than are passed over; it has not crashed."""


class Exchange(NamedTuple):
    """A request that was written to a connection, and how to read on there.

    Attributes:
      request_id: Id of the request.
      engine: The engine.
      conn: The connection.
      next_part: Waits for the next part of a response; its errors are those of ``read_head``.
    """

    request_id: str
    engine: routing.Engine
    conn: pool.PooledConnection
    next_part: Callable[[], Awaitable[http1.ResponseEvent]]


class DueHead(NamedTuple):
    """The head of a response, and what it proves about the request that is due."""

    head: translating.ResponseHead
    verdict: answers.Verdict


async def read_head(ctx: context.Context, exchange: Exchange) -> DueHead:
    """Read the first head that is no copy of an earlier answer, and judge it.

    Args:
      ctx: State of the gateway.
      exchange: The request and its connection.

    Returns:
      The head with its verdict.

    Raises:
      ResponseBroken: The connection broke.
      CopiesWithoutEnd: There are more copies than are passed over.
    """
    size = 0
    for _ in range(1 + MAX_PASSED_OVER):
        part = await exchange.next_part()
        if not isinstance(part, h11.Response):
            raise http1.ResponseBroken("no response head")
        head = translating.read_response_head(part.status_code, part.headers.raw_items())
        claim = answers.Claim(head.status, head.request_id, head.not_run, head.framed)
        verdict = exchange.conn.history.judge(claim)
        if verdict.meaning is not answers.Meaning.EARLIER:
            return DueHead(head, verdict)
        size += await _pass_over(exchange, MAX_PASSED_OVER_BYTES - size)
        _log_passed_over(ctx, exchange, head)
    raise CopiesWithoutEnd("copies of earlier answers without end")


async def _pass_over(exchange: Exchange, max_bytes: int) -> int:
    """Read the body of a copy to its end, and return its size in bytes."""
    size = 0
    while not isinstance(part := await exchange.next_part(), h11.EndOfMessage):
        size += len(part.data) if isinstance(part, h11.Data) else 0
        if size > max_bytes:
            raise CopiesWithoutEnd("copy of an earlier answer without end")
    exchange.conn.history.pass_over()
    exchange.conn.expect_another_response()
    return size


def _log_passed_over(
    ctx: context.Context, exchange: Exchange, head: translating.ResponseHead
) -> None:
    ctx.meter.count("answers_passed_over")
    ctx.log.write(
        "answer_passed_over",
        request=exchange.request_id,
        engine=exchange.engine.id,
        status=head.status,
        names=head.request_id,
    )
