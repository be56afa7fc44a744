"""Faults of clients and nodes, injected over real sockets."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace

import orjson

from rushweir import interface
from rushweir.fronts.websocket import FrontSettings
from rushweir.lab.standins.client import Client, kind, why
from rushweir.lab.standins.model import NodeKind
from rushweir.nodes.pool import PoolSettings
from tests.ingress.conftest import PLANS, with_limits


def answers_by_id(client: Client) -> Counter:
    """The number of final answers of each request id."""
    return Counter(r.id for r in client.answers)


def test_client_that_leaves_frees_its_capacity_when_the_node_answers(run_scenario):
    async def body(harness):
        await harness.add_nodes(1, NodeKind("n", cores=4, slots=8))
        await harness.start()
        leaving, staying = await harness.client(), await harness.client()
        leaving.send("booking", {"data": {"work": 150}})
        await harness.wait_until(harness.arrivals)
        leaving.vanish()
        await harness.wait_until(lambda: harness.core.engine.counts["left"] == 1)
        assert harness.core.engine.ledger.unanswered == 0
        assert len(harness.core.engine.ledger.entries) == 1  # its attempt is still in flight
        assert sum(harness.core.engine.policy.capacity.partitions.used) == 1.0
        await harness.wait_until(lambda: not harness.core.engine.ledger.entries)  # the node has answered
        assert sum(harness.core.engine.policy.capacity.partitions.used) == 0.0  # its capacity is released
        assert not harness.core.engine.policy.pending
        assert kind(await staying.ask("position", {"data": {"work": 1}})) == "served"
        assert not leaving.answers and len(harness.arrivals(cls="booking")) == 1
        assert harness.core.counts["answers_to_nobody"] == 0

    run_scenario(body)


def test_draining_node_gets_no_new_attempts_and_no_request_is_lost(run_scenario):
    async def body(harness):
        await harness.add_nodes(3, NodeKind("n", cores=200, slots=1000, queue=1000, knee=1000))
        await harness.start()
        clients = await asyncio.gather(*(harness.client() for _ in range(200)))
        futures = [c.open[c.send("booking", {"data": {"work": 400}})] for c in clients]
        # Requests, not attempts: on a slow machine one may be considered lost and retried.
        await harness.wait_until(lambda: len({a["req"] for a in harness.arrivals()}) == 200)
        drained = harness.node_fleet.nodes[0]
        assert harness.arrivals(node=drained.address), "it has attempts in flight"
        harness.list.set(drained.address, "draining")
        drained_at = harness.records.kept[-1]["t"]

        async def ask_repeatedly(client):
            for _ in range(12):
                await client.ask("position", {"data": {"work": 20}})
                await asyncio.sleep(0.08)

        replies, _ = await asyncio.gather(
            asyncio.gather(*futures), asyncio.gather(*(ask_repeatedly(c) for c in clients[:40]))
        )
        assert Counter(kind(r) for r in replies) == {"served": 200}
        assert all(max(answers_by_id(c).values()) == 1 for c in clients)
        late = [a for a in harness.arrivals(node=drained.address) if a["t"] > drained_at + 1000]
        assert not late
        assert [a for a in harness.arrivals() if a["t"] > drained_at + 1000], "others got requests"

    # Nodes share this process's event loop with 200 handshakes; how soon they accept is not tested here.
    run_scenario(body, pool=PoolSettings(connect_timeout_ms=5_000.0))


def test_restart_after_a_kill_uses_the_saved_list_and_repeats_nothing(run_scenario):
    async def body(harness):
        await harness.add_nodes(2)
        await harness.start()
        client = await harness.client()
        assert kind(await client.ask("position", {"data": {"work": 1}})) == "served"
        await harness.wait_until(
            lambda: harness.shell.files.list_task is None and (harness.folder / "list.json").exists()
        )
        client.send("booking", {"data": {"work": 64 * 400}})
        await harness.wait_until(lambda: harness.arrivals(cls="booking"))
        port = int(harness.url.rsplit(":", 1)[1].split("/")[0])
        await harness.shell.kill()
        await client.closed.wait()
        harness.list.down()  # the list service is down, too
        servers, harness.list.servers = harness.list.servers, {}
        await harness.start(port=port)
        assert set(harness.core.nodes.effective) == set(servers) and harness.core.nodes.updated_at is None
        client = await harness.client()
        assert kind(await client.ask("position", {"data": {"work": 1}})) == "served"
        assert len(harness.arrivals(cls="booking")) == 1  # requests of the killed process are not sent again

    run_scenario(body)


def test_node_that_never_answers_fails_requests_at_their_deadline(run_scenario):
    async def body(harness):
        await harness.add_nodes(2)
        harness.node_fleet.nodes[0].fault("mute", 1.0)
        harness.node_fleet.nodes[1].fault("mute", 1.0)
        await harness.start()
        client = await harness.client()
        reply = await client.ask("pay", {"data": {"work": 1}, "within_ms": 500})
        assert kind(reply) == "failed"  # it may have run
        assert len(harness.arrivals()) == 1
        safe = await client.ask("position", {"data": {"work": 1}, "within_ms": 500})
        assert (kind(safe), why(safe)) in (("refused", "attempts"), ("failed", "attempts"))
        assert harness.core.engine.ledger.unanswered == 0 and not harness.core.engine.ledger.entries

    run_scenario(body)


def test_reset_in_the_middle_of_an_answer_fails_an_unsafe_request(run_scenario):
    async def body(harness):
        await harness.add_nodes(2)
        for node in harness.node_fleet.nodes:
            node.fault("half", 1.0)
        await harness.start()
        client = await harness.client()
        assert kind(await client.ask("pay", {"data": {"work": 1}})) == "failed"
        assert len(harness.arrivals(cls="pay")) == 1
        assert harness.core.engine.counts["attempt_reset"] == 1
        for node in harness.node_fleet.nodes:
            node.fault("half", None)
        assert kind(await client.ask("pay", {"data": {"work": 1}})) == "served"

    run_scenario(body)


def test_duplicate_answers_and_wrong_ids_are_ignored(run_scenario):
    async def body(harness):
        await harness.add_nodes(1)
        node = harness.node_fleet.nodes[0]
        node.fault("double", 1.0)
        await harness.start()
        client = await harness.client()
        for _ in range(5):
            assert kind(await client.ask("position", {"data": {"work": 1}})) == "served"
        await harness.wait_until(lambda: harness.core.pool.counts["stray_answers"] == 5)
        assert max(answers_by_id(client).values()) == 1
        node.fault("double", None)
        node.fault("wrong_id", 1.0)
        reply = await client.ask("pay", {"data": {"work": 1}, "within_ms": 300})
        assert kind(reply) == "failed"
        assert harness.core.pool.counts["stray_answers"] == 6
        assert set(answers_by_id(client).values()) == {1}

    run_scenario(body)


def test_id_of_an_open_request_is_rejected(run_scenario):
    async def body(harness):
        await harness.add_nodes(1)
        await harness.start()
        client = await harness.client()
        client.send("position", {"data": {"work": 64 * 5}}, id="same")
        client.send("position", {"data": {"work": 1}}, id="same")
        await harness.wait_until(lambda: len(client.answers) == 2)
        (problem,) = [r for r in client.answers if r.error is not None]
        assert problem.id is None and problem.error["data"] == {"id": "same", "reason": "open_id"}
        assert answers_by_id(client)["same"] == 1 and len(harness.arrivals()) == 1
        assert (
            kind(await client.ask("position", {"data": {"work": 1}}, id="same")) == "served"
        )  # the id is free again

    run_scenario(body)


def test_batch_of_1000_is_answered_and_a_larger_one_rejected(run_scenario):
    async def body(harness):
        await harness.add_nodes(2)
        await harness.start()
        client = await harness.client()
        calls = [
            {"jsonrpc": "2.0", "id": k, "method": "position", "params": {"data": {"work": 1}}} for k in range(997)
        ]
        calls += [{"jsonrpc": "2.0", "method": "position"}, 7, {"jsonrpc": "2.0", "id": "x", "method": "nix"}]
        client.raw(orjson.dumps(calls))
        await harness.wait_until(lambda: len(client.answers) >= 999)
        got = answers_by_id(client)
        assert all(got[k] == 1 for k in range(997)) and got["x"] == 1 and got[None] == 1
        assert len(client.answers) == 999  # a notification has no answer
        codes = {r.id: r.error["code"] for r in client.answers if r.error is not None and r.id in (None, "x")}
        assert codes == {None: -32600, "x": -32601}
        client.raw(orjson.dumps([*calls, 1]))  # 1,001
        await harness.wait_until(lambda: len(client.answers) == 1000)
        assert client.answers[-1].error["code"] == -32600

    run_scenario(body)


def test_batch_is_answered_by_its_earliest_deadline(run_scenario):
    async def body(harness):
        await harness.add_nodes(1)
        harness.node_fleet.nodes[0].fault("mute", 1.0)
        await harness.start()
        client = await harness.client()
        began = asyncio.get_running_loop().time()
        client.raw(orjson.dumps([
            {"jsonrpc": "2.0", "id": 1, "method": "pay", "params": {"within_ms": 300}},
            {"jsonrpc": "2.0", "id": 2, "method": "pay"},
        ]))  # fmt: skip
        await harness.wait_until(lambda: len(client.answers) == 2)
        assert asyncio.get_running_loop().time() - began < 0.3

    run_scenario(body)


def test_client_that_never_reads_is_dropped_and_others_are_served(run_scenario):
    async def body(harness):
        harness.setup_overrides = {"unread_ms": 300.0}
        await harness.add_nodes(2)
        await harness.start()
        reader = await harness.client()
        mute = Client()
        mute._read = lambda: asyncio.sleep(0)  # it sends requests and reads nothing
        await mute.connect(harness.url, "secret-wide")
        harness.clients.append(mute)
        # No message is a valid request, so each small one has a large answer, until the connection is closed.
        batch = b"[" + b",".join([b"1"] * 1000) + b"]"

        async def flood():
            while not harness.core.counts["unread"] and not mute.writer.transport.is_closing():
                if mute.writer.transport.get_write_buffer_size() < 200_000:
                    mute.raw(batch)
                await asyncio.sleep(0)

        asking = asyncio.create_task(flood())
        times = []
        loop = asyncio.get_running_loop()
        max_buffered = 0
        while not asking.done():
            began = loop.time()
            assert kind(await reader.ask("position", {"data": {"work": 1}})) in ("served", "refused")
            times.append(loop.time() - began)
            max_buffered = max(max_buffered, *(t.get_write_buffer_size() for t in harness.shell.transports.values()))
        assert harness.core.counts["unread"] == 1
        one_read = 65_536 // len(batch) * 120_000  # the largest answers to the messages of one read
        assert max_buffered <= harness.front.buffer + one_read
        assert max(times) < 1.0
        await harness.wait_until(lambda: len(harness.core.clients.open) == 1)

    run_scenario(body, front=FrontSettings(path="/dispatch", buffer=200_000))


def test_connection_with_too_many_unread_answers_is_closed(run_scenario):
    async def body(harness):
        await harness.add_nodes(1)
        await harness.start()
        mute = Client()
        mute._read = lambda: asyncio.sleep(0)
        await mute.connect(harness.url, "secret-wide")
        harness.clients.append(mute)
        conn = next(iter(harness.core.clients.open))
        for k in range(400):  # accepted first, answered later: the answers pile up
            mute.send("position", {"data": {"work": 64, "pad": 1}}, id=f"{k}" + "i" * 100)
        await harness.wait_until(lambda: harness.core.engine.counts["requests"] == 400)
        harness.shell.transports[conn].set_write_buffer_limits(high=1)
        harness.core.congested(harness.core.now, conn, harness.front.buffer + 1)
        harness.shell.carry_out()
        assert harness.core.counts["unread"] == 1 and harness.core.engine.ledger.unanswered == 0
        await harness.wait_until(lambda: conn not in harness.core.clients.open, 5)

    run_scenario(body)


def test_refused_connections_are_retried_on_another_node(run_scenario):
    async def body(harness):
        await harness.add_nodes(2)
        await harness.start()
        dead = harness.node_fleet.nodes[0]
        dead.kill()
        client = await harness.client()
        replies = [await client.ask("pay", {"data": {"work": 1}}) for _ in range(10)]
        # A refused connection proves that the request never ran, so even an unsafe one is retried elsewhere.
        assert {kind(r) for r in replies} == {"served"}
        assert harness.core.engine.counts["attempt_connect_failed"] > 0

    run_scenario(body)


def test_full_node_refuses_without_running(run_scenario):
    async def body(harness):
        await harness.add_nodes(1, NodeKind("tiny", cores=1, slots=1, queue=0))
        await harness.start()
        client = await harness.client()
        first = client.open[client.send("pay", {"data": {"work": 200}})]
        await harness.wait_until(harness.arrivals)
        second = await client.ask("pay", {"data": {"work": 1}})
        assert kind(second) == "refused" and why(second) == "attempts"
        assert kind(await first) == "served"
        assert harness.core.engine.counts["attempt_full"] >= 1

    run_scenario(body)


def test_full_ingress_refuses_further_requests(run_scenario):
    async def body(harness):
        await harness.add_nodes(1)
        await harness.start()
        client = await harness.client()
        futures = [client.open[client.send("position", {"data": {"work": 64 * 100}})] for _ in range(8)]
        replies = await asyncio.gather(*futures)
        assert Counter(why(r) for r in replies)["ingress_full"] == 4

    async def limited(harness):
        harness.settings = with_limits(harness.settings, max_open_requests=4)
        await body(harness)

    run_scenario(limited)


def test_open_attempts_are_released_after_each_answer(run_scenario):
    async def body(harness):
        harness.settings = replace(harness.settings, plans=(*PLANS, interface.Plan("two", max_in_flight=2)))
        await harness.add_nodes(2)
        await harness.start()
        client = await harness.client()
        for _ in range(30):
            assert kind(await client.ask("position", {"data": {"work": 1}})) == "served"
        assert harness.core.engine.ledger.unanswered == 0
        buckets = harness.core.engine.policy.quota.owned_buckets
        assert all(not bucket.in_flight for bucket in buckets.values())

    run_scenario(body)


def test_silent_node_is_noticed_by_pings(run_scenario):
    async def body(harness):
        await harness.add_nodes(1)
        await harness.start()
        client = await harness.client()
        assert kind(await client.ask("position", {"data": {"work": 1}})) == "served"
        harness.node_fleet.nodes[0].fault("silent", True)
        client.send("position", {"data": {"work": 1}, "within_ms": 400})
        await harness.wait_until(lambda: harness.core.pool.counts["silent_links"] == 1)
        assert not harness.core.pool.links

    run_scenario(body, pool=PoolSettings(ping_ms=150.0))


def test_idle_node_connections_are_closed_and_reopened(run_scenario):
    async def body(harness):
        await harness.add_nodes(1)
        await harness.start()
        client = await harness.client()
        assert kind(await client.ask("position", {"data": {"work": 1}})) == "served"
        assert len(harness.core.pool.links) == 1
        await harness.wait_until(lambda: not harness.core.pool.links)
        await harness.wait_until(lambda: not harness.node_fleet.nodes[0].peers)
        assert kind(await client.ask("position", {"data": {"work": 1}})) == "served"

    run_scenario(body, pool=PoolSettings(idle_ms=100.0))


def test_graceful_stop_answers_open_requests(run_scenario):
    async def body(harness):
        await harness.add_nodes(1, NodeKind("n", cores=4, slots=8))
        await harness.start()
        client, idle = await harness.client(), await harness.client()
        future = client.open[client.send("pay", {"data": {"work": 200}})]
        await harness.wait_until(harness.arrivals)
        stopping = asyncio.create_task(harness.shell.stop())
        assert kind(await future) == "served"
        assert await stopping
        await asyncio.gather(client.closed.wait(), idle.closed.wait())
        assert (client.close_code, idle.close_code) == (1001, 1001)

    run_scenario(body)


def test_second_signal_leaves_clients_a_moment_to_read_that_they_are_closed(run_scenario):
    async def body(harness):
        await harness.add_nodes(1)
        await harness.start()
        client = await Client(harness.records, heeds_closing=True).connect(harness.url, "secret-wide")
        harness.clients.append(client)
        client.writer.transport.pause_reading()
        ending = asyncio.create_task(harness.shell.answer_now())
        await harness.wait_until(lambda: harness.core.stopping)
        crossing = client.open[client.send("pay", {"data": {"work": 1}})]
        client.writer.transport.resume_reading()
        assert why(await crossing) == "stopping"
        await ending
        assert harness.core.is_idle()

    run_scenario(body)
