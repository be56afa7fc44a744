"""A reload of settings while clients are connected, and nodes drained by operators."""

from __future__ import annotations

import asyncio
from dataclasses import replace

from rushweir import interface
from rushweir.fronts.credentials import Credentials, digest
from rushweir.ingress.queries import Partner
from rushweir.lab.standins.client import kind
from rushweir.lab.standins.model import NodeKind
from rushweir.link.networks import AddressSet, parse_network

from .conftest import PARTNERS
from .test_failures import why


def changed_setup(harness, partners=None, **settings):
    """The running setup with changes."""
    known = {digest(k): v for k, v in (PARTNERS if partners is None else partners).items()}
    setup = harness.core.setup
    return replace(setup, settings=replace(setup.settings, **settings), credentials=Credentials(known))


def carry_out(harness):
    harness.shell.carry_out()


def test_reload_keeps_connections_and_open_requests(run_scenario):
    async def body(harness):
        await harness.add_nodes(1, NodeKind("n", cores=4, slots=8))
        await harness.start()
        client = await harness.client()
        future = client.open[client.send("pay", {"data": {"work": 100}})]
        await harness.wait_until(harness.arrivals)
        classes = tuple(c for c in harness.settings.classes if c.name != "pay")
        harness.core.reload(harness.shell.clock(), changed_setup(harness, classes=classes))
        carry_out(harness)
        assert kind(await future) == "served"  # accepted and finished by the old settings
        assert why(await client.ask("pay", {"data": {"work": 1}})) == "unknown_class"
        assert kind(await client.ask("position", {"data": {"work": 1}})) == "served"

    run_scenario(body)


def test_removed_partner_gets_its_open_answers_and_is_closed(run_scenario):
    async def body(harness):
        await harness.add_nodes(1, NodeKind("n", cores=4, slots=8))
        await harness.start()
        client, idle, other = await harness.client(), await harness.client(), await harness.client("secret-rated")
        future = client.open[client.send("position", {"data": {"work": 100}})]
        await harness.wait_until(harness.arrivals)
        remaining = {"secret-rated": PARTNERS["secret-rated"]}
        harness.core.reload(
            harness.shell.clock(), changed_setup(harness, remaining, plans=harness.settings.plans[1:])
        )
        carry_out(harness)
        await idle.closed.wait()
        late_answer = client.open[client.send("position", {"data": {"work": 1}})]
        assert why(await late_answer) == "partner_gone"
        assert kind(await future) == "served"
        await client.closed.wait()
        assert (client.close_code, idle.close_code) == (1008, 1008)
        assert kind(await other.ask("position", {"data": {"work": 1}})) == "served"

    run_scenario(body)


def test_partner_changes_plan_on_its_open_connection(run_scenario):
    async def body(harness):
        await harness.add_nodes(2)
        await harness.start()
        client = await harness.client("secret-rated")
        moved = {"secret-rated": Partner("app", "wide")}
        for _ in range(3):
            assert kind(await client.ask("position", {"data": {"work": 1}})) == "served"
        harness.core.reload(harness.shell.clock(), changed_setup(harness, moved))
        carry_out(harness)
        for _ in range(20):
            assert kind(await client.ask("position", {"data": {"work": 1}})) == "served"

    run_scenario(body)


def test_node_drained_by_operator_gets_nothing_until_readmitted(run_scenario):
    async def body(harness):
        await harness.add_nodes(2)
        await harness.start()
        one, two = (n.address for n in harness.node_fleet.nodes)
        assert harness.core.drain_node(harness.shell.clock(), one)
        assert not harness.core.drain_node(harness.shell.clock(), "127.0.0.1:1")
        carry_out(harness)
        client = await harness.client()
        for _ in range(20):
            assert kind(await client.ask("position", {"data": {"work": 1}})) == "served"
        assert not harness.arrivals(node=one) and len(harness.arrivals(node=two)) == 20
        # The list reports it as ready again: the operator's drain still holds.
        harness.list.set(one, "ready", zone="a", online_since=harness.node_fleet.nodes[0].online_since)
        harness.list.set(two, "ready", zone="b", weight=2.0, online_since=harness.node_fleet.nodes[1].online_since)
        await harness.wait_until(lambda: harness.core.nodes.effective[two].weight == 2.0)
        assert (
            harness.core.nodes.effective[one].state is interface.State.DRAINING
            and harness.core.nodes.listed[one].state is interface.State.READY
        )
        assert harness.core.drain_node(harness.shell.clock(), one, False)
        carry_out(harness)
        for _ in range(60):
            assert kind(await client.ask("position", {"data": {"work": 1}})) == "served"
        assert harness.arrivals(node=one)

    run_scenario(body)


def test_drain_by_operator_survives_a_restart(run_scenario):
    async def body(harness):
        await harness.add_nodes(2)
        await harness.start()
        one = harness.node_fleet.nodes[0].address
        harness.core.drain_node(harness.shell.clock(), one)
        carry_out(harness)
        await harness.wait_until(
            lambda: harness.shell.files.list_task is None and harness.shell.files.next_list is None
        )
        await harness.shell.kill()
        await harness.start(units_per_s=None, ready=1)
        assert (
            harness.core.nodes.drained_by_hand == {one}
            and harness.core.nodes.effective[one].state is interface.State.DRAINING
        )

    run_scenario(body)


def test_nodes_outside_the_networks_are_ignored(run_scenario):
    async def body(harness):
        await harness.add_nodes(2)
        harness.setup_overrides = {"node_networks": AddressSet([parse_network("10.0.0.0/8")])}
        await harness.start(ready=0)
        await harness.wait_until(lambda: harness.core.counts["strange_nodes"] == 2)
        assert not harness.core.nodes.effective and len(harness.core.nodes.listed) == 2
        harness.core.reload(harness.shell.clock(), replace(harness.core.setup, node_networks=AddressSet()))
        carry_out(harness)
        assert len(harness.core.nodes.effective) == 2
        client = await harness.client()
        assert kind(await client.ask("position", {"data": {"work": 1}})) == "served"

    run_scenario(body)


def test_clients_outside_the_networks_are_refused_and_closed(run_scenario):
    async def body(harness):
        await harness.add_nodes(1)
        harness.setup_overrides = {"client_networks": AddressSet([parse_network("10.0.0.0/8")])}
        await harness.start()
        reader, writer = await asyncio.open_connection("127.0.0.1", int(harness.url.split(":")[2].split("/")[0]))
        writer.write(b"GET /health HTTP/1.1\r\nHost: x\r\n\r\n")
        assert (await reader.read()).startswith(b"HTTP/1.1 403")
        writer.close()
        assert harness.core.counts["strange_networks"] == 1

    run_scenario(body)
