"""Bad clients connect by the hundred, stop in the middle of a request, and stay."""

from __future__ import annotations

import asyncio
from pathlib import Path

from review.common.backends import Backend, Room
from review.common.clients import Clients
from review.common.discovery import Catalog
from review.common.fleet import Fleet, plan, request_class
from review.common.http import read_message
from review.common.play import run
from review.common.record import Record

ROOMS = ["room-a", "room-b", "room-c"]
CLASSES = [
    request_class("look", "read_like", 800.0, 3000.0),
    request_class("book", "idempotency_key", 1200.0, 3000.0, group="zone", windowMs=6000.0, worth=5.0, lateShare=0.0),
]
LIMITS = {"cores": 1.0, "memory_mb": 96, "sockets": 512}
BAD_CLIENTS = 300  # at once, at one ingress
CHUNKS = 8000  # of two bytes each: a body of 16 KB that does not end
STAY_S = 3.5  # a bad client is owed an error or a close within 3 s
LOOK_S = 0.02  # between two looks at the memory of the ingresses


async def play(record: Record, trouble: bool) -> list[str]:
    """Lets the bad clients come three times, and returns the ingresses that went over their memory."""
    rooms = {name: Room(name) for name in ROOMS}
    backends = [Backend(f"s-{n}", rooms[ROOMS[n % 3]], (58.0, 160.0), record, n) for n in range(9)]
    for backend in backends:
        await backend.open()
    fleet = Fleet(ROOMS, CLASSES, [plan("kozep", 60.0, 120.0)], Catalog(backends), record, LIMITS)
    killed: list[str] = []
    try:
        await fleet.open()
        keeper = asyncio.create_task(keep_memory(fleet, record, killed))
        clients = Clients(fleet, CLASSES, "kozep", record, 1)
        for ingress in range(3):
            for _ in range(6):
                clients.spawn(clients.user(ingress, 100.0))
        await asyncio.sleep(4.0)
        for _ in range(3):
            if trouble and not killed:
                await asyncio.gather(*(bad_client(fleet, record, n) for n in range(BAD_CLIENTS)))
            await asyncio.sleep(4.0)
        await clients.stop()
        keeper.cancel()
    finally:
        await fleet.close()
        for backend in backends:
            backend.close()
    return killed


async def keep_memory(fleet: Fleet, record: Record, killed: list[str]) -> None:
    """Does as the platform: an ingress that goes over its memory is killed. Records its memory once a second."""
    looks = 0
    while True:
        for number, process in fleet.processes.items():
            if process.returncode is not None:
                continue
            used = memory_mb(process.pid)
            if looks % round(1 / LOOK_S) == 0 or used > LIMITS["memory_mb"]:
                record.note("memory", ingress=number, mb=round(used, 1))
            if used > LIMITS["memory_mb"]:
                process.kill()
                record.note("killed_for_memory", ingress=number, mb=round(used, 1), limit_mb=LIMITS["memory_mb"])
                killed.append(f"ingress {number} used {used:.0f} MB of {LIMITS['memory_mb']} and was killed")
        looks += 1
        await asyncio.sleep(LOOK_S)


def memory_mb(pid: int) -> float:
    """Returns the resident memory of a process, without files that it shares with others."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("RssAnon:"):
            return int(line.split()[1]) / 1024
    return 0.0


async def bad_client(fleet: Fleet, record: Record, number: int) -> None:
    """Sends a part of a request, and waits for an error or a close."""
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", fleet.ports[0])
    except OSError as problem:
        record.note("bad_client_refused", number=number, why=str(problem))
        return
    began = record.now()
    head = (
        f"POST /api?customer={number + 100:016x} HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: bad-{number}\r\n"
        f"Req-Kind: book\r\nX-Contract: kozep\r\nReq-Deadline-Ms: 3000\r\nX-Metering: units=1,spread=3,first=0\r\n"
        f"Idempotency-Key: bad-{number}\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    data = head.encode() + b"2\r\nab\r\n" * CHUNKS
    got = "nothing"
    try:
        writer.write(data)
        got = str((await asyncio.wait_for(read_message(reader), STAY_S)).status)
    except asyncio.IncompleteReadError:
        got = "close"
    except OSError as problem:
        got = f"reset ({problem})"
    except TimeoutError:
        pass
    record.note("bad_client", number=number, bytes=len(data), got=got, after_ms=round(record.now() - began, 1))
    writer.transport.abort()


run(__file__, play)
