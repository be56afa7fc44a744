"""What operators see of an ingress and do to it: for the commands, the console, the metrics. No I/O.

Everything here reads; ``drain`` and ``readmit`` go the way of a list update. Lists are paged, and their rows are
plain, so that they can go over a socket as they are.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from typing import Any
from zlib import crc32

from rushweir import interface as i
from rushweir.config.show import as_rows
from rushweir.daemon.control import OperatorError
from rushweir.ingress.core import Core
from rushweir.ingress.health import health
from rushweir.watch.usage import MAX_PAGE_ROWS

MADE_MS = 900.0  # rows of nodes are used again for so long, unless the list changed
GROUNDS = ("itself", "its zone", "its kind")  # whose failures set a node aside, as the policy looks at them


def _whole(name: str, value: Any, least: int, most: int) -> int:
    if type(value) is not int or not least <= value <= most:
        raise OperatorError(f"{name}: a whole number from {least} to {most}")
    return value


def _text(name: str, value: Any, most: int = 255) -> str:
    if not isinstance(value, str) or len(value) > most:
        raise OperatorError(f"{name}: text of at most {most} characters")
    return value


class Operations:
    """One ingress, to its operators."""

    def __init__(self, core: Core, clock: Callable[[], float], config: Any = None, facts: dict | None = None) -> None:
        """``config``: the settings that hold; ``facts``: of the process, as they are (pid, boot, since, version)."""
        self.core, self.clock, self.config, self.facts = core, clock, config, dict(facts or {})
        self.reloaded_at: float | None = None
        self.made: tuple[float, dict, list[dict[str, Any]]] | None = None
        self.methods: dict[str, Callable[..., Any]] = {
            name: getattr(self, name)
            for name in (
                "status", "nodes", "rooms", "partners", "heaviest", "refusals", "history", "events", "request",
                "requests", "peers", "settings", "drain", "readmit", "overview",
            )
        }  # fmt: skip

    # --- the whole -------------------------------------------------------------------------------

    def status(self) -> dict[str, Any]:
        """How the ingress stands, in short."""
        core, now = self.core, self.clock()
        code, page = health(core)
        age = None if core.nodes.updated_at is None else round(now - core.nodes.updated_at)
        return {
            **self.facts, **page, "serving": code == 200, "now_ms": now, "list_age_ms": age,
            "nodes": len(core.nodes.effective), "by_hand": sorted(core.nodes.drained_by_hand),
            "overload": core.load_shedder.level, "loop_delay_ms": round(core.load_shedder.delay_ms, 1),
            "reloaded_ms": self.reloaded_at,
            "answers": {k: core.engine.counts[k] for k in ("served", "refused", "failed", "left")},
            "faults": core.engine.faults, "attempts_out": len(core.pool.link_by_attempt),
            **({"fleet": core.fleet.status()} if core.fleet is not None else {}),
        }  # fmt: skip

    def overview(self) -> dict[str, Any]:
        """All that the console's first page shows, in one answer."""
        return {
            "status": self.status(), "rooms": self.rooms(), "peers": self.peers(), "refusals": self.refusals(),
            "heaviest": self.heaviest(10), "history": self.history(), "classes": self.classes(),
            "events": self.events(count=12),
        }  # fmt: skip

    def classes(self) -> list[dict[str, Any]]:
        return [
            {"name": name, "aim_ms": c.aim_ms, **c.kinds, "mean_ms": round(c.sum_ms / max(1, c.kinds["served"]), 1)}
            for name, c in self.core.telemetry.classes.items()
        ]

    # --- nodes -----------------------------------------------------------------------------------

    def _nodes(self) -> list[dict[str, Any]]:
        """A row for each node. Of 500 they take some milliseconds, so what was made a moment ago is used again."""
        now = self.clock()
        if self.made is None or now - self.made[0] > MADE_MS or self.made[1] is not self.core.nodes.effective:
            self.made = now, self.core.nodes.effective, list(self._make_nodes(now))
        return self.made[2]

    def _make_nodes(self, now: float) -> Iterator[dict[str, Any]]:
        core = self.core
        fleet = getattr(core.engine.policy, "server_pool", None)
        bar = fleet.failure_threshold(0.4, now) if fleet is not None else 1.0
        for address, s in core.nodes.effective.items():
            b = fleet.servers.get(address) if fleet is not None else None
            seen = core.telemetry.nodes[address]
            why = ""
            if b is not None and b.is_failing(bar, now):
                why = next((g for h, g in zip(b.health, GROUNDS, strict=False) if h.failure_rate(now) >= bar), "")
            yield {
                "address": address, "zone": s.zone, "cell": s.cell, "kind": s.kind, "weight": s.weight,
                "state": s.state.value, "by_hand": address in core.nodes.drained_by_hand,
                "warmth": round(fleet.warm_up(b, now), 3) if b is not None else None,
                "out": len(b.in_flight) if b is not None else 0,
                "slowness": round(b.relative_latency, 2) if b is not None else None,
                "aside": why, "mean_ms": round(seen.mean_ms, 1), "last_bad": seen.last_bad,
                "results": dict(seen.results), "ok": seen.results.get("ok", 0), "bad": seen.bad,
            }  # fmt: skip

    def nodes(self, search: str = "", first: int = 0, count: int = 50, order: str = "address") -> dict[str, Any]:
        """Dispatch nodes whose address, zone, kind or state holds a text, a page of them. ``order``: address, out
        (most attempts out first), failures (most first) or slowness."""
        wanted = _text("search", search).casefold()
        first, count = _whole("first", first, 0, 10**9), _whole("count", count, 1, MAX_PAGE_ROWS)
        keys: dict[str, Callable[[dict], Any]] = {
            "address": lambda r: r["address"], "out": lambda r: -r["out"],
            "slowness": lambda r: -(r["slowness"] or 0),
            "failures": lambda r: r["ok"] - sum(r["results"].values()),
        }  # fmt: skip
        if order not in keys:
            raise OperatorError(f"order: one of {', '.join(keys)}")
        rows = [
            r for r in self._nodes()
            if any(wanted in str(r[f]).casefold() for f in ("address", "zone", "kind", "state", "aside"))
        ]  # fmt: skip
        rows.sort(key=lambda r: (keys[order](r), r["address"]))
        return {"total": len(rows), "first": first, "rows": rows[first : first + count]}

    def rooms(self) -> list[dict[str, Any]]:
        """The zones that nodes stand in, and how each does."""
        found: dict[str, dict[str, Any]] = {}
        for n in self._nodes():
            room = found.setdefault(
                n["zone"], {"zone": n["zone"], "nodes": 0, "ready": 0, "aside": 0, "out": 0, "ok": 0, "bad": 0}
            )
            room["nodes"] += 1
            room["ready"] += n["state"] == i.State.READY.value
            room["aside"] += bool(n["aside"])
            room["out"] += n["out"]
            room["ok"] += n["ok"]
            room["bad"] += n["bad"]
        return [found[z] for z in sorted(found)]

    def drain(self, address: str) -> dict[str, Any]:
        """Nothing new to a node from now on, as if the list had said so."""
        return self._by_hand(address, True)

    def readmit(self, address: str) -> dict[str, Any]:
        """Back to what the list says of it."""
        return self._by_hand(address, False)

    def _by_hand(self, address: str, on: bool) -> dict[str, Any]:
        if not self.core.drain_node(self.clock(), _text("address", address), on):
            raise OperatorError(f"no node {address[:80]} in the list")
        return {"address": address, "state": self.core.nodes.effective[address].state.value, "by_hand": on}

    # --- partners --------------------------------------------------------------------------------

    def partners(self, search: str = "", first: int = 0, count: int = 50) -> dict[str, Any]:
        """Partners whose name holds a text, a page of them, with what they used and what is left."""
        first, count = _whole("first", first, 0, 10**9), _whole("count", count, 1, MAX_PAGE_ROWS)
        total, rows = self.core.telemetry.usage.page(_text("search", search), first, count)
        return {"total": total, "first": first, "rows": [self._quota(r) for r in rows]}

    def heaviest(self, count: int = 10) -> list[dict[str, Any]]:
        """Who asked most in the last minutes, by the sketch."""
        return [self._quota(r) for r in self.core.telemetry.usage.lately(_whole("count", count, 1, MAX_PAGE_ROWS))]

    def _quota(self, row: dict[str, Any]) -> dict[str, Any]:
        """What is left of a partner's quota as this ingress knows it; nothing of one that was idle."""
        now, quota = self.clock(), getattr(self.core.engine.policy, "quota", None)
        c = quota.customers.get(crc32(row["name"].encode())) if quota is not None else None
        if c is None:
            return {**row, "store": None, "ceiling": None, "out": 0}
        p = c.plan
        level = (
            min(p.burst, c.bucket.tokens + p.rate * max(0.0, now - c.bucket.refilled_at) / 1000) if p.rate else None
        )
        top = p.ceiling_burst / c.gateway_count
        ceiling = (
            min(top, c.ceiling_tokens + p.ceiling_rate / c.gateway_count * (now - c.ceiling_refilled_at) / 1000)
            if top
            else None
        )
        return {
            **row, "store": None if level is None else round(level, 2), "burst": p.burst, "rate": p.rate,
            "ceiling": None if ceiling is None else round(ceiling, 2), "out": c.open_attempts,
        }  # fmt: skip

    # --- what happened ---------------------------------------------------------------------------

    def refusals(self) -> dict[str, Any]:
        """Refusals by reason, since the start and in the last ten minutes."""
        self.core.telemetry.history.close_slots(self.clock())
        lately: dict[str, int] = {}
        for slot in list(self.core.telemetry.history.slots)[-60:]:
            for why, n in slot["reasons"].items():
                lately[why] = lately.get(why, 0) + n
        whole = self.core.engine.refusals
        return {"rows": [{"reason": w, "all": n, "lately": lately.get(w, 0)} for w, n in whole.most_common(64)]}

    def history(self) -> list[dict[str, Any]]:
        """The last hour in slots of ten seconds, oldest first."""
        self.core.telemetry.history.close_slots(self.clock())
        return list(self.core.telemetry.history.slots)

    def events(self, count: int = 100, after: int = 0, search: str = "") -> list[dict[str, Any]]:
        """Events, newest first: those with a number above ``after`` and with a text in cause or fields."""
        wanted, out = _text("search", search).casefold(), []
        for e in reversed(self.core.telemetry.events):
            if e["number"] <= after or len(out) >= _whole("count", count, 1, MAX_PAGE_ROWS):
                break
            if wanted in f"{e['cause']} {e['fields']}".casefold():
                out.append(e)
        return out

    def request(self, id: str) -> dict[str, Any]:
        """The course of one request, if it is kept."""
        course = self.core.telemetry.traces.find(_text("id", id))
        if course is None:
            raise OperatorError(f"no course of {id[:80]} is kept: of what went well only a sample is")
        return course.as_row()

    def requests(self, count: int = 50, wrong: bool = True) -> list[dict[str, Any]]:
        """Courses that are kept, newest first: of those that went wrong, or of the sample."""
        return [
            c.as_row() for c in self.core.telemetry.traces.last(_whole("count", count, 1, MAX_PAGE_ROWS), bool(wrong))
        ]

    def peers(self) -> list[dict[str, Any]]:
        """The other ingresses, and when each was heard last. They speak when a quota wants it."""
        peers, now = self.core.peers, self.clock()
        if peers is None:
            return []
        out = []
        for k in range(peers.gateways):
            if k != peers.me:
                seen = peers.seen.get(k)
                last = seen[1][-1] / 1000 if seen and seen[1] else None
                out.append({"ingress": k, "heard_ms": None if last is None else round(now - last)})
        return out

    def settings(self) -> list[dict[str, object]]:
        """Every setting that holds, and where it was read."""
        return as_rows(self.config.effective()) if self.config is not None else []
