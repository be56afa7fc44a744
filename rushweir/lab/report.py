"""The report of a day, from its records: service by class and plan, refusals by reason, the rules' verdict."""

from __future__ import annotations

import os
import platform
from collections import Counter, defaultdict
from pathlib import Path
from typing import Any

from rushweir.lab.checker import check
from rushweir.lab.checker_parts import check_parts, read_parts
from rushweir.lab.day import Day
from rushweir.lab.records import read_all


def worth(record: dict[str, Any], facts: dict[str, Any]) -> tuple[float, float]:
    """What a request's outcome earned, and what it could have."""
    cls = facts["classes"][record["cls"]]
    plan = facts["plans"][facts["partners"][record["partner"]]]
    most = cls["worth"] * plan["price"] * record["units"]
    if record["how"] != "served":
        return 0.0, most
    return (most if record["took"] <= cls["aim"] else most * cls["late_share"]), most


def report(folder: Path, day: Day) -> tuple[str, bool]:
    """The text, and whether all rules were kept."""
    records = read_all(folder)
    facts = next(r for r in records if r["e"] == "facts")
    done = [r for r in records if r["e"] == "done"]
    fleet = f"{day.ingresses} ingresses, {len(day.nodes)} simulated nodes"
    size = f"{day.length / 1000:g} s, {fleet}, {len(done)} requests"
    machine = f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}"
    out = [f"{day.name}: {size}; {machine}"]
    by_class: dict[str, Counter[str]] = defaultdict(Counter)
    by_plan: dict[str, Counter[str]] = defaultdict(Counter)
    earned: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
    took: dict[str, list[float]] = defaultdict(list)
    for r in done:
        got, most = worth(r, facts)
        how = r["how"]
        if how == "served":
            how = "in time" if r["took"] <= facts["classes"][r["cls"]]["aim"] else "late"
            took[r["cls"]].append(r["took"])
        plan = facts["partners"][r["partner"]]
        for group, counts in ((r["cls"], by_class), (plan, by_plan)):
            counts[group]["asked"] += 1
            counts[group][how] += 1
            earned[group][0] += got
            earned[group][1] += most
    words = ("asked", "in time", "late", "refused", "failed", "unreachable", "unanswered")
    out.append(f"{'':16}" + "".join(f"{w:>12}" for w in words) + f"{'worth':>8}{'p50 ms':>8}{'p99 ms':>8}")
    for counts in (by_class, by_plan):
        for group in sorted(counts):
            c, (got, most) = counts[group], earned[group]
            times = sorted(took.get(group, ()))
            at = [f"{times[int(len(times) * q)]:8.0f}" if times else f"{'':8}" for q in (0.5, 0.99)]
            out.append(f"{group:16}" + "".join(f"{c[w]:12}" for w in words) + f"{got / most:8.3f}" + "".join(at))
    reasons = Counter(r["why"] for r in records if r["e"] == "answer" and r["kind"] == "refused")
    out.append("refusals by reason: " + (", ".join(f"{w or 'none'} {n}" for w, n in reasons.most_common()) or "none"))
    failed = Counter(r["why"] for r in records if r["e"] == "answer" and r["kind"] == "failed")
    out.append("failures by reason: " + (", ".join(f"{w} {n}" for w, n in failed.most_common()) or "none"))
    if day.not_played:
        out.append("not played: " + ", ".join(day.not_played))
    verdict = check(records)
    out += verdict.lines(next((r["at"] for r in records if r["e"] == "begin"), records[0]["t"]))
    kept = verdict.kept
    if day.fleet:
        parts = check_parts(read_parts(folder / "errors.txt", facts["wall_offset"]), records, facts)
        out += parts.lines(next((r["at"] for r in records if r["e"] == "begin"), records[0]["t"]))
        kept = kept and parts.kept
    return "\n".join(out), kept
