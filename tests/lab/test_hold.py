"""``rushweir demo --hold``: a fleet that any WebSocket client can talk to; ``rushweir serve`` with bad settings."""

from __future__ import annotations

import asyncio
import re
import signal
import sys
from pathlib import Path

from rushweir.lab.standins.client import Client, Refused, kind, why


async def connected(url: str, credential: str) -> Client:
    """An ingress that is short of processor time turns new connections away for a second, and says so."""
    async with asyncio.timeout(30):
        while True:
            try:
                return await Client().connect(url, credential)
            except Refused as e:
                assert e.status == 503 and e.retry_after_s > 0, e
                await asyncio.sleep(e.retry_after_s)


def test_the_fleet_is_held_up_and_taken_down():
    async def main() -> None:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "rushweir", "demo", "--hold", stdout=asyncio.subprocess.PIPE
        )
        try:
            lines = [(await asyncio.wait_for(process.stdout.readline(), 30)).decode() for _ in range(4)]
            urls = [re.fullmatch(r"ingress (\d) (ws://127\.0\.0\.1:\d+/dispatch)\n", line) for line in lines[:3]]
            assert [u[1] for u in urls] == ["0", "1", "2"]
            credential = re.fullmatch(r"credential (\S+)\n", lines[3])[1]
            for u in urls:
                client = await connected(u[2], credential)
                reply = await client.ask("booking", {"key": "k1", "within_ms": 2000, "data": {"work": 5}})
                while kind(reply) == "refused":  # its part of the ceiling starts empty; the advice says how long
                    assert (why(reply), reply.error["data"]["retry_after_ms"] > 0) == ("ceiling", True)
                    await asyncio.sleep(reply.error["data"]["retry_after_ms"] / 1000)
                    reply = await client.ask("booking", {"key": "k1", "within_ms": 2000, "data": {"work": 5}})
                assert kind(reply) == "served", reply
                await client.close()
        finally:
            # It ends what it started; killed outright it would leave its fleet behind.
            process.send_signal(signal.SIGINT)
            code = await asyncio.wait_for(process.wait(), 30)
        assert code == 0

    asyncio.run(main())


def test_commands_say_what_is_wrong(tmp_path: Path):
    async def run(*args: str) -> tuple[int, str]:
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "rushweir", *args, stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.PIPE
        )
        out, err = await asyncio.wait_for(process.communicate(), 30)
        return process.returncode, (out + err).decode()

    async def main() -> None:
        (tmp_path / "bad.conf").write_text("zone\n")
        (tmp_path / "bad.json").write_text("{}")
        (tmp_path / "records").mkdir()
        found = await asyncio.gather(
            run("serve", str(tmp_path / "bad.conf")),
            run("lab", "day", str(tmp_path / "none.day")),
            run("lab", "replay", str(tmp_path / "bad.json")),
            run("lab", "check", str(tmp_path / "records")),
        )
        assert [code for code, _ in found] == [2, 2, 2, 2]
        texts = [text for _, text in found]
        assert "bad.conf:1:1: zone: one value is expected" in texts[0]
        assert "none.day:1:1: can't be read" in texts[1] and "'v' is missing" in texts[2] and "no facts" in texts[3]

    asyncio.run(main())
