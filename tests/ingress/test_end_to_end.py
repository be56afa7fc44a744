"""Requests from client to ingress to node and back, over sockets."""

from __future__ import annotations

import asyncio

from rushweir.lab.standins.client import kind, why


def test_request_is_answered_by_a_node(run_scenario):
    async def body(harness):
        await harness.add_nodes(2)
        await harness.start()
        client = await harness.client()
        reply = await client.ask("booking", {"data": {"work": 5}, "key": "k1", "within_ms": 2000})
        assert kind(reply) == "served"
        assert reply.result["done"]
        (arrival,) = harness.arrivals()
        assert (arrival["cls"], arrival["partner"], arrival["key"]) == ("booking", "hotel", "hotel/k1")
        assert harness.core.engine.ledger.unanswered == 0

    run_scenario(body)


def test_quota_refusal_has_reason_and_retry_time(run_scenario):
    async def body(harness):
        await harness.add_nodes(2)
        await harness.start()
        client = await harness.client("secret-rated")
        replies = [await client.ask("position", {"data": {"work": 1}}) for _ in range(5)]
        assert [kind(r) for r in replies] == ["served"] * 3 + ["refused"] * 2
        data = replies[-1].error["data"]
        assert data["reason"] == "quota" and data["repeat"] == "harmless" and 0 < data["retry_after_ms"] <= 500

    run_scenario(body)


def test_many_requests_on_one_connection_get_one_answer_each(run_scenario):
    async def body(harness):
        await harness.add_nodes(4)
        await harness.start()
        client = await harness.client()
        for _ in range(20):
            futures = [client.open[client.send("position", {"data": {"work": 1}})] for _ in range(500)]
            await asyncio.gather(*futures)
        assert len(client.answers) == 10_000
        assert len({r.id for r in client.answers}) == 10_000
        assert {kind(r) for r in client.answers} <= {"served", "refused"}
        served = sum(kind(r) == "served" for r in client.answers)
        assert served > 9000, {why(r) for r in client.answers}
        assert harness.core.engine.ledger.unanswered == 0

    run_scenario(body)
