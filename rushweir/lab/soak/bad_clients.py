"""Clients that an ingress owes an error at most, beside the usual ones: they come again, or send much and leave."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import sys

from rushweir.lab.records import clock
from rushweir.lab.soak.http_clients import Clients, Door

NOISE_BYTES = 2_000
CONNECTION_LIMIT_S = 5.0  # of one connection of such a client
RETRY_S = 0.02
MANY_REQUESTS, CHUNKS = 24, 8_000  # of one that leaves: more bytes than an ingress reads at once
CHUNKED_BODY = b"2\r\nxx\r\n" * CHUNKS + b"0\r\n\r\n"
WAVE_PAUSE_S = 1.5
LEFT_LIMIT_MS = 100.0 + 50.0  # no attempt begins later after a client's close; 50 ms are the slack on sockets
SAMPLE_S = 0.005  # between two looks at the delay of the laboratory's own event loop
BAD_TAG = "bad-"  # the ids of their requests begin so; backends answer them and record nothing


class BadClients:
    """The bad clients of a play, and the attempts that were late for them."""

    def __init__(self, clients: Clients, rng: random.Random, pause_ms: float) -> None:
        """``pause_ms``: for so long ingresses may be stopped."""
        self.clients, self.rng, self.pause_ms, self.serial = clients, rng, pause_ms, 0
        self.own_delays: list[tuple[float, float]] = []  # of the laboratory's loop: when, and by how many ms
        self.left_at: dict[str, float] = {}  # when the client of each request had closed its connection
        self.late_attempts: list[float] = []  # how long after that an attempt came, in ms, where that is too long

    async def come_again(self, door: Door, count: int, length_ms: float) -> None:
        """Runs clients whose bytes can't be read and who come again, in a process of their own: the laboratory's own
        loop has no time for thousands of connections."""
        words = [sys.executable, "-m", "rushweir.lab.soak.bad_clients", str(door.port), str(count), str(length_ms)]
        process = await asyncio.create_subprocess_exec(*words, stderr=asyncio.subprocess.DEVNULL)
        try:
            await process.wait()
        finally:
            if process.returncode is None:
                process.kill()
                await process.wait()

    async def send_and_leave(self, door: Door, count: int) -> None:
        """Lets some clients at once send many requests each and close their connections, again and again."""
        while not self.clients.ended:
            await asyncio.gather(*(self._send_and_leave(door) for _ in range(count)))
            await asyncio.sleep(WAVE_PAUSE_S)

    async def _send_and_leave(self, door: Door) -> None:
        tags = [self._next_tag() for _ in range(MANY_REQUESTS)]
        data = b"".join(map(self._request, tags))
        with contextlib.suppress(OSError):
            await asyncio.to_thread(_send_and_close, door.port, data)
            self.left_at.update(dict.fromkeys(tags, clock()))

    def attempt_arrived(self, tag: str) -> None:
        """An attempt of one of their requests has come whole to a backend."""
        left_at, now = self.left_at.get(tag), clock()
        if left_at is None:
            return
        own_delay = sum(delay for at, delay in self.own_delays if left_at <= at <= now)
        if now - left_at > LEFT_LIMIT_MS + self.pause_ms + own_delay:
            self.late_attempts.append(now - left_at)

    async def watch_own_delay(self) -> None:
        """Records by how much the laboratory's own event loop is late."""
        while not self.clients.ended:
            due = clock() + SAMPLE_S * 1000
            await asyncio.sleep(SAMPLE_S)
            if clock() > due + SAMPLE_S * 1000:
                self.own_delays.append((clock(), clock() - due))

    def _next_tag(self) -> str:
        self.serial += 1
        return f"{BAD_TAG}{self.serial}"

    def _request(self, tag: str) -> bytes:
        kind = self.rng.choice([c for c in self.clients.classes if c.effect != "safe"])
        head = [
            f"POST /api?customer={self.rng.randrange(1_000, 9_000):016x}&class={kind.name}&work=160 HTTP/1.1",
            "Host: origin.svc", f"Req-Id: {tag}", f"Req-Kind: {kind.name}", "X-Contract: plan",
            f"Idempotency-Key: key-{tag}", f"Req-Deadline-Ms: {kind.deadline_ms:.0f}",
            f"X-Metering: units=1,spread={self.clients.spread},first=0", "Transfer-Encoding: chunked", "", "",
        ]  # fmt: skip
        return "\r\n".join(head).encode() + CHUNKED_BODY


def _send_and_close(port: int, data: bytes) -> None:
    with socket.create_connection(("127.0.0.1", port), timeout=5.0) as sock:
        sock.sendall(data)


async def _refused_client(port: int, until: float, rng: random.Random) -> None:
    """Sends what can't be read, reads until the ingress closes, and comes again."""
    while clock() < until:
        try:
            async with asyncio.timeout(CONNECTION_LIMIT_S):
                reader, writer = await asyncio.open_connection("127.0.0.1", port)
                try:
                    writer.write(rng.randbytes(NOISE_BYTES))
                    while await reader.read(65_536):
                        pass
                finally:
                    writer.close()
        except (OSError, TimeoutError):
            await asyncio.sleep(RETRY_S)  # the ingress has ended, and is not back yet


async def _refused_clients(port: int, count: int, length_ms: float) -> None:
    until = clock() + length_ms
    await asyncio.gather(*(_refused_client(port, until, random.Random(number)) for number in range(count)))


if __name__ == "__main__":
    asyncio.run(_refused_clients(int(sys.argv[1]), int(sys.argv[2]), float(sys.argv[3])))
