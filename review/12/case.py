"""Orders reach engines long after their clients have left, behind a body that is read late."""

import asyncio
import os
import socket
import sys
import tempfile

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "common-3"))

import standins  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# Parts of the disruption, to see which of them it takes.
EARLY = TROUBLE and os.environ.get("EARLY", "1") != "0"
GIVE_UP = TROUBLE and os.environ.get("GIVE_UP", "1") != "0"
HOST = "127.83.212.1"
LONG_BYTES, LONG_BODY = 65_536, b"x" * 1_000_000
# When an engine that has rejected a long request reads on.
READ_ON_AFTER_S = 1.5
# Half of the objective of the route, 400 ms; the clients of three in ten orders leave then.
LEAVE_AFTER_S, LEAVE_EACH = 0.2, (0, 3, 7)
SECONDS, UPLOADS_PER_S, ORDERS_PER_S = 50.0, 2.0, 12.0
LATE_S, A_FEW = 0.5, 10
ROUTES = [
    standins.route("document", "idempotent", "orders", public=True),
    standins.route("order", "non_idempotent", "orders", public=True),
]


class RejectingEngine(standins.Engine):
    """Rejects long requests before they are in, keeps the connection and reads on later."""

    def __init__(self, *args):
        super().__init__(*args)
        self.arrived = {}

    async def start(self):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65_536)
        sock.bind((self.host, 0))
        server = await asyncio.start_server(self.serve, sock=sock, limit=16_384)
        self.port = server.sockets[0].getsockname()[1]

    async def serve_one(self, head, reader, writer):
        headers = head[1]
        request_id = headers.get("x-berylrock-attempt-id", "")
        self.arrived[request_id] = standins.now()
        if EARLY and int(headers.get("content-length", "0")) > LONG_BYTES:
            self.record.write(f"{self.name} rejects {request_id} before it is in")
            more = "X-Berylrock-Not-Executed: 1\r\n"
            await self.answer(writer, 503, request_id, b"", signed=False, more=more)
            await asyncio.sleep(READ_ON_AFTER_S)
            await standins.read_body(reader, headers)
            return True
        return await super().serve_one(head, reader, writer)


async def play(record, folder):
    store = standins.Store("127.83.212.9")
    await store.start()
    engines = [
        RejectingEngine(f"i-{n}", "127.83.212.8", "orders", record) for n in range(3)
    ]
    for engine in engines:
        await engine.start()
        asyncio.get_running_loop().create_task(engine.beat(store))
    await store.put("config", "main", standins.config(4, ROUTES, ["orders"], {"farm": ["k"]}))
    gateway = standins.Gateway(folder, "edge-a-1", HOST, store, standins.free_port(HOST))
    gateway.start()
    try:
        if not await gateway.wait_ready():
            return 2
        return await run_day(record, engines, gateway)
    finally:
        gateway.kill()


async def run_day(record, engines, gateway):
    left, answers = {}, {}
    plans = [
        repeat(UPLOADS_PER_S, lambda n: upload(record, gateway, n)),
        repeat(ORDERS_PER_S, lambda n: order(record, gateway, n, left, answers)),
    ]
    await asyncio.gather(*plans)
    late = []
    for engine in engines:
        for request_id, at in engine.arrived.items():
            if request_id in left and at > left[request_id] + LATE_S:
                ran = "ran" if request_id in engine.runs else "did not run"
                late.append(request_id)
                waited_s = at - left[request_id]
                record.write(
                    f"{request_id} reached {engine.name} {waited_s:.2f} s after its client"
                    f" had left, and {ran}"
                )
    record.write(f"orders whose clients left: {len(left)}; answers of others: {answers}")
    record.write(f"orders that reached an engine over {LATE_S} s later: {len(late)}")
    if answers.get(200, 0) < 20:
        return 2
    return 1 if len(late) > A_FEW else 0


async def repeat(per_s, begin):
    tasks = []
    began_at = standins.now()
    for number in range(int(SECONDS * per_s)):
        await asyncio.sleep(max(0.0, began_at + number / per_s - standins.now()))
        tasks.append(asyncio.get_running_loop().create_task(begin(number)))
    await asyncio.gather(*tasks)


async def upload(record, gateway, number):
    request_id = f"document-{number:04d}"
    status, _ = await standins.call(
        gateway, "POST", "/document/x", request_id, body=LONG_BODY
    )
    record.write(f"{request_id}: {status}")


async def order(record, gateway, number, left, answers):
    request_id = f"order-{number:04d}"
    leaves = GIVE_UP and number % 10 in LEAVE_EACH
    reader, writer = await asyncio.open_connection(gateway.host, gateway.front)
    work = standins.call(gateway, "POST", "/order/x", request_id, conn=(reader, writer), body=b"o")
    try:
        async with asyncio.timeout(LEAVE_AFTER_S if leaves else 4.0):
            status, _ = await work
        answers[status] = answers.get(status, 0) + 1
        record.write(f"{request_id}: {status}")
    except TimeoutError:
        left[request_id] = standins.now()
        record.write(f"{request_id}: its client leaves")
    finally:
        writer.transport.abort()


def main():
    record = standins.Record(os.path.join(HERE, "record.txt"))
    with tempfile.TemporaryDirectory() as folder:
        result = asyncio.run(play(record, folder))
    record.write(f"result: {result}")
    return result


if __name__ == "__main__":
    sys.exit(main())
