"""Pools connections to engines, and closes idle ones before the engine is likely to.

A request never gets a connection that has carried it before: an answer there that names it could be
the copy of an earlier one.
"""

import asyncio

from berylrock.adapters import http1, readers
from berylrock.core import routing
from berylrock.ops import answers

__all__ = ["CONNECT_TIMEOUT_S", "ConnectionPool", "PooledConnection"]

CONNECT_TIMEOUT_S = 0.6
# Keep-alive time to assume for an engine that states none.
DEFAULT_KEEP_ALIVE_S = 2.0
# Share of an engine's keep-alive time for which an idle connection is used.
KEEP_ALIVE_SHARE = 0.7
# An engine may close an idle connection while a request is in flight. A request that must not run
# twice could then not be retried, so it only gets a connection that was in use just before.
RUN_ONCE_IDLE_S = 0.3
MAX_IDLE_S = 8.0


class PooledConnection(http1.EngineConnection):
    """Connection to an engine that knows which requests it has carried.

    Attributes:
      history: Those requests, and what answers on the connection prove.
    """

    def __init__(
        self,
        stream: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        options: readers.ConnectionOptions = readers.DEFAULT_OPTIONS,
    ) -> None:
        super().__init__(stream, writer, options)
        self.history = answers.ConnectionHistory()


class ConnectionPool:
    """Idle connections by the address of the engine.

    Attributes:
      opened: Connections opened so far.
    """

    def __init__(self) -> None:
        self._idle: dict[tuple[str, int], list[PooledConnection]] = {}
        self.opened = 0
        self._closed = False

    async def acquire(
        self,
        engine: routing.Engine,
        request_id: str,
        run_once: bool,
        timeout_s: float = CONNECT_TIMEOUT_S,
    ) -> PooledConnection:
        """Return an idle connection that has not carried the request, or open a new one.

        Args:
          engine: The engine.
          request_id: Id of the request.
          run_once: Whether the request must not be sent twice.
          timeout_s: Longest wait for a new connection, in seconds.

        Returns:
          A connection without a request in flight.

        Raises:
          ConnectFailed: The engine accepts no connection; nothing was sent.
        """
        now = asyncio.get_running_loop().time()
        conns = self._idle.get(engine.address, [])
        for index in reversed(range(len(conns))):
            if conns[index].history.has_carried(request_id):
                continue
            conn = conns.pop(index)
            limit_s = KEEP_ALIVE_SHARE * (conn.keep_alive_s or DEFAULT_KEEP_ALIVE_S)
            if run_once:
                limit_s = min(limit_s, RUN_ONCE_IDLE_S)
            if conn.usable and now - conn.idle_since < limit_s:
                return conn
            conn.close()
        self.opened += 1
        return await PooledConnection.open(engine.address, timeout_s)

    def release(self, engine: routing.Engine, conn: PooledConnection, closes: bool) -> None:
        """Keep a connection after a complete response, or close it if it cannot be reused.

        One on which the engine has copied an answer is closed: further copies may follow.
        """
        fresh = conn.responses_read == 0 and conn.usable
        if (
            closes
            or self._closed
            or conn.history.passed_over
            or not (fresh or conn.reset_for_reuse())
        ):
            conn.close()
            return
        self._idle.setdefault(engine.address, []).append(conn)

    def close_stale(self) -> None:
        """Close connections that the engine has closed or may close soon."""
        now = asyncio.get_running_loop().time()
        for address, conns in list(self._idle.items()):
            kept = []
            for conn in conns:
                limit_s = KEEP_ALIVE_SHARE * (conn.keep_alive_s or MAX_IDLE_S)
                if conn.usable and now - conn.idle_since < min(limit_s, MAX_IDLE_S):
                    kept.append(conn)
                else:
                    conn.close()
            self._idle[address] = kept
            if not kept:
                del self._idle[address]

    def close(self) -> None:
        """Close the idle connections, and from now on each connection that is released."""
        self._closed = True
        for conns in self._idle.values():
            for conn in conns:
                conn.close()
        self._idle.clear()
