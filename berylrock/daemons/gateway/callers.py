"""Serves callers' connections, each in a task of its own and one request at a time."""

import asyncio
import socket

import h11

from berylrock.adapters import bodies, http1, listening
from berylrock.core import errors, routing
from berylrock.daemons.gateway import admitting, context, forwarding, pool, responding, streaming
from berylrock.ops import buffering, timeouts
from berylrock.platform import translating

__all__ = ["Callers"]

BACKLOG = 1024
BODY_TIMEOUT_S = 10.0
CLOSE_MARGIN_S = 0.5
# After SIGTERM new connections keep coming until the load balancer notices that the gateway is not
# ready. Idle connections are closed after this time.
CLOSE_IDLE_AFTER_S = 2.2
# Time left for the exit between the end of draining and the end of the grace period.
EXIT_MARGIN_S = 0.35
DRAIN_CHECK_S = 0.05
# Time for the first request on a connection that is made after idle connections were closed.
LATE_REQUEST_WAIT_S = 0.5
# Other gateways serve while this one stops.
STOP_RETRY_AFTER_S = 0.1


class Callers:
    """Accepts callers' connections and serves their requests."""

    def __init__(self, ctx: context.Context, conns: pool.ConnectionPool) -> None:
        self._open: set[asyncio.Task[None]] = set()
        self._ctx = ctx
        self._conns = conns
        self._idle: set[asyncio.Task[None]] = set()
        self._server = listening.ConnectionServer(self._serve)
        self._closing = False
        self._drain_until = float("inf")

    async def start(self) -> None:
        """Start listening for callers."""
        host, port = self._ctx.cfg.frontend_address
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, port))
        await self._server.start(sock=sock, backlog=BACKLOG)

    async def drain(self, stopped_at: float) -> None:
        """Finish running requests after SIGTERM, close idle connections, and stop in time.

        Args:
          stopped_at: Time of the SIGTERM, on the event loop's clock.
        """
        loop = asyncio.get_running_loop()
        self._drain_until = stopped_at + self._ctx.cfg.bounds.grace_s - EXIT_MARGIN_S
        await responding.sleep_until(stopped_at + CLOSE_IDLE_AFTER_S)
        self._closing = True
        for task in list(self._idle):
            task.cancel()
        # A request that has just arrived is not yet being served, so open connections count.
        while self._open and loop.time() < self._drain_until:
            await asyncio.sleep(DRAIN_CHECK_S)
        self._server.stop_listening()
        await self._close_open_connections()

    async def _close_open_connections(self) -> None:
        """Cancel requests that outlast the grace period.

        Their callers are told that the outcome is unknown, unless a response has begun.
        """
        tasks = list(self._open)
        if not tasks:
            return
        self._ctx.log.write("callers_cut", connections=len(tasks))
        for task in tasks:
            task.cancel()
        await asyncio.wait(tasks, timeout=DRAIN_CHECK_S)

    async def close(self) -> None:
        """Close the listening socket and the connections that are left."""
        await self._server.close()

    async def _serve(self, stream: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        table = self._ctx.table
        limits = table.config.limits if table is not None else routing.Limits()
        conn = http1.CallerConnection(stream, writer, limits.header_bytes)
        task = asyncio.current_task()
        assert task is not None
        self._open.add(task)
        try:
            await self._serve_connection(conn)
        except asyncio.CancelledError:
            # Only a shutdown cancels the task of a connection.
            if not conn.response_complete:
                conn.abort()
        except (OSError, h11.LocalProtocolError) as exc:
            self._ctx.log.write("caller_lost", error=repr(exc))
        finally:
            await conn.close()
            self._open.discard(task)

    async def _serve_connection(self, conn: http1.CallerConnection) -> None:
        first = True
        while True:
            if not await self._wait_for_request(conn, first):
                return
            first = False
            keep_open = await self._serve_guarded(conn)
            if not keep_open or not conn.reusable:
                return
            conn.start_next_request()

    async def _wait_for_request(self, conn: http1.CallerConnection, first: bool) -> bool:
        """Wait for the first byte of a request; False if the connection is to be closed.

        Args:
          conn: The connection.
          first: Whether no request has come on it yet.

        Returns:
          Whether a request has begun to arrive.
        """
        if conn.has_pipelined_data or conn.reader.has_data:
            return True
        if self._closing and not first:
            return False
        table = self._ctx.table
        limits = table.config.limits if table is not None else routing.Limits()
        idle_s = max(limits.idle_s, self._ctx.idle_limit_s) + CLOSE_MARGIN_S
        if self._closing:
            idle_s = LATE_REQUEST_WAIT_S
        task = asyncio.create_task(conn.reader.wait())
        self._idle.add(task)
        try:
            async with asyncio.timeout(idle_s):
                await task
        except (TimeoutError, asyncio.CancelledError):
            if asyncio.current_task().cancelling():  # type: ignore[union-attr]
                raise
            return conn.reader.has_data
        finally:
            self._idle.discard(task)
            task.cancel()
        return conn.reader.has_data

    async def _serve_guarded(self, conn: http1.CallerConnection) -> bool:
        """Serve one request; one that cannot be read for an unexpected reason is refused.

        Errors after that are handled in ``_respond``, so that no engine has got this request.
        """
        try:
            return await self._serve_request(conn)
        except (OSError, h11.LocalProtocolError):
            raise
        except Exception as exc:
            self._log_error("", exc)
            return await self._reject(conn, 503, f"internal error: {exc!r}")

    async def _serve_request(self, conn: http1.CallerConnection) -> bool:
        """Serve one request; returns whether the connection stays open."""
        limits = self._ctx.table.config.limits if self._ctx.table else routing.Limits()
        try:
            async with asyncio.timeout(limits.header_s):
                event = await conn.next_event()
        except TimeoutError:
            return await self._reject(conn, 408, "head was not received in time")
        except h11.RemoteProtocolError as exc:
            return await self._reject(conn, exc.error_status_hint, f"bad head: {exc}")
        if not isinstance(event, h11.Request):
            return False
        raw = list(event.headers.raw_items())
        if sum(len(name) + len(value) for name, value in raw) > limits.header_bytes:
            return await self._reject(conn, 431, "head is too large")
        names = [name.lower() for name, _ in raw]
        if b"transfer-encoding" in names and b"content-length" in names:
            return await self._reject(conn, 400, "both Content-Length and Transfer-Encoding")
        head = translating.read_request(event.method, event.target, raw)
        return await self._serve_head(conn, head, limits)

    async def _serve_head(
        self, conn: http1.CallerConnection, head: routing.RequestHead, limits: routing.Limits
    ) -> bool:
        """Read the body and respond to the request; returns whether the connection stays open."""
        responder = responding.Responder(conn, head.id, self._closing or self._ctx.stopping)
        # The caller's deadline runs while its body is being received.
        received_at = asyncio.get_running_loop().time()
        body = buffering.Body(self._ctx.buffers, limits.body_bytes)
        try:
            async with asyncio.timeout(BODY_TIMEOUT_S):
                data = await self._read_body(conn, body)
        except TimeoutError:
            return await self._reject(conn, 408, "body was not received in time")
        except h11.RemoteProtocolError as exc:
            return await self._reject(conn, 400, f"bad body: {exc}")
        except buffering.BodyGivenUp:
            return await self._reject(conn, 503, "too many large bodies at the same time")
        except buffering.BodyTooLarge:
            return await self._reject(conn, 413, "body is too large")
        if data is None:
            return False
        try:
            await self._respond(conn, head, data, received_at, responder)
        finally:
            body.release()
        if responder.closes or not responder.begun:
            return False
        return True

    async def _read_body(self, conn: http1.CallerConnection, body: buffering.Body) -> bytes | None:
        """Read the body of a request; None if the caller disconnected before its end."""
        last: object = None

        async def next_data() -> bytes:
            nonlocal last
            last = await conn.next_event()
            while isinstance(last, h11.Data) and not last.data:
                last = await conn.next_event()
            return bytes(last.data) if isinstance(last, h11.Data) else b""

        data = await bodies.read(body, next_data)
        if isinstance(last, h11.EndOfMessage):
            return data
        body.release()
        return None

    async def _reject(self, conn: http1.CallerConnection, status: int, reason: str) -> bool:
        """Refuse an invalid request and close the connection; returns False."""
        self._ctx.log.write("request_rejected", status=status, reason=reason)
        responder = responding.Responder(conn, "", True)
        if not conn.response_started:
            await responder.refuse(status, reason)
        return False

    async def _respond(
        self,
        conn: http1.CallerConnection,
        head: routing.RequestHead,
        body: bytes,
        received_at: float,
        responder: responding.Responder,
    ) -> None:
        req = admitting.admit(self._ctx, head, body, received_at)
        if not isinstance(req, admitting.Refused) and self._may_outlast_stop(req):
            req = admitting.Refused(503, "stopping", STOP_RETRY_AFTER_S)
        if isinstance(req, admitting.Refused):
            await responder.refuse(req.status, req.reason, req.retry_after_s)
            self._log_refused(head, req)
            return
        self._ctx.budget_for(req.service).record_request(received_at)
        flow_class = (
            streaming.StreamForwarding if req.route.kind == "stream" else forwarding.Forwarding
        )
        flow = flow_class(self._ctx, self._conns, req, responder)
        try:
            await self._run_to_end(conn, flow)
        finally:
            flow.release_body()
            flow.dispatcher.end_session()
            self._log_done(flow, received_at)

    async def _run_to_end(self, conn: http1.CallerConnection, flow: forwarding.Forwarding) -> None:
        """Run a request; after an error it ends with an answer that is true, or with none.

        Whoever called this must not answer in its place, as an engine may have got the request.
        """
        try:
            await self._run(conn, flow)
        except http1.CallerGone:
            raise
        except Exception as exc:
            self._log_error(flow.req.head.id, exc)
            await self._end_failed(flow, exc)

    async def _end_failed(self, flow: forwarding.Forwarding, exc: Exception) -> None:
        try:
            await flow.end_failed(exc)
        except http1.CallerGone:
            raise
        except Exception as second:
            self._log_error(flow.req.head.id, second)
            flow.responder.abort(f"internal error: {second!r}")

    def _may_outlast_stop(self, req: routing.Request) -> bool:
        """Tell whether a request that came late in the grace time might be cut at its end."""
        if not self._closing:
            return False
        now = asyncio.get_running_loop().time()
        is_stream = req.route.kind == "stream"
        usual_s = 0.0 if is_stream else self._ctx.baselines.usual_first_part_s(req.route.name, "")
        needed_s = timeouts.needed_s(req.expires_at - now, usual_s)
        return now + needed_s > self._drain_until

    async def _run(self, conn: http1.CallerConnection, flow: forwarding.Forwarding) -> None:
        """Run a request, unless its caller has left; let it leave with its caller."""
        if conn.reader.has_ended:
            self._record_left(flow)
            flow.responder.abort("caller disconnected")
            return
        work = asyncio.create_task(flow.run())
        disconnected = asyncio.create_task(conn.reader.ended.wait())
        try:
            await asyncio.wait((work, disconnected), return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                self._record_left(flow)
                if flow.may_be_cancelled:
                    work.cancel()
                    flow.responder.abort("caller disconnected")
                await asyncio.wait((work,))
            if not work.cancelled():
                work.result()
        except asyncio.CancelledError:
            # Only the end of the grace time cancels this task.
            work.cancel()
            await asyncio.wait((work,))
            await flow.end_stopped()
            raise
        finally:
            disconnected.cancel()
            if not work.done():
                work.cancel()
                await asyncio.wait((work,))

    def _record_left(self, flow: forwarding.Forwarding) -> None:
        """Record that a request's caller has left; it is sent to no further engine."""
        dispatcher = flow.dispatcher
        dispatcher.caller_left = True
        self._ctx.meter.count("callers_left")
        self._ctx.log.write(
            "caller_left",
            request=flow.req.head.id,
            at_engine=dispatcher.is_at_engine,
            cancelled=flow.may_be_cancelled,
            sends=dispatcher.attempts_sent,
            last_failure=dispatcher.last_reason,
        )

    def _log_error(self, request_id: str, exc: Exception) -> None:
        """Log an error of one request for which there is no other handling."""
        self._ctx.meter.count("request_errors")
        self._ctx.log.write(
            "request_error",
            request=request_id,
            error=repr(exc),
            at=errors.locate(exc),
        )

    def _log_refused(self, head: routing.RequestHead, refused: admitting.Refused) -> None:
        self._ctx.meter.count(f"refused_{refused.reason}")
        self._ctx.log.write(
            "request_refused",
            request=head.id,
            status=refused.status,
            reason=refused.reason,
            retry_after_s=refused.retry_after_s,
            config=self._ctx.table.config.version if self._ctx.table else None,
        )

    def _log_done(self, flow: forwarding.Forwarding, received_at: float) -> None:
        took_s = asyncio.get_running_loop().time() - received_at
        responder = flow.responder
        first_s = responder.first_chunk_at - received_at if responder.first_chunk_at else took_s
        self._ctx.latency_histograms.record(f"answer_{flow.req.route.kind}", took_s)
        self._ctx.meter.count(f"outcome_{flow.responder.outcome.partition(' ')[0] or 'none'}")
        self._ctx.log.write(
            "request_done",
            request=flow.req.head.id,
            route=flow.req.route.name,
            organisation=flow.req.organisation,
            session=flow.req.head.session,
            version=flow.dispatcher.version,
            version_source=flow.dispatcher.version_choice.source,
            version_age_s=round(flow.dispatcher.version_choice.age_s, 2),
            stage=flow.dispatcher.version_stage,
            engines=",".join(flow.dispatcher.sent_to),
            sends=flow.dispatcher.attempts_sent,
            outcome=flow.responder.outcome,
            last_failure=flow.dispatcher.last_reason,
            first_ms=int(first_s * 1000),
            gap_ms=int(responder.longest_gap_s * 1000),
            took_ms=int(took_s * 1000),
            config=flow.req.config_version,
        )
