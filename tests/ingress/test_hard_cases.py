"""What goes wrong on the way, caused on purpose over real sockets."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace

import orjson

from rushweir import interface as i
from rushweir.fronts.websocket import FrontSettings
from rushweir.lab.standins.client import Client, kind, why
from rushweir.lab.standins.model import NodeKind
from rushweir.nodes.pool import PoolSettings
from tests.ingress.conftest import PLANS, with_limits


def finals(client: Client) -> Counter:
    return Counter(r.id for r in client.answers)


def test_client_leaves_in_mid_booking(place):
    async def body(p):
        await p.nodes(1, NodeKind("n", cores=4, slots=8))
        await p.start()
        leaver, stayer = await p.client(), await p.client()
        leaver.send("booking", {"data": {"work": 150}})
        await p.until(p.arrivals)
        leaver.vanish()
        await p.until(lambda: p.core.engine.counts["left"] == 1)
        assert p.core.engine.ledger.unanswered == 0
        assert len(p.core.engine.ledger.entries) == 1  # its attempt is still out
        assert sum(p.core.engine.policy.capacity.partitions.used) == 1.0
        await p.until(lambda: not p.core.engine.ledger.entries)  # the node has answered
        assert sum(p.core.engine.policy.capacity.partitions.used) == 0.0  # its place is back
        assert not p.core.engine.policy.pending
        assert kind(await stayer.ask("position", {"data": {"work": 1}})) == "served"
        assert not leaver.answers and len(p.arrivals(cls="booking")) == 1
        assert p.core.counts["answers_to_nobody"] == 0

    place(body)


def test_a_node_drains_with_200_open_sockets(place):
    async def body(p):
        await p.nodes(3, NodeKind("n", cores=200, slots=1000, queue=1000, knee=1000))
        await p.start()
        clients = await asyncio.gather(*(p.client() for _ in range(200)))
        futures = [c.open[c.send("booking", {"data": {"work": 400}})] for c in clients]
        # Requests, not attempts: on a slow machine one may be taken for lost, and repeated in its room.
        await p.until(lambda: len({a["req"] for a in p.arrivals()}) == 200)
        drained = p.fleet.nodes[0]
        assert p.arrivals(node=drained.address), "work rides on it"
        p.list.set(drained.address, "draining")
        told = p.records.kept[-1]["t"]

        async def again(client):
            for _ in range(12):
                await client.ask("position", {"data": {"work": 20}})
                await asyncio.sleep(0.08)

        replies, _ = await asyncio.gather(asyncio.gather(*futures), asyncio.gather(*(again(c) for c in clients[:40])))
        assert Counter(kind(r) for r in replies) == {"served": 200}
        assert all(max(finals(c).values()) == 1 for c in clients)
        late = [a for a in p.arrivals(node=drained.address) if a["t"] > told + 1000]
        assert not late
        assert [a for a in p.arrivals() if a["t"] > told + 1000], "others went on"

    # Nodes share this process's loop with 200 handshakes: how soon they accept is not what is looked at.
    place(body, pool=PoolSettings(connect_timeout_ms=5_000.0))


def test_killed_in_mid_attempt_and_back_with_the_last_list(place):
    async def body(p):
        await p.nodes(2)
        await p.start()
        client = await p.client()
        assert kind(await client.ask("position", {"data": {"work": 1}})) == "served"
        await p.until(lambda: p.shell.saver is None and (p.tmp / "list.json").exists())
        client.send("booking", {"data": {"work": 64 * 400}})
        await p.until(lambda: p.arrivals(cls="booking"))
        port = int(p.url.rsplit(":", 1)[1].split("/")[0])
        await p.shell.kill()
        await client.closed.wait()
        p.list.down()  # and there is no list service any more
        servers, p.list.servers = p.list.servers, {}
        await p.start(port=port)
        assert set(p.core.nodes.effective) == set(servers) and p.core.nodes.updated_at is None
        again = await p.client()
        assert kind(await again.ask("position", {"data": {"work": 1}})) == "served"
        assert len(p.arrivals(cls="booking")) == 1  # nothing of the old life is sent on

    place(body)


def test_a_node_that_accepts_and_never_answers(place):
    async def body(p):
        await p.nodes(2)
        p.fleet.nodes[0].fault("mute", 1.0)
        p.fleet.nodes[1].fault("mute", 1.0)
        await p.start()
        client = await p.client()
        reply = await client.ask("pay", {"data": {"work": 1}, "within_ms": 500})
        assert kind(reply) == "failed"  # it may have run: no promise
        assert len(p.arrivals()) == 1
        safe = await client.ask("position", {"data": {"work": 1}, "within_ms": 500})
        assert (kind(safe), why(safe)) in (("refused", "attempts"), ("failed", "attempts"))
        assert p.core.engine.ledger.unanswered == 0 and not p.core.engine.ledger.entries

    place(body)


def test_a_node_resets_half_way_through_an_answer(place):
    async def body(p):
        await p.nodes(2)
        for node in p.fleet.nodes:
            node.fault("half", 1.0)
        await p.start()
        client = await p.client()
        assert kind(await client.ask("pay", {"data": {"work": 1}})) == "failed"
        assert len(p.arrivals(cls="pay")) == 1
        assert p.core.engine.counts["attempt_reset"] == 1
        for node in p.fleet.nodes:
            node.fault("half", None)
        assert kind(await client.ask("pay", {"data": {"work": 1}})) == "served"

    place(body)


def test_two_answers_and_a_wrong_id(place):
    async def body(p):
        await p.nodes(1)
        node = p.fleet.nodes[0]
        node.fault("double", 1.0)
        await p.start()
        client = await p.client()
        for _ in range(5):
            assert kind(await client.ask("position", {"data": {"work": 1}})) == "served"
        await p.until(lambda: p.core.pool.counts["stray_answers"] == 5)
        assert max(finals(client).values()) == 1
        node.fault("double", None)
        node.fault("wrong_id", 1.0)
        reply = await client.ask("pay", {"data": {"work": 1}, "within_ms": 300})
        assert kind(reply) == "failed"
        assert p.core.pool.counts["stray_answers"] == 6
        assert set(finals(client).values()) == {1}

    place(body)


def test_the_same_id_twice_while_the_first_is_out(place):
    async def body(p):
        await p.nodes(1)
        await p.start()
        client = await p.client()
        client.send("position", {"data": {"work": 64 * 5}}, id="same")
        client.send("position", {"data": {"work": 1}}, id="same")
        await p.until(lambda: len(client.answers) == 2)
        (problem,) = [r for r in client.answers if r.error is not None]
        assert problem.id is None and problem.error["data"] == {"id": "same", "reason": "open_id"}
        assert finals(client)["same"] == 1 and len(p.arrivals()) == 1
        assert kind(await client.ask("position", {"data": {"work": 1}}, id="same")) == "served"  # free again

    place(body)


def test_a_batch_of_1000(place):
    async def body(p):
        await p.nodes(2)
        await p.start()
        client = await p.client()
        calls = [
            {"jsonrpc": "2.0", "id": k, "method": "position", "params": {"data": {"work": 1}}} for k in range(997)
        ]
        calls += [{"jsonrpc": "2.0", "method": "position"}, 7, {"jsonrpc": "2.0", "id": "x", "method": "nix"}]
        client.raw(orjson.dumps(calls))
        await p.until(lambda: len(client.answers) >= 999)
        got = finals(client)
        assert all(got[k] == 1 for k in range(997)) and got["x"] == 1 and got[None] == 1
        assert len(client.answers) == 999  # a notification has no answer
        codes = {r.id: r.error["code"] for r in client.answers if r.error is not None and r.id in (None, "x")}
        assert codes == {None: -32600, "x": -32601}
        client.raw(orjson.dumps([*calls, 1]))  # 1,001
        await p.until(lambda: len(client.answers) == 1000)
        assert client.answers[-1].error["code"] == -32600

    place(body)


def test_a_batch_is_answered_in_time_for_its_hastiest_member(place):
    async def body(p):
        await p.nodes(1)
        p.fleet.nodes[0].fault("mute", 1.0)
        await p.start()
        client = await p.client()
        began = asyncio.get_running_loop().time()
        client.raw(orjson.dumps([
            {"jsonrpc": "2.0", "id": 1, "method": "pay", "params": {"within_ms": 300}},
            {"jsonrpc": "2.0", "id": 2, "method": "pay"},
        ]))  # fmt: skip
        await p.until(lambda: len(client.answers) == 2)
        assert asyncio.get_running_loop().time() - began < 0.3

    place(body)


def test_a_client_that_never_reads(place):
    async def body(p):
        p.more = {"unread_ms": 300.0}
        await p.nodes(2)
        await p.start()
        good = await p.client()
        mute = Client()
        mute._read = lambda: asyncio.sleep(0)  # asks, and takes nothing off its socket
        await mute.connect(p.url, "secret-wide")
        p.clients.append(mute)
        # Nothing of it is a request, so each small message has a large answer. Reading is paused, then it ends.
        batch = b"[" + b",".join([b"1"] * 1000) + b"]"

        async def flood():
            while not p.core.counts["unread"] and not mute.writer.transport.is_closing():
                if mute.writer.transport.get_write_buffer_size() < 200_000:
                    mute.raw(batch)
                await asyncio.sleep(0)

        asking = asyncio.create_task(flood())
        times, loop, most = [], asyncio.get_running_loop(), 0
        while not asking.done():
            began = loop.time()
            assert kind(await good.ask("position", {"data": {"work": 1}})) in ("served", "refused")
            times.append(loop.time() - began)
            most = max(most, *(t.get_write_buffer_size() for t in p.shell.transports.values()))
        assert p.core.counts["unread"] == 1
        one_read = 65_536 // len(batch) * 120_000  # what a read's worth of such messages can answer at most
        assert most <= p.front.buffer + one_read
        assert max(times) < 1.0
        await p.until(lambda: len(p.core.clients.open) == 1)

    place(body, front=FrontSettings(path="/dispatch", buffer=200_000))


def test_answers_that_nobody_reads_close_the_connection(place):
    async def body(p):
        await p.nodes(1)
        await p.start()
        mute = Client()
        mute._read = lambda: asyncio.sleep(0)
        await mute.connect(p.url, "secret-wide")
        p.clients.append(mute)
        conn = next(iter(p.core.clients.open))
        for k in range(400):  # taken first, answered later: the answers pile up after reading was paused
            mute.send("position", {"data": {"work": 64, "pad": 1}}, id=f"{k}" + "i" * 100)
        await p.until(lambda: p.core.engine.counts["requests"] == 400)
        p.shell.transports[conn].set_write_buffer_limits(high=1)
        p.core.congested(p.core.now, conn, p.front.buffer + 1)
        p.shell.carry_out()
        assert p.core.counts["unread"] == 1 and p.core.engine.ledger.unanswered == 0
        await p.until(lambda: conn not in p.core.clients.open, 5)

    place(body)


def test_node_refuses_connections(place):
    async def body(p):
        await p.nodes(2)
        await p.start()
        dead = p.fleet.nodes[0]
        dead.kill()
        client = await p.client()
        replies = [await client.ask("pay", {"data": {"work": 1}}) for _ in range(10)]
        # A refused connect never ran, so even what must not run twice goes on to the other node.
        assert {kind(r) for r in replies} == {"served"}
        assert p.core.engine.counts["attempt_connect_failed"] > 0

    place(body)


def test_a_full_node_never_ran(place):
    async def body(p):
        await p.nodes(1, NodeKind("tiny", cores=1, slots=1, queue=0))
        await p.start()
        client = await p.client()
        first = client.open[client.send("pay", {"data": {"work": 200}})]
        await p.until(p.arrivals)
        second = await client.ask("pay", {"data": {"work": 1}})
        assert kind(second) == "refused" and why(second) == "attempts"
        assert kind(await first) == "served"
        assert p.core.engine.counts["attempt_full"] >= 1

    place(body)


class Faulty:
    """A policy that raises at what ``when`` picks, and is itself otherwise."""

    def __init__(self, real, when):
        self.real, self.when, self.raised = real, when, 0

    def start(self):
        return self.real.start()

    def handle(self, now, event):
        if self.when(event):
            self.raised += 1
            raise RuntimeError("planted")
        return self.real.handle(now, event)


def faulty(p, when):
    from rushweir.ingress.shell import Clock
    from rushweir.policy import Policy

    p.policy = Faulty(Policy(p.settings, 7, Clock()()), when)


def test_the_policy_raises_at_a_request(place):
    async def body(p):
        faulty(p, lambda e: isinstance(e, i.Request) and e.class_name == "pay")
        await p.nodes(2)
        await p.start()
        client = await p.client()
        reply = await client.ask("pay", {"data": {"work": 1}})
        assert kind(reply) == "refused" and why(reply) == "fault"  # nothing was sent: trying again is harmless
        assert kind(await client.ask("position", {"data": {"work": 1}})) == "served"
        assert p.core.engine.faults == 1 and p.core.engine.ledger.unanswered == 0

    place(body)


def test_the_policy_raises_at_an_outcome(place):
    async def body(p):
        faulty(p, lambda e: isinstance(e, i.Outcome) and e.result is not i.Result.OK)
        await p.nodes(1)
        p.fleet.nodes[0].fault("errors", 1.0)
        await p.start()
        client = await p.client()
        assert kind(await client.ask("pay", {"data": {"work": 1}})) == "failed"  # it may have run
        assert p.core.engine.faults == 1 and p.core.engine.ledger.unanswered == 0

    place(body)


def test_the_policy_raises_at_its_tick_and_goes_on(place):
    async def body(p):
        raised = []
        faulty(p, lambda e: isinstance(e, i.Timer) and e.ref == 0 and len(raised) < 2 and not raised.append(1))
        await p.nodes(1)
        await p.start()
        await p.until(lambda: p.core.engine.faults == 2)
        client = await p.client()
        assert kind(await client.ask("position", {"data": {"work": 1}})) == "served"
        seen = []
        p.policy.when = lambda e: isinstance(e, i.Timer) and e.ref == 0 and bool(seen.append(1))
        await p.until(lambda: len(seen) >= 2)  # its clockwork runs on

    place(body)


def test_held_requests_and_full_ingress(place):
    async def body(p):
        await p.nodes(1)
        await p.start()
        client = await p.client()
        futures = [client.open[client.send("position", {"data": {"work": 64 * 100}})] for _ in range(8)]
        replies = await asyncio.gather(*futures)
        assert Counter(why(r) for r in replies)["ingress_full"] == 4

    async def limited(p):
        p.settings = with_limits(p.settings, max_open_requests=4)
        await body(p)

    place(limited)


def test_open_limit_places_come_back(place):
    async def body(p):
        p.settings = replace(p.settings, plans=(*PLANS, i.Plan("two", max_in_flight=2)))
        await p.nodes(2)
        await p.start()
        client = await p.client()
        for _ in range(30):
            assert kind(await client.ask("position", {"data": {"work": 1}})) == "served"
        assert p.core.engine.ledger.unanswered == 0
        kept = p.core.engine.policy.quota.owned_buckets
        assert all(not s.in_flight for s in kept.values())

    place(body)


def test_silent_machine_is_noticed_by_pings(place):
    async def body(p):
        await p.nodes(1)
        await p.start()
        client = await p.client()
        assert kind(await client.ask("position", {"data": {"work": 1}})) == "served"
        p.fleet.nodes[0].fault("silent", True)
        client.send("position", {"data": {"work": 1}, "within_ms": 400})
        await p.until(lambda: p.core.pool.counts["silent_links"] == 1)
        assert not p.core.pool.links

    place(body, pool=PoolSettings(ping_ms=150.0))


def test_idle_node_connections_are_closed(place):
    async def body(p):
        await p.nodes(1)
        await p.start()
        client = await p.client()
        assert kind(await client.ask("position", {"data": {"work": 1}})) == "served"
        assert len(p.core.pool.links) == 1
        await p.until(lambda: not p.core.pool.links)
        await p.until(lambda: not p.fleet.nodes[0].peers)
        assert kind(await client.ask("position", {"data": {"work": 1}})) == "served"

    place(body, pool=PoolSettings(idle_ms=100.0))


def test_graceful_stop_answers_what_is_open(place):
    async def body(p):
        await p.nodes(1, NodeKind("n", cores=4, slots=8))
        await p.start()
        client, idle = await p.client(), await p.client()
        future = client.open[client.send("pay", {"data": {"work": 200}})]
        await p.until(p.arrivals)
        stopping = asyncio.create_task(p.shell.stop())
        assert kind(await future) == "served"
        assert await stopping
        await asyncio.gather(client.closed.wait(), idle.closed.wait())
        assert (client.close_code, idle.close_code) == (1001, 1001)

    place(body)
