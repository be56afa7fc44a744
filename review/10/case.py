"""Clients send much at once and go: their requests are still sent to backends long after they have closed."""

import asyncio
import random
import socket
import sys
import uuid
from pathlib import Path

from world import LOOPBACK, Backend, CannotRun, World, customer_id, play, say, settings_of_site, trouble_wanted

LEAVING_CLIENTS, REQUESTS_EACH = 12, 30  # of one wave; the ingress reads 64 requests ahead
CHUNKS, CHUNK_BYTES = 8000, 2  # of a body: 16,000 bytes, 56 KB on the wire
WAVES, PAUSE_S = 6, 2.5
WORK_S = 0.16  # of a booking, on a backend of the yardstick's speed
REQUESTS_PER_S = 10  # of usual clients
ALLOWED_S, SLACK_S = 0.1, 0.05
STAND_IN_LATE_S = 0.02  # where the stand-ins themselves were later than this, nothing is judged
SAMPLE_S = 0.005


def booking(request_id: str, customer: str) -> bytes:
    """A request of the keyed class whose body comes in chunks."""
    head = (
        f"POST /api?customer={customer} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {request_id}\r\nReq-Kind: booking\r\n"
        f"Idempotency-Key: {uuid.uuid4().hex}\r\nX-Contract: kozep\r\nReq-Deadline-Ms: 3000\r\n"
        "X-Metering: units=1,spread=1,first=0\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    return head.encode() + (b"%x\r\n" % CHUNK_BYTES + b"x" * CHUNK_BYTES + b"\r\n") * CHUNKS + b"0\r\n\r\n"


def send_and_go(port: int, data: bytes) -> None:
    """Writes all requests and closes the connection."""
    with socket.create_connection((LOOPBACK, port)) as sock:
        sock.sendall(data)


async def case(world: World) -> list[str]:
    rng = random.Random(6)
    backends = [Backend(world, f"s-{n}", zone=f"room-{'abc'[n % 3]}", work_s=WORK_S) for n in range(9)]
    await world.open(backends)
    ingress = world.ingresses[0]
    await ingress.start(known=world.discovery.page())
    loop = asyncio.get_running_loop()
    late_at: list[float] = []

    async def watch_stand_ins() -> None:
        while True:
            due = world.record.now() + SAMPLE_S
            await asyncio.sleep(SAMPLE_S)
            if world.record.now() - due > STAND_IN_LATE_S:
                late_at.append(world.record.now())

    async def clients() -> None:
        while True:
            world.spawn(world.ask(0, "position", "kozep", customer_id(rng.randrange(1, 200)), 2000))
            await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))

    closed_at: dict[str, float] = {}

    async def leaving_client(ids: list[str], data: bytes) -> None:
        await loop.run_in_executor(None, send_and_go, ingress.port, data)
        now = world.record.now()  # the connection was closed before
        closed_at.update(dict.fromkeys(ids, now))
        world.record.add("left", first=ids[0], requests=len(ids))

    waves = []
    for _ in range(WAVES if trouble_wanted() else 0):
        batches = [[uuid.uuid4().hex[:16] for _ in range(REQUESTS_EACH)] for _ in range(LEAVING_CLIENTS)]
        waves.append([
            (ids, b"".join(booking(i, customer_id(rng.randrange(1000, 9000))) for i in ids)) for ids in batches
        ])  # fmt: skip
    world.spawn(watch_stand_ins())
    world.spawn(clients())
    await asyncio.sleep(2.0)
    for number in range(WAVES):
        if trouble_wanted():
            await asyncio.gather(*(leaving_client(ids, data) for ids, data in waves[number]))
        await asyncio.sleep(PAUSE_S)
    served = sum(sent.status == 200 for sent in world.sent)
    late = []
    for request_id, closed in closed_at.items():
        for attempt in world.attempts_of(request_id):
            disturbed = any(closed < at <= attempt.at + SAMPLE_S for at in late_at)
            if attempt.at > closed + ALLOWED_S + SLACK_S and not disturbed:
                late.append(round(attempt.at - closed, 3))
                world.record.add("attempt_after_close", id=request_id, backend=attempt.backend, after_s=late[-1])
    say(
        f"{len(world.sent)} usual requests, {served} served; {len(closed_at)} requests of clients that left, "
        f"{sum(bool(world.attempts_of(i)) for i in closed_at)} of them sent on, {len(late)} more than "
        f"{ALLOWED_S + SLACK_S:.2f} s after the close; the stand-ins were late {len(late_at)} times"
    )
    if not served:
        raise CannotRun("nothing was served")
    if late:
        return [
            f"lost: {len(late)} attempts began for clients that had closed, {min(late):.3f} to {max(late):.3f} s "
            f"after the close ({ALLOWED_S} s and {SLACK_S} s of slack are allowed)"
        ]
    return []


if __name__ == "__main__":
    sys.exit(play(Path(sys.argv[1]), settings_of_site(), 1, case))
