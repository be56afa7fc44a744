"""Explains prices: which rule and terms priced a request. No I/O."""

from __future__ import annotations

from typing import Any

from rushweir.costs import amounts
from rushweir.costs.decisions import CostRules
from rushweir.link import rpc


def explain(rules: CostRules, line: str) -> list[dict[str, Any]]:
    """The prices of the requests in a JSON-RPC message, in units as text. Raises ValueError."""
    try:
        message = rpc.parse(line)
    except rpc.RpcError as problem:
        raise ValueError(str(problem)) from None
    found = []
    for call in message.calls if isinstance(message, rpc.Batch) else (message,):
        if not isinstance(call, rpc.Call):
            raise ValueError(str(call) if isinstance(call, rpc.RpcError) else "an answer, not a request")
        data = call.params.get("data") if isinstance(call.params, dict) else None
        price = rules.price_rpc(call.method, data)
        found.append(
            {
                "method": call.method,
                "cost": amounts.to_text(price.amount),
                "rule": price.rule.name,
                "where": price.rule.location,
                "parts": [
                    {"term": "base", "counted": "1", "adds": amounts.to_text(price.rule.base)},
                    *(
                        {"term": term, "counted": amounts.to_text(count), "adds": amounts.to_text(added)}
                        for term, count, added in price.additions
                    ),
                ],
            }
        )
    return found
