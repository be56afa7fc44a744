"""The console beside a daemon: its own process, viewers of all kinds, actions that go through."""

from __future__ import annotations

import asyncio
import os
import re
import time
from pathlib import Path

from rushweir.console.sessions import hash_password
from rushweir.fronts.credentials import digest
from rushweir.lab.standins.client import kind

WORK = {"data": {"work": 1}}


def with_console(h, more: str = "") -> None:
    users = h.tmp / "users"
    users.touch(mode=0o600)
    users.write_text(f"maria:{hash_password('nachtdienst')}\n")
    h.write(more + "console {\n    listen 127.0.0.1:0\n    users-file users\n}\n")


class Browser:
    """As much of one as is needed: keeps its cookie, and its connection."""

    def __init__(self, url: str) -> None:
        self.host = url.split("/")[2]
        self.cookie = ""
        self.reader: asyncio.StreamReader | None = None

    async def go(self, path: str, form: str | None = None) -> tuple[int, dict[str, str], str]:
        if self.reader is None:
            host, port = self.host.split(":")
            self.reader, self.writer = await asyncio.open_connection(host, int(port))
        body = "" if form is None else form
        head = f"{'GET' if form is None else 'POST'} {path} HTTP/1.1\r\nHost: {self.host}\r\n"
        head += f"Cookie: {self.cookie}\r\n" if self.cookie else ""
        head += "" if form is None else "Content-Type: application/x-www-form-urlencoded\r\n"
        self.writer.write(f"{head}Content-Length: {len(body)}\r\n\r\n{body}".encode())
        status, *lines = (await self.reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = {k.lower(): v for k, _, v in (x.partition(": ") for x in lines if x)}
        text = (await self.reader.readexactly(int(headers["content-length"]))).decode()
        if "set-cookie" in headers:
            self.cookie = headers["set-cookie"].split(";")[0]
        return int(status.split()[1]), headers, text

    async def login(self) -> Browser:
        assert (await self.go("/login", "user=maria&password=nachtdienst"))[0] == 303
        return self

    def close(self) -> None:
        if self.reader is not None:
            self.writer.close()


async def console(h) -> str:
    await h.until(lambda: "console" in h.ask("status"))
    return h.ask("status")["console"]


def test_look_and_drain(house):
    async def body(h):
        await h.nodes(2)
        with_console(h, f'partner "<b>x</b>" {{\n    plan wide\n    credential {digest("x")}\n}}\n')
        await h.start(ready=2)
        url = await console(h)
        stranger = Browser(url)
        assert (await stranger.go("/nodes"))[0] == 303
        assert (await stranger.go("/login", "user=maria&password=wrong"))[0] == 403
        assert (await stranger.go("/login", "user=nobody&password=nachtdienst"))[0] == 403
        assert "rushweir_nodes{" in (await stranger.go("/metrics"))[2]
        maria = await Browser(url).login()
        one = h.fleet.nodes[0].address
        status, _, text = await maria.go(f"/nodes?search={one}")
        assert status == 200 and one in text and h.fleet.nodes[1].address not in text
        csrf = re.search(r'name="csrf" value="([^"]+)"', text)[1]
        assert (await maria.go("/nodes/drain", f"csrf=x&address={one}"))[0] == 403
        assert not h.ask("status")["by_hand"]
        assert (await maria.go("/nodes/drain", f"csrf={csrf}&address={one}"))[0] == 303
        assert h.ask("status")["by_hand"] == [one]
        assert "draining, by hand" in (await maria.go(f"/nodes?search={one}"))[2]
        assert (await maria.go("/nodes/readmit", f"csrf={csrf}&address={one}"))[0] == 303
        assert (await maria.go("/nodes/drain", f"csrf={csrf}&address=1.2.3.4:5"))[0] == 409
        _, _, text = await maria.go("/partners?search=<b>".replace("<", "%3C").replace(">", "%3E"))
        assert "&lt;b&gt;x&lt;/b&gt;" in text and "<b>x" not in text
        for path in ("/", "/refusals", "/events", "/requests", "/settings"):
            assert (await maria.go(path))[0] == 200
        maria.close()
        stranger.close()

    house(body)


def test_a_viewer_that_reads_one_byte_a_second_holds_up_nobody(house):
    async def body(h):
        await h.nodes(1)
        partner = "partner p{:04d} {{\n    plan wide\n    credential {}\n}}\n"
        more = "".join(partner.format(k, digest(str(k))) for k in range(300))
        with_console(h, more)
        await h.start()
        url = await console(h)
        slow = await Browser(url).login()
        for _ in range(200):  # far more than the sockets hold
            slow.writer.write(f"GET /settings HTTP/1.1\r\nHost: c\r\nCookie: {slow.cookie}\r\n\r\n".encode())
        slow.writer.transport.pause_reading()
        quick = await Browser(url).login()
        began = time.monotonic()
        for _ in range(5):
            assert (await quick.go("/partners"))[0] == 200
        client = await h.client()
        assert kind(await client.ask("position", WORK)) == "served"
        assert time.monotonic() - began < 5
        quick.close()
        slow.writer.transport.abort()

    house(body)


def test_the_console_ends_and_comes_back_and_the_ingress_goes_on(house):
    async def body(h):
        await h.nodes(1)
        with_console(h)
        daemon = await h.start()
        url = await console(h)
        maria = await Browser(url).login()
        children = Path(f"/proc/{daemon.pid}/task/{daemon.pid}/children").read_text().split()
        os.kill(int(children[0]), 9)
        await h.until(lambda: h.ask("events", search="console_ended"))
        client = await h.client()
        assert kind(await client.ask("position", WORK)) == "served"
        maria.close()
        again = await Browser(url).login()  # waits in the queue of the socket, which the daemon holds
        assert (await again.go("/"))[0] == 200
        again.close()
        daemon.terminate()
        assert await asyncio.wait_for(daemon.wait(), 10) == 0

    house(body)


def test_settings_of_the_console_are_checked(house):
    async def body(h):
        with_console(h)
        os.chmod(h.tmp / "users", 0o644)
        code, _, err = await h.run("config", "check", str(h.file))
        assert code == 2 and "users-file" in err and "can be read by others" in err
        os.chmod(h.tmp / "users", 0o600)
        (h.tmp / "users").write_text("maria:plain\n")
        code, _, err = await h.run("config", "check", str(h.file))
        assert code == 2 and "line 1: name:scrypt" in err
        assert (await h.run("console-user", str(h.tmp / "u2"), "maria", "--password", "x"))[0] == 0
        made = h.tmp / "u2"
        assert made.stat().st_mode & 0o777 == 0o600 and made.read_text().startswith("maria:scrypt$")
        assert (await h.run("console-user", str(h.tmp / "u2"), "a b", "--password", "x"))[0] == 2
        (h.tmp / "users").write_text((h.tmp / "u2").read_text())
        assert (await h.run("config", "check", str(h.file)))[0] == 0
        more = "console {\n    listen 127.0.0.1:0\n    users-file users\n}\n"
        h.write(more, ("control {\n    socket control.sock\n}\n", ""))
        code, _, err = await h.run("config", "check", str(h.file))
        assert code == 2 and "needs a control socket" in err

    house(body)
