"""Sends this gateway's counts of requests to those that report them, over TCP.

Every gateway sends what has changed to the holder of the duty and to its deputy, who takes over if
the holder is lost. The answer names the first window that is still open, and shows that the counts
arrived. What is not acknowledged is sent again with the next message.
"""

import asyncio
import collections
import math
import time

import msgspec

from berylrock.core import duties
from berylrock.daemons.gateway import context, peermessages
from berylrock.ops import dutybook, usage

__all__ = ["SEND_INTERVAL_S", "UsageSender", "UsageServer"]

# A process that is killed loses what began at it within this time.
SEND_INTERVAL_S = 0.5
# In a large fleet each gateway has a smaller part of the requests, and sends less often.
INTERVAL_PER_GATEWAY_S = 0.007
CONNECT_TIMEOUT_S, ANSWER_TIMEOUT_S = 0.3, 0.5
# A connection without a message for this time is closed.
IDLE_TIMEOUT_S = 30.0
MAX_MESSAGE_BYTES = 262_144
MAX_ANSWER_BYTES = 64


class OtherCounts(msgspec.Struct, array_like=True):
    """Counts that another process has sent. The order of the fields is the wire format."""

    gateway: str
    process: int
    windows: list[tuple[int, dict[str, int]]]


class UsageMessage(msgspec.Struct, array_like=True):
    """Counts of one process. The order of the fields is the wire format.

    Attributes:
      gateway: Name of the sending gateway.
      process: Random number that the process chose at its start.
      until_s: Time since 1970 up to which the counts are complete.
      windows: Number of each window that has changed, and its requests by organisation.
      others: Counts of other processes; only in the first message on a connection.
    """

    gateway: str
    process: int
    until_s: float
    windows: list[tuple[int, dict[str, int]]]
    others: list[OtherCounts] = []


class UsageAnswer(msgspec.Struct, array_like=True):
    """Answer to counts: the first window that is still open; 0 if it is not known."""

    next_window: int


class UsageServer:
    """Takes the counts of other gateways."""

    def __init__(self, ctx: context.Context, book: dutybook.DutyBook) -> None:
        self._ctx = ctx
        self._book = book
        service = peermessages.Service(
            port=ctx.cfg.usage_port,
            kind=UsageMessage,
            max_bytes=MAX_MESSAGE_BYTES,
            idle_s=IDLE_TIMEOUT_S,
            answer=self._take,
            ended_counter="usage_connections_ended",
            broken_counter="usage_unreadable",
            broken_event="usage_unreadable",
        )
        self._server = peermessages.PeerServer(ctx, service)

    async def start(self) -> None:
        """Start listening; raises ``SettingsError`` if the port cannot be used."""
        await self._server.start()

    def _take(self, message: UsageMessage) -> UsageAnswer:
        late = self._merge(message, message.until_s)
        for item in message.others:
            self._merge(item, 0.0)
        if late:
            self._ctx.meter.count("usage_windows_late", late)
        known = self._book.announced
        return UsageAnswer(known.next_window if known is not None else 0)

    def _merge(self, item: UsageMessage | OtherCounts, until_s: float) -> int:
        """Add the counts of one process; returns how many of its windows came too late."""
        source = duties.Holder(item.gateway, item.process)
        windows = tuple(duties.WindowCounts(*found) for found in item.windows)
        return self._book.ledger.merge(usage.UsageReport(source, until_s, windows))

    async def close(self) -> None:
        """Stop listening, and close the connections of the other gateways."""
        await self._server.close()


def _list_windows(report: usage.UsageReport) -> list[tuple[int, dict[str, int]]]:
    return [(item.window, item.counts) for item in report.windows]


class _Receiver:
    """A gateway to which counts are sent: its connection, and the requests it has by window."""

    def __init__(self, stream: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.stream = stream
        self.writer = writer
        self.acknowledged: dict[int, int] = {}
        self.is_new = True


class UsageSender:
    """Sends this gateway's counts at intervals, and once more when it stops.

    Scenario: the gateway stops while a receiver that is suspended has not answered yet. An answer
    names no message, so that receiver gets the last counts only once the answer is there or given
    up, and the other one gets them at once.
    """

    def __init__(self, ctx: context.Context, book: dutybook.DutyBook) -> None:
        self._ctx = ctx
        self._book = book
        self._receivers: dict[str, _Receiver] = {}
        self._sent_at = -math.inf
        self._sending: collections.defaultdict[str, asyncio.Lock] = collections.defaultdict(
            asyncio.Lock
        )

    async def send_if_due(self) -> None:
        """Send what has changed if the last time is long enough ago for the size of the fleet."""
        now = asyncio.get_running_loop().time()
        interval_s = INTERVAL_PER_GATEWAY_S * self._ctx.gateway_count()
        if now - self._sent_at >= interval_s:
            await self.send_all()

    async def send_all(self) -> None:
        """Send what has changed to each receiver, and add it to this gateway's own ledger."""
        book, now = self._book, asyncio.get_running_loop().time()
        self._sent_at = now
        book.ledger.merge(book.counter.make_report(time.time(), {}))
        names = book.receivers(self._ctx.gateways_heard(), now)
        for name in set(self._receivers) - names:
            self._close(name)
        await asyncio.gather(*(self._send(name) for name in names))

    async def _send(self, name: str) -> None:
        async with self._sending[name]:
            await self._send_one(name)

    async def _send_one(self, name: str) -> None:
        try:
            if name not in self._receivers:
                self._receivers[name] = await self._connect(name)
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await self._exchange(self._receivers[name])
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
            self._record_failure(name, repr(exc))
        except peermessages.MessageBroken as exc:
            self._record_failure(name, str(exc))

    async def _exchange(self, receiver: _Receiver) -> None:
        report = self._book.counter.make_report(time.time(), receiver.acknowledged)
        others = self._book.ledger.hand_over(self._book.own) if receiver.is_new else ()
        message = UsageMessage(
            *report.source,
            report.until_s,
            _list_windows(report),
            [OtherCounts(*item.source, _list_windows(item)) for item in others],
        )
        await peermessages.send(receiver.writer, message)
        answer = await peermessages.receive(receiver.stream, UsageAnswer, MAX_ANSWER_BYTES)
        receiver.is_new = False
        for window, counts in report.windows:
            receiver.acknowledged[window] = sum(counts.values())
        receiver.acknowledged = {
            window: count
            for window, count in receiver.acknowledged.items()
            if window >= answer.next_window
        }

    async def _connect(self, name: str) -> _Receiver:
        cfg = self._ctx.cfg
        peer = self._ctx.peers.get(name)
        if peer is None or not peer[0].address:
            raise OSError(f"the address of {name} is not known")
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            # The receiver knows this gateway by its address.
            return _Receiver(
                *await asyncio.open_connection(
                    peer[0].address, cfg.usage_port, local_addr=(cfg.address, 0)
                )
            )

    def _record_failure(self, name: str, error: str) -> None:
        self._close(name)
        self._ctx.meter.count("usage_sends_failed")
        self._ctx.log.write("usage_not_sent", to=name, error=error)

    def _close(self, name: str) -> None:
        receiver = self._receivers.pop(name, None)
        if receiver is not None:
            receiver.writer.transport.abort()

    def close(self) -> None:
        """Close the connections."""
        for name in list(self._receivers):
            self._close(name)
