"""What a day writes down: the settings of each ingress, and the facts that the checker has to know."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from rushweir.fronts.credentials import digest
from rushweir.lab.day import Day
from rushweir.lab.standins.nodelist import wall_offset_ms
from rushweir.lab.traffic import doors

if TYPE_CHECKING:
    from rushweir.lab.stage import Stage


def facts(day: Day) -> dict[str, Any]:
    """What the checker has to know of a deployment."""
    return {
        "classes": {
            c.name: {"deadline": c.deadline, "repeat": c.repeat, "group": c.group, "window": c.window, "aim": c.aim,
                     "worth": c.worth, "late_share": c.late_share}
            for c in day.classes
        },
        "plans": {
            p.name: {"ceiling_rate": p.ceiling_rate, "ceiling_burst": p.ceiling_burst,
                     "ceiling_slack": p.ceiling_slack, "price": p.price, "rate": p.rate, "burst": p.burst}
            for p in day.plans
        },
        "partners": {name: p.name for name, p in day.partner_names()},
        "rules": day.rules,
        "second_copies": False,
        "wall_offset": wall_offset_ms(),
        "budgets_term": day.budgets_term,
        "length": day.length,
    }  # fmt: skip


def plain(value: float) -> str:
    """A number as the settings have them: no exponent."""
    return f"{value:.6f}".rstrip("0").rstrip(".")


def settings_text(stage: Stage, k: int, port: int) -> str:
    """The settings of one ingress for a day."""
    day = stage.day
    r = day.rules
    out = [
        f"ingress {'auto' if day.fleet else k} {day.ingresses}", f"zone {day.ingress_rooms[k]}",
        f"listen 127.0.0.1:{port}", "path /dispatch", f"state state-{k}", f"meter {plain(day.meter)}ms",
        "list {", f"    url ws://127.0.0.1:{stage.list.port}/list", "}",
        "rules {", f"    drain-grace {plain(r['drain_grace'])}ms", f"    cold-share {plain(r['cold_share'])}",
        f"    cold-time {plain(r['cold_time'])}ms", f"    fall-multiple {plain(r['fall_multiple'])}",
        f"    fall-time {plain(r['fall_time'])}ms", f"    answer-slack {plain(r['answer_slack'])}ms", "}",
        "limits {", f"    attempts {plain(day.limits['attempts'])}",
        f"    retry-after {plain(day.limits['retry_after'])}ms",
        f"    largest-request {plain(day.limits.get('largest_request', 1))}", "}",
        "nodes {", "    weights rough", "}",
        "control {", f"    socket control-{k}.sock", "}",
    ]  # fmt: skip
    if day.stop:
        out += [f"stop {plain(day.stop)}ms"]
    if stage.users:
        out += ["console {", "    listen 127.0.0.1:0", "    users-file users", "}"]
    if day.counter:
        out += ["counter {", f"    url ws://127.0.0.1:{stage.counter.port}/counter", "    timeout 80ms", "}"]
    elif day.ingresses > 1:
        bind = stage.peer_ports[k] if day.fleet else 0
        out += ["peers {", f"    bind 127.0.0.1:{bind}", "    key-file peers.key"]
        if not day.fleet:
            out += [f"    peer {n} 127.0.0.1:{p}" for n, p in enumerate(stage.relay_ports) if n != k]
        out += ["}"]
    if day.fleet:
        out += ["fleet {", *(f"    seed 127.0.0.1:{p}" for p in stage.relay_ports[: day.fleet])]
        out += [f"    advertise 127.0.0.1:{stage.relay_ports[k]}", f"    term {plain(day.fleet_term)}ms",
                f"    keep {plain(day.fleet_keep)}ms", "}",
                "budgets {", "    told on", f"    term {plain(day.budgets_term)}ms", "}",
                "log {", "    each-cause 1000/s", "    at-once 1000", "}"]  # fmt: skip
    for c in day.classes:
        out += [f"class {c.name} {{", f"    aim {plain(c.aim)}ms", f"    deadline {plain(c.deadline)}ms",
                f"    worth {plain(c.worth)}", f"    late-share {plain(c.late_share)}", f"    repeat {c.repeat}",
                f"    group {c.group}"]  # fmt: skip
        out += [f"    window {plain(c.window)}ms"] if c.window else []
        out += ["}"]
    for p in day.plans:
        out += [f"plan {p.name} {{"]
        out += [f"    rate {plain(p.rate)}/s", f"    burst {plain(p.burst)}"] if p.rate else []
        out += [f"    open {p.open}"] if p.open else []
        if p.ceiling_rate:
            out += [f"    ceiling-rate {plain(p.ceiling_rate)}/s", f"    ceiling-burst {plain(p.ceiling_burst)}",
                    f"    ceiling-slack {plain(p.ceiling_slack)}"]  # fmt: skip
        out += [f"    price {plain(p.price)}", f"    over-worth {plain(p.over_worth)}"]
        out += [f"    over-cost {plain(p.over_cost)}", "}"]
    for n, (name, p) in enumerate(day.partner_names()):
        first, count = doors(day, n, p)
        out += [f"partner {name} {{", f"    plan {p.name}", f"    credential {digest(stage.credentials[name])}",
                f"    through {first} {count}", "}"]  # fmt: skip
    return "\n".join(out) + "\n"
