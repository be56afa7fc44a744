"""An ingress whose process is overloaded: it sheds in order, logs it, and answers accepted requests in time."""

from __future__ import annotations

import asyncio
import time

from rushweir.lab.standins.client import kind

from .test_failures import why


def block_loop(harness, ms: float, times: int) -> None:
    """Makes turns of the event loop take too long, as when the machine gives the process no CPU."""
    loop = asyncio.get_running_loop()

    def turn(left: int) -> None:
        time.sleep(ms / 1000)
        if left:
            loop.call_soon(turn, left - 1)

    loop.call_soon(turn, times)


def test_overloaded_ingress_sheds_and_recovers(run_scenario):
    async def body(harness):
        await harness.add_nodes(1)
        harness.setup_overrides = {"late_ms": 10.0, "max_late_ms": 40.0}
        await harness.start()
        client = await harness.client()
        block_loop(harness, 60.0, 25)
        await harness.wait_until(lambda: harness.core.load_shedder.level == 2)
        harness.core.load_shedder.record_delay = lambda late: None  # the delay stays at its worst while it is checked
        harness.core.load_shedder.delay_ms = 500.0
        answer = await client.ask("position", {"data": {"work": 1}})
        assert why(answer) == "overloaded" and answer.error["data"]["retry_after_ms"] > 0
        reader, writer = await asyncio.open_connection("127.0.0.1", int(harness.url.split(":")[2].split("/")[0]))
        assert (await reader.read(100)).startswith(b"HTTP/1.1 503")
        writer.close()
        del harness.core.load_shedder.record_delay
        await harness.wait_until(lambda: harness.core.load_shedder.level == 0, 10)
        assert kind(await client.ask("position", {"data": {"work": 1}})) == "served"
        levels = [e["fields"]["level"] for e in harness.core.telemetry.events if e["cause"] == "overload"]
        assert max(levels) == 2 and levels[-1] == 0

    run_scenario(body)


def test_deadlines_of_accepted_requests_move_forward_by_the_delay(run_scenario):
    async def body(harness):
        await harness.add_nodes(1)
        await harness.start()
        block_loop(harness, 60.0, 15)
        await harness.wait_until(lambda: harness.core.load_shedder.delay_ms > 20)
        assert harness.core.engine.margin_ms >= harness.core.setup.margin_ms + 20

    run_scenario(body)
