"""Client, ingress, dispatch node and back, over sockets."""

from __future__ import annotations

import asyncio

from rushweir.lab.standins.client import kind, why


def test_a_request_is_answered_by_a_node(place):
    async def body(p):
        await p.nodes(2)
        await p.start()
        client = await p.client()
        reply = await client.ask("booking", {"data": {"work": 5}, "key": "k1", "within_ms": 2000})
        assert kind(reply) == "served"
        assert reply.result["done"]
        (arrival,) = p.arrivals()
        assert (arrival["cls"], arrival["partner"], arrival["key"]) == ("booking", "hotel", "hotel/k1")
        assert p.core.engine.ledger.unanswered == 0

    place(body)


def test_quota_refusal_says_why_and_when(place):
    async def body(p):
        await p.nodes(2)
        await p.start()
        client = await p.client("secret-rated")
        replies = [await client.ask("position", {"data": {"work": 1}}) for _ in range(5)]
        assert [kind(r) for r in replies] == ["served"] * 3 + ["refused"] * 2
        data = replies[-1].error["data"]
        assert data["reason"] == "quota" and data["repeat"] == "harmless" and 0 < data["retry_after_ms"] <= 500

    place(body)


def test_many_requests_on_one_connection(place):
    async def body(p):
        await p.nodes(4)
        await p.start()
        client = await p.client()
        for _ in range(20):
            futures = [client.open[client.send("position", {"data": {"work": 1}})] for _ in range(500)]
            await asyncio.gather(*futures)
        assert len(client.answers) == 10_000
        assert len({r.id for r in client.answers}) == 10_000
        assert {kind(r) for r in client.answers} <= {"served", "refused"}
        served = sum(kind(r) == "served" for r in client.answers)
        assert served > 9000, {why(r) for r in client.answers}
        assert p.core.engine.ledger.unanswered == 0

    place(body)
