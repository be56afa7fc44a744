"""The checker of the five rules, fed by records of clients and stand-ins alone, never by an ingress.

    python -m rushweir.lab.checker FOLDER

What it knows of the deployment comes with the records as well (``facts``: classes, plans, partners, figures
of the rules), from whoever set the day up. Times on two sockets of one machine differ by what the machine
was busy with, so each rule has a stated slack; docs/checker.md gives the reason for each figure.
"""

from __future__ import annotations

import sys
from collections import defaultdict, deque
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from rushweir.lab.records import read_all

Record = dict[str, Any]

TRANSIT_MS = 60.0  # between a step of an ingress and its record at a node, on a busy machine
ANSWER_MS = 0.0  # beyond the stated slack of answers: none, the ingress has to leave room for the way
RESUMED_MS = 500.0  # for all that waited while an ingress was stopped
CEILING_MS = 60.0  # of the ceiling's rate: arrivals bunch by so much on the way to the nodes
FALL_SLACK = 1.05
RULES = {
    1: "one final answer for each request taken, in time",
    2: "no repeat that the class forbids",
    3: "nothing new to a node after the grace",
    4: "no cold node pushed over",
    5: "ceilings kept by all ingresses together",
}


@dataclass(frozen=True, slots=True)
class Breach:
    rule: int
    t: float
    text: str


@dataclass(slots=True)
class Verdict:
    """What was found: breaches by rule, and how much there was to judge, so that an empty day proves nothing."""

    breaches: dict[int, list[Breach]] = field(default_factory=lambda: {r: [] for r in RULES})
    judged: dict[int, int] = field(default_factory=lambda: dict.fromkeys(RULES, 0))

    def add(self, rule: int, t: float, text: str) -> None:
        self.breaches[rule].append(Breach(rule, t, text))

    @property
    def kept(self) -> bool:
        return not any(self.breaches.values())

    def lines(self, start: float = 0.0) -> list[str]:
        out = []
        for rule, what in RULES.items():
            found, judged = self.breaches[rule], self.judged[rule]
            word = "BROKEN" if found else "kept" if judged else "not seen"
            out.append(f"rule {rule}: {word:8} {what} ({judged} judged, {len(found)} breaches)")
            out += [f"    at {(b.t - start) / 1000:8.3f} s: {b.text}" for b in found[:5]]
        return out


def check(records: list[Record]) -> Verdict:
    """Judge records in order of time."""
    verdict = Verdict()
    facts = next((r for r in records if r["e"] == "facts"), None)
    if facts is None:
        raise ValueError("the records hold no facts of the deployment")
    tries = _tries(records)
    _answers(records, facts, tries, verdict)
    _repeats(records, facts, tries, verdict)
    _drains(records, facts, verdict)
    _cold(records, facts, verdict)
    _ceilings(facts, tries, verdict)
    return verdict


@dataclass(slots=True)
class Try:
    """One try of a client, by its tag: the ask, the answers and the arrivals at nodes."""

    tag: str
    ask: Record | None = None
    answers: list[Record] = field(default_factory=list)
    arrivals: list[Record] = field(default_factory=list)
    left: float | None = None  # when its client left, or its connection was lost
    resent_at: float | None = None  # when it was sent once more, on a new connection
    untaken: bool = False  # a resting connection ended under it, and no ingress took connections then


def _tries(records: list[Record]) -> dict[str, Try]:
    tries: dict[str, Try] = {}
    by_id: dict[tuple, Try] = {}
    open_of: dict[int, dict[tuple, Try]] = defaultdict(dict)
    for r in records:
        kind = r["e"]
        if kind == "ask" and r["tag"]:
            t = tries.setdefault(r["tag"], Try(r["tag"]))
            t.ask = r
            by_id[r["client"], r["id"]] = open_of[r["client"]][r["client"], r["id"]] = t
        elif kind == "answer" and r["id"] is not None:
            known = by_id.get((r["client"], r["id"]))
            if known is not None:
                known.answers.append(r)
                open_of[r["client"]].pop((r["client"], r["id"]), None)
            else:
                tries.setdefault(f"?{r['client']}/{r['id']}", Try("?")).answers.append(r)
        elif kind in ("leave", "lost", "closed"):
            for t in open_of.pop(r["client"], {}).values():
                t.left = r["t"] if t.left is None else t.left
        elif kind in ("resent", "untaken"):
            t = tries.setdefault(r["tag"], Try(r["tag"]))
            t.resent_at, t.left = r["t"], None
            t.untaken |= kind == "untaken"
        elif kind == "arrive" and r.get("tag"):
            tries.setdefault(r["tag"], Try(r["tag"])).arrivals.append(r)
    return tries


def _answers(records: list[Record], facts: Record, tries: dict[str, Try], verdict: Verdict) -> None:
    """Rule 1. A request is excused only where its client left, or its ingress was killed with it open. Of an ingress
    that was stopped as it stood, nothing is due before it goes on, and then at once."""
    killed = defaultdict(list)
    pauses: dict[int, list[list[float]]] = defaultdict(list)
    left: dict[int, float] = {}
    opened: dict[int, float] = {}
    for r in records:
        if r["e"] == "killed":
            killed[r["ingress"]].append(r["t"])
        elif r["e"] == "paused":
            pauses[r["ingress"]].append([r["t"], r["t"]])
        elif r["e"] == "continued":
            pauses[r["ingress"]][-1][1] = r["t"]
        elif r["e"] == "open":
            opened[r["client"]] = r["t"]
        elif r["e"] == "leave":
            left.setdefault(r["client"], r["t"])
    end = records[-1]["t"]
    holds = [r for r in records if r["e"] == "loop_held"]
    slack = facts["rules"]["answer_slack"] + ANSWER_MS
    for t in tries.values():
        if t.ask is None:
            if t.tag == "?":
                verdict.add(1, t.answers[0]["t"], f"an answer to id {t.answers[0]['id']}, which was never asked")
            continue
        ask = t.ask
        verdict.judged[1] += 1
        cls = facts["classes"].get(ask["cls"])
        within = min(ask["within"] or 1e12, cls["deadline"]) if cls else ask["within"] or 3000.0
        due = ask["t"] + within + slack
        for began, ended in pauses[ask["ingress"]]:
            if began <= due and ask["t"] <= ended:
                due = max(due, ended + RESUMED_MS)
        if t.resent_at is not None and t.arrivals and t.arrivals[0]["t"] < t.resent_at:
            verdict.add(1, t.resent_at, f"{t.tag}: forwarded, and its connection ended without an answer")
        elif t.untaken and not t.answers:
            continue
        elif len(t.answers) > 1:
            verdict.add(1, t.answers[1]["t"], f"{t.tag}: {len(t.answers)} answers")
        elif t.answers:
            if t.answers[0]["t"] > due:
                late = t.answers[0]["t"] - due
                text = f"{t.tag}: answered {late:.1f} ms too late"
                verdict.add(1, t.answers[0]["t"], text + _held_up(holds, due, t.answers[0]["t"]))
        elif t.left is not None and t.left < due:
            own = left.get(ask["client"])
            # Its connection was open to the ingress when that was killed: asked before, or before it noticed.
            died = any(opened.get(ask["client"], 0.0) <= k <= t.left for k in killed[ask["ingress"]])
            if (own is None or own > t.left + 1.0) and not died:
                verdict.add(1, t.left, f"{t.tag}: its connection ended without an answer, and nobody had left")
        elif end > due:
            verdict.add(1, due, f"{t.tag}: no answer")


def _held_up(holds: list[Record], due: float, answered: float) -> str:
    """Says for how long the process of the clients was held up itself while an answer was late. It stays late."""
    held = max((r["ms"] for r in holds if due <= r["t"] and r["t"] - r["ms"] <= answered), default=0.0)
    return f"; the clients' own loop was held up for {held:.0f} ms then" if held else ""


def _ends(records: list[Record]) -> dict[tuple, Record]:
    """How each attempt ended at its node: by the node, or by what befell the node."""
    ends: dict[tuple, Record] = {}
    at_node: dict[str, dict[tuple, Record]] = defaultdict(dict)
    for r in records:
        kind = r["e"]
        if kind == "arrive":
            at_node[r["node"]][r["node"], r["req"], r["n"]] = r
        elif kind == "end":
            key = (r["node"], r["req"], r["n"])
            ends.setdefault(key, r)
            at_node[r["node"]].pop(key, None)
        elif kind in ("down", "fault"):
            # What a node held when it died, fell silent or was cut off: its ingress may have seen it end then.
            for key in at_node.pop(r["node"], {}):
                ends.setdefault(key, {"t": r["t"], "how": "lost"})
    return ends


def _repeats(records: list[Record], facts: Record, tries: dict[str, Try], verdict: Verdict) -> None:
    """Rule 2."""
    ends = _ends(records)
    silent = {r["node"] for r in records if r["e"] == "fault"}

    def end_of(a: Record) -> Record:
        return ends.get((a["node"], a["req"], a["n"]), {"t": a["t"] + a["within"], "how": "none"})

    for t in tries.values():
        if not t.arrivals:
            continue
        cls = facts["classes"].get(t.arrivals[0]["cls"])
        if cls is None:
            continue
        verdict.judged[2] += 1
        ran = None  # the first arrival that may have run
        for k, a in enumerate(t.arrivals):
            if ran is not None:
                where = {"all": "", "zone": "room", "cell": "cell"}[cls["group"]]
                if cls["repeat"] == "unsafe":
                    verdict.add(2, a["t"], f"{t.tag}: sent again though it may have run")
                elif cls["repeat"] == "keyed" and where and a.get(where) != ran.get(where):
                    verdict.add(2, a["t"], f"{t.tag}: a keyed repeat in another {where}")
                elif cls["repeat"] == "keyed" and a["t"] > ran["t"] + cls["window"] + TRANSIT_MS:
                    verdict.add(2, a["t"], f"{t.tag}: a keyed repeat after its window")
            for earlier in t.arrivals[:k]:
                ended = end_of(earlier)["t"]
                if ended > a["t"] + TRANSIT_MS and earlier["node"] not in silent and not facts["second_copies"]:
                    verdict.add(2, a["t"], f"{t.tag}: two attempts at once")
            if ran is None and end_of(a)["how"] != "full":
                ran = a
        answer = t.answers[0] if t.answers else None
        if answer is not None and answer["kind"] == "refused" and ran is not None:
            safe = cls["repeat"] == "safe" or (cls["repeat"] == "keyed" and cls["group"] == "all")
            if not safe:
                verdict.add(2, answer["t"], f"{t.tag}: refused as harmless to repeat though it may have run")
        over = answer["t"] if answer is not None else t.left
        if over is not None and t.arrivals[-1]["t"] > over + TRANSIT_MS:
            verdict.add(2, t.arrivals[-1]["t"], f"{t.tag}: sent on after it was over")


def _drains(records: list[Record], facts: Record, verdict: Verdict) -> None:
    """Rule 3. What an ingress was told counts from when it was written to its socket."""
    closed: dict[int, dict[str, float]] = defaultdict(dict)
    known: dict[int, set[str]] = defaultdict(set)
    grace = facts["rules"]["drain_grace"] + TRANSIT_MS
    for r in records:
        if r["e"] == "told":
            mine, seen = closed[r["ingress"]], known[r["ingress"]]
            for node, state in r["states"].items():
                seen.add(node)
                if state == "ready":
                    mine.pop(node, None)
                else:
                    verdict.judged[3] += node not in mine
                    mine.setdefault(node, r["t"])
            if r["full"]:
                for node in seen - r["states"].keys():
                    verdict.judged[3] += node not in mine
                    mine.setdefault(node, r["t"])
        elif r["e"] == "arrive":
            since = closed[r["ingress"]].get(r["node"])
            if since is not None and r["t"] > since + grace:
                told = f"told {r['t'] - since:.0f} ms before"
                verdict.add(3, r["t"], f"{r['node']} got {r['req']} from ingress {r['ingress']}, {told}")


def _cold(records: list[Record], facts: Record, verdict: Verdict) -> None:
    """Rule 4, counted as a budget; a node's own word that it fell counts as well. It is broken where two thirds
    of the work came from ingresses that had been told of the start."""
    up: dict[str, Record] = {}
    recent: dict[str, deque[tuple[float, float, bool]]] = defaultdict(deque)
    told: dict[tuple[int, str], float] = {}
    blamed: set[tuple[str, float]] = set()
    for r in records:
        if r["e"] == "told":
            for node, since in r["since"].items():
                told[r["ingress"], node] = since
        elif r["e"] == "up":
            up[r["node"]] = r
            recent[r["node"]].clear()
            verdict.judged[4] += bool(r["cold"])
        elif r["e"] == "arrive" and r["node"] in up and up[r["node"]]["cold"]:
            k, work = up[r["node"]], recent[r["node"]]
            age = r["t"] - k["t"]
            if age > k["cold_ms"]:
                continue
            informed = told.get((r["ingress"], r["node"]), -1.0) >= k["t"] - 1.0
            work.append((r["t"], r["work"], informed))
            while work[0][0] < r["t"] - k["fall_ms"]:
                work.popleft()
            able = k["cores"] * k["speed"] * (k["cold_from"] + (1 - k["cold_from"]) * age / k["cold_ms"])
            most = k["fall_multiple"] * able * k["fall_ms"] * FALL_SLACK
            total = sum(w for _, w, _ in work)
            if total > most and (r["node"], k["t"]) not in blamed and _blame(work):
                blamed.add((r["node"], k["t"]))
                text = f"{r['node']}, up for {age:.0f} ms, got {total:.0f} ms of work, {most:.0f} at most"
                verdict.add(4, r["t"], text)
        elif r["e"] == "fell":
            key = (r["node"], up[r["node"]]["t"])
            if key not in blamed and _blame(recent[r["node"]]):
                blamed.add(key)
                verdict.add(4, r["t"], f"{r['node']} fell over")


def _blame(work: deque[tuple[float, float, bool]]) -> bool:
    total = sum(w for _, w, _ in work)
    return sum(w for _, w, informed in work if informed) >= total * 2 / 3


def _ceilings(facts: Record, tries: dict[str, Try], verdict: Verdict) -> None:
    """Rule 5: each try's first arrival at a node draws its units, whichever ingress sent it."""
    firsts = sorted((t.arrivals[0] for t in tries.values() if t.arrivals), key=lambda a: a["t"])
    stores: dict[str, tuple[float, float]] = {}
    for a in firsts:
        plan = facts["plans"].get(facts["partners"].get(a["partner"], ""), {})
        rate, burst = plan.get("ceiling_rate", 0.0), plan.get("ceiling_burst", 0.0)
        if not rate:
            continue
        verdict.judged[5] += 1
        level, at = stores.get(a["partner"], (burst, a["t"]))
        level = min(burst, level + rate * (a["t"] - at) / 1000) - a["units"]
        stores[a["partner"]] = (level, a["t"])
        if level < -plan.get("ceiling_slack", 0.0) - rate * CEILING_MS / 1000:
            verdict.add(5, a["t"], f"partner {a['partner']}: {-level:.1f} units beyond its ceiling")


def judge(folder: Path) -> int:
    """Judge the records in a folder and print the verdict; returns the exit code."""
    try:
        records = read_all(folder)
        verdict = check(records)
    except (OSError, ValueError) as problem:
        print(f"check: {problem}", file=sys.stderr)
        return 2
    print("\n".join(verdict.lines(records[0]["t"])))
    return 0 if verdict.kept else 1


if __name__ == "__main__":
    if len(sys.argv) != 2:
        print("usage: python -m rushweir.lab.checker FOLDER", file=sys.stderr)
        sys.exit(2)
    sys.exit(judge(Path(sys.argv[1])))
