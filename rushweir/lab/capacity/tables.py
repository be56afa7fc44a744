"""The tables of docs/CAPACITY.md, each as lines of Markdown, from the sheet alone."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Sequence
from typing import Any

from rushweir.lab.capacity import units
from rushweir.lab.capacity.sheet import COLUMNS, Figure, Need, RoleText, Sheet, extrapolated, share, total

NOT_MEASURED = "not measured"
NEAR = 0.1  # a hollow ingress is as a real one
SLOPES = (
    "role", "need", "samples (how)", "sizes", "exponent", "form", "off by", "formula", "at the target", "allowed",
    "ratio",
)  # fmt: skip


def table(head: Sequence[str], rows: Iterable[Sequence[str]]) -> list[str]:
    def line(cells: Sequence[str]) -> str:
        return "| " + " | ".join(c.replace("|", "/") for c in cells) + " |"

    return [line(head), line(["---"] * len(head)), *(line(r) for r in rows)]


def ratio(value: float | None) -> str:
    return "-" if value is None else f"x{units.plain(value)}"


def measured(sheet: Sheet, document: dict[str, Any]) -> list[str]:
    """From which run all figures are."""
    machine = "; ".join(f"{k} {v}" for k, v in document["machine"].items())
    rows = [
        ("date", str(document["date"])), ("revision", str(document["revision"])[:12]),
        ("command", f"`{document['command']}`"), ("machine", machine), ("samples", str(len(document["samples"]))),
    ]  # fmt: skip
    return table(("the run", ""), rows)


def letter(sheet: Sheet, document: dict[str, Any]) -> list[str]:
    known = sheet.letter
    rows = [(k.replace("_", " "), units.plain(v)) for k, v in known.size.items()]
    rows += [(k.replace("_", " "), units.plain(v)) for k, v in known.events.items()]
    rows += [(f"allowed: {k.replace('_', ' ')}", units.text(*v)) for k, v in known.allowance.items()]
    for what, text in (
        ("requests", "requests a second of each ingress"),
        ("changes", "changes of configuration a second"),
        ("list_changes", "list_changes a second: three for each machine that fails or restarts"),
    ):
        rows.append((f"worked out: {text}", units.plain(known.each_s(what))))
    return table(("the letter", ""), rows)


def roles(sheet: Sheet, document: dict[str, Any]) -> list[str]:
    """Each role at the target: state, messages, bytes, processor, memory, time, and what carries it."""
    rows = []
    for r in sheet.roles:
        cells = []
        for column in COLUMNS:
            mine = [n for n in r.needs if n.column == column]
            cells.append("; ".join(f"{n.what}: {_figure(n)}" for n in mine) or "-")
        rows.append((f"**{r.title}**", *cells, r.mechanism))
    return table(("role", *COLUMNS, "mechanism"), rows)


def _figure(need: Need) -> str:
    return NOT_MEASURED if need.figure is None else str(need.figure)


def formula(need: Need) -> str:
    """How a need was worked out of the slope."""
    f = need.each
    if f is None:
        return "-"
    one = f"{units.text(f.value, f.measures)} at {units.plain(f.target)}"
    if f.target not in f.fit.points:
        one = f"{f.fit.form(f.target)} [{_base(f.measures)}] at n = {units.plain(f.target)}"
    if not need.times:
        return one
    times = need.times if isinstance(need.times, str) else units.plain(need.times)
    return f"({one}) x {times} a second"


def _base(measures: str) -> str:
    return {"time": "s", "core": "cores", "bytes": "B", "flow": "B/s", "pace": "1/s"}.get(measures, "1")


def _grounds(figure: Figure) -> tuple[str, str, str, str]:
    """Sizes, exponent, form and how far off it is."""
    fitted = figure.fit
    form = fitted.form(figure.target)
    exponent = "-" if fitted.exponent is None else f"{units.without_noise(fitted.exponent):z.2f}"
    sizes = ", ".join(units.plain(n) for n in fitted.sizes)
    return sizes, exponent, form.name, f"{units.without_noise(form.residual * 100):z.0f}%"


def slopes(sheet: Sheet, document: dict[str, Any]) -> list[str]:
    """Each need with its slope, formula, allowance and ratio."""
    rows = []
    for r in sheet.roles:
        for n in r.needs:
            if n.each is None:
                few = sheet.short.get(tuple(n.sample.split(".", 1)))
                why = f"{NOT_MEASURED}: {few} sizes, four are wanted" if few else NOT_MEASURED
                rows.append((r.title, n.what, f"`{n.sample}`", why, *["-"] * 7))
                continue
            allowed = "-" if n.allowed is None else units.text(*n.allowed)
            rows.append((
                r.title, n.what, f"`{n.sample}` ({n.each.how})", f"{n.each.by}: {_grounds(n.each)[0]}",
                *_grounds(n.each)[1:], formula(n), _figure(n), allowed, ratio(n.ratio),
            ))  # fmt: skip
    return table(SLOPES, rows)


def by_ratio(sheet: Sheet) -> list[tuple[float, RoleText, Need | None]]:
    """All that has an allowance, and all roles that nothing carries, the largest ratio first. What nothing carries
    comes before what something does: it has no ratio, however little it would take."""
    rows: list[tuple[float, RoleText, Need | None]] = []
    for r in sheet.roles:
        rows += [(units.without_noise(n.ratio), r, n) for n in r.needs if n.ratio is not None]
        if r.missing:
            rows.append((math.inf, r, None))
    return sorted(rows, key=lambda row: -row[0])


def decision(sheet: Sheet, document: dict[str, Any]) -> list[str]:
    """What decides which mechanism is built: need, allowance, ratio, mechanism."""
    rows = []
    for value, r, n in by_ratio(sheet):
        if n is None:
            rows.append((r.title, r.named or "-", "-", "none", r.mechanism))
        else:
            rows.append((r.title, f"{n.what}: {n.figure}", units.text(*n.allowed), ratio(value), r.mechanism))
    rows += [
        (r.title, n.what, units.text(*n.allowed), NOT_MEASURED, r.mechanism)
        for r in sheet.roles for n in r.needs if n.allowed is not None and n.figure is None
    ]  # fmt: skip
    return table(("role", "need at the target", "allowed", "ratio", "mechanism"), rows)


def missing(sheet: Sheet, document: dict[str, Any]) -> list[str]:
    """What is missing next, by ratio: roles that nothing carries, and needs beyond their allowance."""
    out = []
    for value, r, n in by_ratio(sheet):
        if n is None:
            out.append(f"{len(out) + 1}. **{r.title}**: {r.mechanism}.")
        elif value > 1:
            out.append(f"{len(out) + 1}. **{r.title}**, {n.what}: {n.figure}, {ratio(value)} what is allowed.")
    return out or ["Nothing that was measured is beyond its allowance."]


def sum_ingress(sheet: Sheet, document: dict[str, Any]) -> list[str]:
    """All that control costs one ingress, against its allowance."""
    rows = []
    for column, name in (("processor", "cpu"), ("memory", "memory"), ("bytes", "bytes")):
        rows += _summed(sheet, "ingress", column, sheet.letter.allowed(name))
    return table(("of one ingress", "part", "at the target", "allowed", "ratio"), rows)


def _summed(
    sheet: Sheet, which: str, column: str, allowed: tuple[float, str] | None
) -> list[tuple[str, str, str, str, str]]:
    made = total(sheet.needs, which, column)
    titles = {r.name: r.title for r in sheet.roles}
    mine = [n for n in sheet.needs if n.sum == which and n.column == column]
    rows = [(column, f"{titles[n.role]}: {n.what}", _figure(n), "", "") for n in mine]
    if made is not None and allowed is not None:
        text = f"**{made}**"
        rows.append((f"**{column}**", "**sum**", text, units.text(*allowed), ratio(made.value / allowed[0])))
    elif made is not None:
        rows.append((f"**{column}**", "**sum**", f"**{made}**", "-", "-"))
    return rows


def sum_machines(sheet: Sheet, document: dict[str, Any]) -> list[str]:
    """What the machines set aside for control do: each part on each of them, one process a core at most."""
    rows = _summed(sheet, "machine", "processor", (1.0, "core"))
    for column in ("memory", "bytes"):
        rows += _summed(sheet, "machine", column, None)
    return table(("of each control machine", "part", "at the target", "one core", "ratio"), rows)


def path(sheet: Sheet, document: dict[str, Any]) -> list[str]:
    """The request path: what a request takes in one ingress, against what may be added to it."""
    allowed, each_s = sheet.letter.allowed("added"), sheet.letter.each_s("requests")
    mine = [n for n in sheet.needs if n.path]
    rows = []
    for n in mine:
        if n.each is None:
            rows.append((n.what, NOT_MEASURED, "-", units.text(*allowed) if n.allowed else "-", "-"))
            continue
        # What 99 in 100 take is no processor time: it holds waits, and does not add up.
        waits = n.sample.endswith("p99")
        core = "-" if waits else units.text(n.each.value * each_s, "core") + extrapolated(n.each.factor)
        allowance = ("-", "-") if n.allowed is None else (units.text(*allowed), ratio(n.each.value / allowed[0]))
        rows.append((n.what, str(n.each), core, *allowance))
    at = f"at {units.plain(each_s)} a second"
    return table(("of each request", "takes", at, "may be added", "ratio"), rows)


def events(sheet: Sheet, document: dict[str, Any]) -> list[str]:
    """What each event of the letter costs, what is served meanwhile, and how long until all is as before."""
    rows = []
    for e in sheet.events:
        cells = ["; ".join(_of_event(sheet, e, kind)) or NOT_MEASURED for kind in ("costs", "served", "until")]
        rows.append((e["title"], e["often"], *cells))
    return table(("event", "how often", "costs", "served meanwhile", "until all is as before"), rows)


def _of_event(sheet: Sheet, event: dict[str, Any], kind: str) -> list[str]:
    """The figures that an event's text names; all that are of that kind by their names, where it names none."""
    role = event["role"]
    known = [f for r, f in sheet.figures if r == role]
    out = []
    for figure in event.get(kind, [f for f in known if _kind(f, sheet.figures[role, f]) == kind]):
        found, few = sheet.figures.get((role, figure)), sheet.short.get((role, figure))
        if found is not None:
            out.append(f"{figure.replace('_', ' ')} {found}")
        elif few:
            out.append(f"{figure.replace('_', ' ')} {NOT_MEASURED}: {few} sizes, four are wanted")
    return out


def _kind(figure: str, f: Figure) -> str:
    if share(figure) or any(word in figure for word in ("refused", "failed", "answered")):
        return "served"
    return "until" if f.measures == "time" and "cpu" not in figure else "costs"


def hollow(sheet: Sheet, document: dict[str, Any]) -> list[str]:
    """Figures of hollow ingresses over those of real ones, in one run: at each size, and whether within a tenth."""
    found = {}
    for s in document["samples"]:
        if s["role"] == "check":
            found.setdefault(s["figure"], {})[s["size"]] = s["value"]
    ratios = {f: v for f, v in found.items() if f.startswith(("fleet_", "mail_"))}
    for f, values in found.items():
        real = found.get(f.removesuffix("_hollow") + "_real") if f.endswith("_hollow") else None
        if real is not None:
            ratios[f.removesuffix("_hollow")] = {n: v / real[n] for n, v in values.items() if real.get(n)}
    rows = []
    for f, values in sorted(ratios.items()):
        at = ", ".join(f"{n}: {units.plain(v)}" for n, v in sorted(values.items()))
        far = [n for n, v in values.items() if abs(v - 1) > NEAR]
        verdict = f"differs at {len(far)} of {len(values)}" if far else "within a tenth"
        rows.append((f.replace("_", " "), at, verdict))
    return table(("hollow over real", "by size", ""), rows or [("all", NOT_MEASURED, "-")])


TABLES: dict[str, Callable[[Sheet, dict[str, Any]], list[str]]] = {
    "run": measured, "letter": letter, "decision": decision, "missing": missing, "roles": roles, "slopes": slopes,
    "ingress": sum_ingress, "machines": sum_machines, "path": path, "events": events,
    "hollow": hollow,
}  # fmt: skip
