"""Other settings while clients are connected, and nodes drained by hand."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from rushweir import interface as i
from rushweir.fronts.credentials import Credentials, digest
from rushweir.ingress.queries import Partner
from rushweir.lab.standins.client import kind
from rushweir.lab.standins.model import NodeKind
from rushweir.link.networks import AddressSet, parse_network

from .conftest import PARTNERS
from .test_hard_cases import why


def other(p, partners=None, **settings):
    """The setup that runs, with some of it changed."""
    known = {digest(k): v for k, v in (PARTNERS if partners is None else partners).items()}
    setup = p.core.setup
    return replace(setup, settings=replace(setup.settings, **settings), credentials=Credentials(known))


def carry(p):
    p.shell.carry_out()


def test_reload_keeps_connections_and_open_requests(place):
    async def body(p):
        await p.nodes(1, NodeKind("n", cores=4, slots=8))
        await p.start()
        client = await p.client()
        future = client.open[client.send("pay", {"data": {"work": 100}})]
        await p.until(p.arrivals)
        classes = tuple(c for c in p.settings.classes if c.name != "pay")
        p.core.reload(p.shell.clock(), other(p, classes=classes))
        carry(p)
        assert kind(await future) == "served"  # taken by the old settings, finished by them
        assert why(await client.ask("pay", {"data": {"work": 1}})) == "unknown_class"
        assert kind(await client.ask("position", {"data": {"work": 1}})) == "served"

    place(body)


def test_a_partner_that_is_gone_gets_its_open_answers_and_is_closed(place):
    async def body(p):
        await p.nodes(1, NodeKind("n", cores=4, slots=8))
        await p.start()
        client, idle, stays = await p.client(), await p.client(), await p.client("secret-rated")
        future = client.open[client.send("position", {"data": {"work": 100}})]
        await p.until(p.arrivals)
        left = {"secret-rated": PARTNERS["secret-rated"]}
        p.core.reload(p.shell.clock(), other(p, left, plans=p.settings.plans[1:]))
        carry(p)
        await idle.closed.wait()
        late = client.open[client.send("position", {"data": {"work": 1}})]
        assert why(await late) == "partner_gone"
        assert kind(await future) == "served"
        await client.closed.wait()
        assert (client.close_code, idle.close_code) == (1008, 1008)
        assert kind(await stays.ask("position", {"data": {"work": 1}})) == "served"

    place(body)


def test_a_partner_moves_to_another_plan_on_its_open_connection(place):
    async def body(p):
        await p.nodes(2)
        await p.start()
        client = await p.client("secret-rated")
        moved = {"secret-rated": Partner("app", "wide")}
        for _ in range(3):
            assert kind(await client.ask("position", {"data": {"work": 1}})) == "served"
        p.core.reload(p.shell.clock(), other(p, moved))
        carry(p)
        for _ in range(20):
            assert kind(await client.ask("position", {"data": {"work": 1}})) == "served"

    place(body)


def test_a_node_drained_by_hand_gets_nothing_until_it_is_readmitted(place):
    async def body(p):
        await p.nodes(2)
        await p.start()
        one, two = (n.address for n in p.fleet.nodes)
        assert p.core.drain_node(p.shell.clock(), one)
        assert not p.core.drain_node(p.shell.clock(), "127.0.0.1:1")
        carry(p)
        client = await p.client()
        for _ in range(20):
            assert kind(await client.ask("position", {"data": {"work": 1}})) == "served"
        assert not p.arrivals(node=one) and len(p.arrivals(node=two)) == 20
        # The list says again that it is ready: what the hand said holds.
        p.list.set(one, "ready", zone="a", online_since=p.fleet.nodes[0].online_since)
        p.list.set(two, "ready", zone="b", weight=2.0, online_since=p.fleet.nodes[1].online_since)
        await p.until(lambda: p.core.nodes.effective[two].weight == 2.0)
        assert (
            p.core.nodes.effective[one].state is i.State.DRAINING and p.core.nodes.listed[one].state is i.State.READY
        )
        assert p.core.drain_node(p.shell.clock(), one, False)
        carry(p)
        for _ in range(60):
            assert kind(await client.ask("position", {"data": {"work": 1}})) == "served"
        assert p.arrivals(node=one)

    place(body)


def test_a_drain_by_hand_outlives_a_restart(place):
    async def body(p):
        await p.nodes(2)
        await p.start()
        one = p.fleet.nodes[0].address
        p.core.drain_node(p.shell.clock(), one)
        carry(p)
        await p.until(lambda: p.shell.saver is None and p.shell.saving is None)
        await p.shell.kill()
        await p.start(room=None, ready=1)
        assert p.core.nodes.drained_by_hand == {one} and p.core.nodes.effective[one].state is i.State.DRAINING

    place(body)


def test_nodes_outside_the_networks_are_not_taken(place):
    async def body(p):
        await p.nodes(2)
        p.more = {"node_networks": AddressSet([parse_network("10.0.0.0/8")])}
        await p.start(ready=0)
        await p.until(lambda: p.core.counts["strange_nodes"] == 2)
        assert not p.core.nodes.effective and len(p.core.nodes.listed) == 2
        p.core.reload(p.shell.clock(), replace(p.core.setup, node_networks=AddressSet()))
        carry(p)
        assert len(p.core.nodes.effective) == 2
        client = await p.client()
        assert kind(await client.ask("position", {"data": {"work": 1}})) == "served"

    place(body)


def test_clients_outside_the_networks_are_told_and_closed(place):
    async def body(p):
        await p.nodes(1)
        p.more = {"client_networks": AddressSet([parse_network("10.0.0.0/8")])}
        await p.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", int(p.url.split(":")[2].split("/")[0]))
        writer.write(b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
        assert (await reader.read()).startswith(b"HTTP/1.1 403")
        writer.close()
        assert p.core.counts["strange_networks"] == 1

    place(body)
