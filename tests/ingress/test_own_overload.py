"""An ingress short of CPU: it sheds in order, says so, and answers what it took in time."""

from __future__ import annotations

import asyncio
import time

from rushweir.lab.standins.client import kind

from .test_hard_cases import why


def hold_up(p, ms: float, times: int) -> None:
    """Turns of the loop that take too long, as when the machine gives the process no time."""
    loop = asyncio.get_running_loop()

    def turn(left: int) -> None:
        time.sleep(ms / 1000)
        if left:
            loop.call_soon(turn, left - 1)

    loop.call_soon(turn, times)


def test_it_sheds_and_recovers(place):
    async def body(p):
        await p.nodes(1)
        p.more = {"late_ms": 10.0, "max_late_ms": 40.0}
        await p.start()
        client = await p.client()
        hold_up(p, 60.0, 25)
        await p.until(lambda: p.core.load_shedder.level == 2)
        p.core.load_shedder.record_delay = lambda late: None  # held at its worst, while it is looked at
        p.core.load_shedder.delay_ms = 500.0
        answer = await client.ask("position", {"data": {"work": 1}})
        assert why(answer) == "overloaded" and answer.error["data"]["retry_after_ms"] > 0
        reader, writer = await asyncio.open_connection("127.0.0.1", int(p.url.split(":")[2].split("/")[0]))
        assert (await reader.read(100)).startswith(b"HTTP/1.1 503")
        writer.close()
        del p.core.load_shedder.record_delay
        await p.until(lambda: p.core.load_shedder.level == 0, 10)
        assert kind(await client.ask("position", {"data": {"work": 1}})) == "served"
        levels = [e["fields"]["level"] for e in p.core.telemetry.events if e["cause"] == "overload"]
        assert max(levels) == 2 and levels[-1] == 0

    place(body)


def test_what_is_taken_is_due_the_earlier(place):
    async def body(p):
        await p.nodes(1)
        await p.start()
        hold_up(p, 60.0, 15)
        await p.until(lambda: p.core.load_shedder.delay_ms > 20)
        assert p.core.engine.margin_ms >= p.core.setup.margin_ms + 20

    place(body)
