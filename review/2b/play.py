"""A planned restart while clients send several requests ahead of their answers."""

from __future__ import annotations

import asyncio

from review.common.backends import Backend, Room
from review.common.clients import Clients
from review.common.discovery import Catalog
from review.common.fleet import Fleet, plan, request_class
from review.common.play import run
from review.common.record import Record

ROOMS = ["room-a", "room-b", "room-c"]
CLASSES = [
    request_class("look", "read_like", 800.0, 3000.0),
    request_class("book", "idempotency_key", 1200.0, 3000.0, group="zone", windowMs=6000.0, worth=5.0, lateShare=0.0),
]
KILL_AFTER_MS = 3000.0 + 700.0  # the longest deadline and 0.7 s: the earliest that the platform may kill
NEW_CONNECTIONS_MS = 300.0  # after SIGTERM; the platform has 200 to 400
PIPELINING_CLIENTS, AHEAD = 3, 4  # at each ingress, and requests that each keeps open


async def play(record: Record, trouble: bool) -> list[str]:
    """Restarts each ingress in turn, and returns the refusals of requests that may have run."""
    rooms = {name: Room(name) for name in ROOMS}
    backends = [Backend(f"s-{n}", rooms[ROOMS[n % 3]], (58.0, 160.0), record, n) for n in range(9)]
    for backend in backends:
        await backend.open()
    fleet = Fleet(ROOMS, CLASSES, [plan("kozep", 60.0, 120.0)], Catalog(backends), record)
    try:
        await fleet.open()
        clients = Clients(fleet, CLASSES, "kozep", record, 1)
        for ingress in range(3):
            for _ in range(2):
                clients.spawn(clients.user(ingress, 200.0))
            for _ in range(PIPELINING_CLIENTS):
                clients.spawn(clients.pipelining_user(ingress, AHEAD, "book"))
        await asyncio.sleep(4.0)
        for ingress in range(3):
            if trouble:
                restart = asyncio.create_task(fleet.restart(ingress, KILL_AFTER_MS))
                await asyncio.sleep(NEW_CONNECTIONS_MS / 1000)
                clients.closed_doors.add(ingress)
                await restart
                clients.closed_doors.discard(ingress)
            else:
                await asyncio.sleep(5.0)
            await asyncio.sleep(2.0)
        await clients.stop()
        await asyncio.sleep(0.5)
    finally:
        await fleet.close()
        for backend in backends:
            backend.close()
    return judge(record)


def judge(record: Record) -> list[str]:
    """A keyed request that may have run may not be refused where its group is not all backends."""
    arrived: dict[str, str] = {line["id"]: line["backend"] for line in record.of("arrived")}
    breaks = [
        f"{line['id']} got {line['status']} ({line['body']}) from ingress {line['ingress']}, "
        f"though it arrived whole at {arrived[line['id']]}"
        for line in record.of("answered")
        if line["status"] in (429, 503) and line["cls"] == "book" and line["id"] in arrived
    ]
    runs: dict[str, list[str]] = {}
    for line in record.of("ran"):
        runs.setdefault(line["key"], []).append(f"{line['id']} at {line['backend']} in {line['room']}")
    for key, places in runs.items():
        if key and len(places) > 1:
            record.note("ran_more_than_once", key=key, runs=places)
    return breaks


run(__file__, play)
