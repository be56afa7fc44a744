"""The load of ``lab bench``: a bare relay, clients that drive an ingress, viewers of a console, process figures."""

from __future__ import annotations

import asyncio
import os
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from rushweir.lab.standins.client import Client, Refused, kind
from rushweir.lab.standins.server import Peer, RpcServer
from rushweir.link.websocket import Messages, client_protocol, server_protocol

TICKS = os.sysconf("SC_CLK_TCK")


def cpu_s(pid: int) -> float:
    """CPU seconds that a process has used."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS


def rss_kb(pid: int) -> int:
    """Memory of a process in use, KiB."""
    line = next(x for x in Path(f"/proc/{pid}/status").read_text().splitlines() if x.startswith("VmRSS"))
    return int(line.split()[1])


class Relay(RpcServer):
    """Passes each message on and each answer back, one connection to the node for each client; it looks into
    neither. The least that anything in between can do with this library."""

    def __init__(self, host: str, port: int, path: str) -> None:
        super().__init__()
        self.where = (host, port, path)
        self.ups: dict[int, tuple[Messages, asyncio.StreamWriter]] = {}

    async def _client(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        host, port, path = self.where
        up_reader, up_writer = await asyncio.open_connection(host, port)
        up = Messages(client_protocol(f"ws://{host}:{port}{path}", 1 << 20))
        up.connect({})
        up_writer.write(b"".join(up.take()[0]))
        while not up.receive_handshake(await up_reader.read(65536)):
            pass
        self.serial += 1
        peer = Peer(self, writer, self.serial)
        proto = server_protocol(1 << 20)
        back = None
        try:
            while data := await reader.read(65536):
                if peer.messages is None:
                    proto.receive_data(data)
                    proto.send_response(proto.accept(proto.events_received()[0]))
                    peer.messages = Messages(proto)
                    back = asyncio.create_task(self._back(up, up_reader, peer))
                else:
                    for text in peer.messages.receive(data):
                        up.send(text)
                    up_writer.write(b"".join(up.take()[0]))
                peer.flush()
        except (ConnectionError, OSError):
            pass
        finally:
            if back is not None:
                back.cancel()
            up_writer.close()
            writer.close()

    async def _back(self, up: Messages, reader: asyncio.StreamReader, peer: Peer) -> None:
        while data := await reader.read(65536):
            for text in up.receive(data):
                peer.send(text)


async def serve_relay(host: str, port: int) -> None:
    relay = Relay(host, port, "/node")
    print(await relay.listen(), flush=True)
    await asyncio.Event().wait()


async def drive(url: str, credential: str, rate: float, seconds: float, clients: int, method: str) -> dict[str, Any]:
    """An open loop: requests leave at their planned times, and each time is counted from that plan."""
    people = [await Client().connect(url, credential) for _ in range(clients)]
    times = HdrHistogram(1, 60_000_000, 3)
    counts: dict[str, int] = {}
    loop = asyncio.get_running_loop()
    start = loop.time() + 0.1
    waiting: set[asyncio.Future] = set()
    n = int(rate * seconds)
    for k in range(n):
        due = start + k / rate
        if (pause := due - loop.time()) > 0.0005:
            await asyncio.sleep(pause)
        client = people[k % clients]
        future = client.open[client.send(method, {"data": {"work": 1}})]

        def done(f: asyncio.Future, due: float = due) -> None:
            waiting.discard(f)
            if not f.cancelled():
                what = kind(f.result())
                counts[what] = counts.get(what, 0) + 1
                times.record_value(max(1, int((loop.time() - due) * 1e6)))

        waiting.add(future)
        future.add_done_callback(done)
    if waiting:
        await asyncio.wait(waiting, timeout=10)
    took = loop.time() - start
    for client in people:
        await client.end()
    return {
        "asked": n, "took_s": took, **counts,
        "p50_ms": times.get_value_at_percentile(50) / 1000, "p99_ms": times.get_value_at_percentile(99) / 1000,
        "max_ms": times.get_max_value() / 1000,
    }  # fmt: skip


async def press(
    url: str, credential: str, seconds: float, clients: int, out_each: int, method: str
) -> dict[str, Any]:
    """A closed loop: so many requests are out at any time, so that the ingress is at its limit and no further."""
    people: list[Client] = []
    while len(people) < clients:
        try:
            people.append(await Client().connect(url, credential))
        except Refused:  # it sheds connections for its own load; what is measured is what it serves
            await asyncio.sleep(0.1)
    times, counts = HdrHistogram(1, 60_000_000, 3), dict[str, int]()
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds

    async def one(client: Client) -> None:
        while (began := loop.time()) < end:
            what = kind(await client.ask(method, {"data": {"work": 1}}))
            counts[what] = counts.get(what, 0) + 1
            times.record_value(max(1, int((loop.time() - began) * 1e6)))

    began = loop.time()
    await asyncio.gather(*(one(c) for c in people for _ in range(out_each)))
    took = loop.time() - began
    for client in people:
        await client.end()
    return {
        "asked": sum(counts.values()), "took_s": took, **counts, "rate": counts.get("served", 0) / took,
        "p50_ms": times.get_value_at_percentile(50) / 1000, "p99_ms": times.get_value_at_percentile(99) / 1000,
    }  # fmt: skip


async def view(base: str, password: str, viewers: int, seconds: float) -> dict[str, Any]:
    """Viewers as a browser with an open page is: each asks for its page's main part every two seconds."""
    host, port = base.split("/")[2].split(":")
    times, bad = HdrHistogram(1, 60_000_000, 3), 0
    loop = asyncio.get_running_loop()
    pages = ("/", "/nodes", "/partners", "/refusals", "/events")
    logging_in = asyncio.Semaphore(2)

    async def one(k: int) -> None:
        nonlocal bad
        reader, writer = await asyncio.open_connection(host, int(port))

        async def go(head: str, body: str = "") -> tuple[str, dict[str, str]]:
            writer.write(f"{head} HTTP/1.1\r\nHost: c\r\nContent-Length: {len(body)}\r\n{more}\r\n{body}".encode())
            status, *lines = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
            headers = {n.lower(): v for n, _, v in (x.partition(": ") for x in lines if x)}
            await reader.readexactly(int(headers["content-length"]))
            return status.split()[1], headers

        more = "Content-Type: application/x-www-form-urlencoded\r\n"
        async with logging_in:  # passwords cost CPU on purpose, and the console checks a few at a time
            _, headers = await go("POST /login", f"user=demo&password={password}")
        more = f"Cookie: {headers['set-cookie'].split(';')[0]}\r\n"
        await asyncio.sleep(k / viewers * 2)
        end = loop.time() + seconds
        n = k
        while (began := loop.time()) < end:
            status, _ = await go(f"GET {pages[n % len(pages)]}?fragment=1")
            bad += status != "200"
            times.record_value(max(1, int((loop.time() - began) * 1e6)))
            n += 1
            await asyncio.sleep(max(0.0, 2 - (loop.time() - began)))
        writer.close()

    await asyncio.gather(*(one(k) for k in range(viewers)))
    return {
        "pages": times.get_total_count(), "bad": bad,
        "p50_ms": times.get_value_at_percentile(50) / 1000, "p99_ms": times.get_value_at_percentile(99) / 1000,
    }  # fmt: skip
