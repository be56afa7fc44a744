"""A day as the bench draws it (``lbsim draw -o DAY.json``), played through real ingresses.

Its sizes, plans, habits, classes, clients and troubles become a day of the laboratory; its traffic is drawn
anew from the same habits, since the file names those and not each request. What can't be played is named in
the day, and printed with the report. Times in the file are microseconds.
"""

from __future__ import annotations

from pathlib import Path
from typing import Any

import orjson

from rushweir.lab.day import Day, DayClass, DayNode, DayPlan, Trouble
from rushweir.lab.standins.model import NodeKind

MOST_INGRESSES, MOST_NODES = 12, 40  # of one machine's day: more is scaled down


class ReplayError(ValueError):
    """The file is not a day of this form; the text names the field."""


def load(path: Path, scale: float = 1.0, seconds: float | None = None) -> Day:
    """The day in a file. ``scale``: share of partners, nodes and load that is played."""
    try:
        o = orjson.loads(path.read_bytes())
    except OSError as problem:
        raise ReplayError(f"{path}: {problem.strerror}") from None
    except orjson.JSONDecodeError as problem:
        raise ReplayError(f"{path}: not JSON: {problem}") from None
    try:
        return _day(o, path.stem, scale, seconds)
    except KeyError as missing:
        raise ReplayError(f"{path}: field {missing} is missing") from None
    except (TypeError, IndexError, ValueError, ZeroDivisionError) as problem:
        raise ReplayError(f"{path}: {problem}") from None


def _ms(us: float) -> float:
    return us / 1000.0


def _day(o: dict[str, Any], name: str, scale: float, seconds: float | None) -> Day:
    if o["v"] != 1 or o["family"] != "gate":
        raise ReplayError("v 1 and family gate are played, no other")
    tier, fam, clients = o["tiers"][0], o["fam"], o["clients"]
    nodes, ingresses = len(o["servers"]), len(o["balancers"])
    scale = min(scale, MOST_NODES / nodes)
    keep_nodes = max(2, round(nodes * scale))
    keep_ingresses = max(1, min(MOST_INGRESSES, ingresses if scale == 1.0 else round(ingresses * scale)))
    day = Day(name=name, seed=int(fam["seed"]) % (1 << 31))
    day.length = _ms(o["length"]) if seconds is None else min(_ms(o["length"]), seconds * 1000)
    day.rooms = tuple(o["zones"])
    day.ingress_rooms = tuple(day.rooms[b["zone"]] for b in o["balancers"][:keep_ingresses])
    for s in o["servers"][:keep_nodes]:
        k = tier["kinds"][s["kind"]]
        kind = NodeKind(
            k["name"], k["cores"], s["speed"], k["slots"], k["queue"], k["thrash"], k["knee"], k["cold_from"],
            _ms(k["cold"]), o["fall_multiple"], _ms(o["fall_for"]),
        )  # fmt: skip
        day.nodes.append(DayNode(day.rooms[s["zone"]], kind, s["weight"], s["cell"]))
    day.classes = [
        DayClass(
            c["name"], _ms(c["aim"]), _ms(c["deadline"]), c["worth"], c["late_worth"], c["effect"], c["group"],
            _ms(c["window"]) if c["effect"] == "keyed" else 0.0, c["share"], _ms(c["work"]), c["cv"],
        )
        for c in o["classes"]
    ]  # fmt: skip
    shrink = keep_nodes / nodes
    for t, p in zip(o["tenants"], fam["plans"], strict=True):
        count = max(1, round(p["customers"] * shrink))
        day.plans.append(
            DayPlan(
                t["name"], count, p["rate"], p["burst"], p["open"], p["ceiling_rate"], p["ceiling_burst"], p["slack"],
                p["price"], p["over_worth"], p["over_cost"], p["size"],
                max(1, min(keep_ingresses, round(keep_ingresses * sum(p["spread"]) / 2))),
            )
        )  # fmt: skip
    day.load = o["traffic"]["load"]
    day.calm, day.full, day.heavy, day.heavy_x = fam["calm"], fam["full"], fam["heavy"], tuple(fam["heavy_x"])
    day.spiky, day.spike_x = fam["spiky"], tuple(fam["spike_x"])
    day.spike_s, day.spike_every = tuple(fam["spike_s"]), fam["spike_every_s"]
    day.units, day.most_units = fam["units"], fam["most_units"]
    day.retries, day.backoff, day.honour = clients["retries"], _ms(clients["backoff_us"]), clients["honour"]
    day.try_share = clients["try_share"]
    day.list_late, day.silent_late = _ms(o["discovery"]["notice"]), _ms(o["discovery"]["silent_notice"])
    day.peer_delay, day.peer_loss = _ms(o["allow"]["peer_delay"]), fam["peer_loss"]
    day.meter, day.meter_late = _ms(fam["meter"]), _ms(fam["meter_late"])
    day.key_window = max([c.window for c in day.classes] + [1000.0])
    day.counter = fam["counter"] is not None
    day.rules |= {
        "drain_grace": _ms(o["drain_grace"]), "fall_multiple": o["fall_multiple"], "fall_time": _ms(o["fall_for"]),
        "cold_share": tier["stated_cold_from"], "cold_time": _ms(tier["stated_cold"]),
    }  # fmt: skip
    day.limits = {
        "attempts": o["allow"]["max_attempts"], "retry_after": _ms(clients["max_retry_after"]),
        "largest_request": fam["most_units"],
    }  # fmt: skip
    for t in o["troubles"]:
        _trouble(day, t, o)
    if (keep_nodes, keep_ingresses) != (nodes, ingresses):
        day.not_played.append(f"full size: {keep_nodes} of {nodes} nodes, {keep_ingresses} of {ingresses} ingresses")
    if fam["units"] == "after":
        day.not_played.append("settlement of guessed units after the answer")
    if o["allow"]["second_copies"]:
        day.not_played.append("second copies")
    day.troubles = [t for t in day.troubles if t.at < day.length]
    return day


def _trouble(day: Day, t: dict[str, Any], o: dict[str, Any]) -> None:
    """One trouble of the file as ours; one that has none here is named."""
    at, length, kind, size, extra = _ms(t["at"]), _ms(t["len"]), t["kind"], t["size"], t["extra"]
    on = tuple(k for k in t["on"] if k < len(day.nodes))
    people = [n for n, _ in day.partner_names()]

    def add(what: str, on: tuple, length: float = length, size: float = 1.0, at: float = at) -> None:
        day.troubles.append(Trouble(at, what, on, length, size))

    if kind in ("crash", "mass_restart") and t.get("how", "restart") == "restart":
        add("kill", on)
    elif kind in ("vanish", "mass_restart"):
        add("silence", on)
    elif kind == "fast_errors":
        add("errors", on, size=size)
    elif kind == "shared_slow":
        add("slow", tuple(range(len(day.nodes))), size=size)
    elif kind == "tenant_burst":
        add("storm", (day.plans[t["which"]].name,), size=size)
    elif kind == "hot_key":
        hot = tuple(people[:: max(1, len(people) // max(1, int(extra)))][: int(extra)])
        usual = day.load * sum(n.kind.cores * n.kind.speed for n in day.nodes) * 1000
        usual /= sum(c.share * c.work for c in day.classes) / sum(c.share for c in day.classes)
        plans = dict(day.partner_names())
        mine = sum((plans[n].rate or plans[n].size) * day.calm for n in hot)
        add("storm", hot, size=1 + 2.5 * size * usual / mine)
    elif kind == "zone_cut":
        add("cut", (day.rooms[t["which"]],))
    elif kind == "zone_loss":
        room = day.rooms[t["which"]]
        lost = tuple(k for k, n in enumerate(day.nodes) if n.room == room)
        add("silence" if extra > 0.5 else "kill", lost)
        if size > 0.5:
            add("crash", tuple(k for k, r in enumerate(day.ingress_rooms) if r == room))
    elif kind == "balancer_crash":
        add("crash", tuple(k for k in t["on"] if k < day.ingresses))
    elif kind == "balancer_roll":
        for step in t["steps"]:
            stopped = tuple(k for k in step["stop"] if k < day.ingresses)
            if stopped:
                add("crash", stopped, extra * 1000, at=_ms(step["at"]))
    elif kind == "reconnect":
        add("shift", (), 0.0, size)
    else:
        day.not_played.append(kind)
