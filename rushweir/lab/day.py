"""A day to play: the fleet, the partners and their traffic, and what goes wrong when.

A day is written in the form of the settings files (docs/laboratory.md):

    length 40s
    seed 7
    fleet { ingresses 3 ... }
    class booking { ... }   plan teljes { ... }   # as in an ingress's settings, and more
    at 6s drain node 2 for 10s
"""

from __future__ import annotations

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from rushweir.config.text import ConfigError, Directive, Problem, Spot, parse
from rushweir.config.values import duration, number, rate, whole
from rushweir.lab.standins.model import NodeKind

TROUBLES: dict[str, tuple[str, ...]] = {
    # name: its words; what stands in angle brackets is a value, * takes several
    "drain": ("node", "<whole>*"),
    "remove": ("node", "<whole>*"),
    "kill": ("node", "<whole>*"),
    "silence": ("node", "<whole>*"),
    "errors": ("node", "<whole>*"),
    "slow": ("node", "<whole>*"),
    "half": ("node", "<whole>*"),
    "double": ("node", "<whole>*"),
    "mute": ("node", "<whole>*"),
    "wrong-id": ("node", "<whole>*"),
    "cut": ("room", "<name>*"),
    "crash": ("ingress", "<whole>*"),
    "roll": ("ingress", "<whole>*"),
    "storm": ("partner", "<name>*"),
    "pause": ("ingress", "<whole>*"),
    "join": ("ingress", "<whole>*"),
    "retire": ("ingress", "<whole>*"),
    "apart": ("ingress", "<whole>*"),
    "unheard": ("ingress", "<whole>*"),
    "deaf": ("ingress", "<whole>*"),
    "shift": ("partner", "<name>*"),
    "lossy": ("peers",),
    "noisy": ("peers",),
    "break": ("list",),
}


@dataclass(frozen=True, slots=True)
class Trouble:
    """One thing that goes wrong: from ``at`` for ``length`` (0: once), with ``size`` where it takes one."""

    at: float
    what: str
    on: tuple[Any, ...] = ()
    length: float = 0.0
    size: float = 1.0


@dataclass(frozen=True, slots=True)
class DayClass:
    name: str
    aim: float
    deadline: float
    worth: float = 1.0
    late_share: float = 0.0
    repeat: str = "unsafe"
    group: str = "all"
    window: float = 0.0
    share: float = 1.0  # of the requests
    work: float = 80.0  # mean, in ms of a core
    cv: float = 0.8


@dataclass(frozen=True, slots=True)
class DayPlan:
    name: str
    partners: int = 5
    rate: float = 0.0  # units a second
    burst: float = 0.0
    open: int = 0
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0
    price: float = 1.0
    over_worth: float = 0.0
    over_cost: float = 0.0
    size: float = 1.0  # units a second that a partner's quota comes to, for plans without a rate
    spread: int = 0  # ingresses of each partner; 0: all


@dataclass(frozen=True, slots=True)
class DayNode:
    room: str
    kind: NodeKind
    weight: float = 1.0
    cell: int = 0


@dataclass(slots=True)
class Day:
    """One day. Times in milliseconds."""

    name: str = "day"
    length: float = 40_000.0
    seed: int = 1
    rooms: tuple[str, ...] = ("room-a", "room-b", "room-c")
    ingress_rooms: tuple[str, ...] = ("room-a", "room-b", "room-c")
    started: int = 0  # ingresses at the start, of the places for them; 0: all
    fleet: int = 0  # seeds of the fleet, which gives the numbers; 0: none, and places are numbers
    fleet_term: float = 5_000.0
    fleet_keep: float = 15_000.0
    budgets_term: float = 2_000.0
    nodes: list[DayNode] = field(default_factory=list)
    classes: list[DayClass] = field(default_factory=list)
    plans: list[DayPlan] = field(default_factory=list)
    troubles: list[Trouble] = field(default_factory=list)
    load: float = 0.5  # asked inside the quotas, of what the nodes can do
    traffic: list[Any] | None = None  # drawn elsewhere (a replay); else it is drawn from the day
    # clients
    retries: int = 2
    backoff: float = 150.0
    honour: float = 0.8  # share of tries after a refusal that wait as they were told
    try_share: float = 0.9  # a try is given up after this share of the deadline
    calm: float = 0.35  # use of a quiet partner, of its quota
    full: float = 0.2  # share of the partners that use nearly all
    heavy: float = 0.1  # share that asks far more
    heavy_x: tuple[float, float] = (2.0, 4.0)
    swing: float = 0.2
    spiky: float = 0.0  # share that asks far more for seconds, now and then
    spike_x: tuple[float, float] = (2.0, 6.0)
    spike_s: tuple[float, float] = (2.0, 4.0)
    spike_every: float = 20.0  # seconds
    units: str = "one"  # or by the work of a request, up to most_units
    most_units: int = 1
    # list, peers, meter, rules
    list_late: float = 500.0  # after a change, until the list tells
    silent_late: float = 4000.0  # after a machine fell silent
    peer_delay: float = 3.0
    peer_loss: float = 0.03
    meter: float = 2000.0
    meter_late: float = 500.0
    key_window: float = 6000.0
    rules: dict[str, float] = field(
        default_factory=lambda: {
            "drain_grace": 1000.0,
            "cold_share": 0.2,
            "cold_time": 8000.0,
            "fall_multiple": 3.0,
            "fall_time": 1500.0,
            "answer_slack": 8.0,
        }  # fmt: skip
    )
    limits: dict[str, float] = field(default_factory=lambda: {"attempts": 4, "retry_after": 500.0})
    counter: bool = False
    stop: float = 0.0  # how long an ingress waits for open requests at its end; 0: as it does by default
    not_played: list[str] = field(default_factory=list)  # troubles that a replayed day has and this lacks

    @property
    def ingresses(self) -> int:
        return len(self.ingress_rooms)

    def partner_names(self) -> list[tuple[str, DayPlan]]:
        return [(f"{p.name}-{k}", p) for p in self.plans for k in range(p.partners)]


def load(path: Path) -> Day:
    """A day from its file. Raises ConfigError."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as problem:
        raise ConfigError([Problem(Spot(str(path), 1, 1), f"can't be read: {problem}")]) from None
    return load_text(text, str(path))


def load_text(text: str, name: str) -> Day:
    problems: list[Problem] = []
    day = Day(name=Path(name).stem)
    kinds: dict[str, NodeKind] = {}
    for d in parse(text, name):
        try:
            _directive(day, d, kinds, problems)
        except ValueError as problem:
            problems.append(Problem(d.spot, f"{d.name}: expected {problem}"))
    for t, spot in ((t, Spot(name, 1, 1)) for t in day.troubles):
        if TROUBLES[t.what][0] == "ingress" and any(k >= day.ingresses for k in t.on):
            problems.append(Problem(spot, f"{t.what}: there are {day.ingresses} ingresses"))
        if TROUBLES[t.what][0] == "node" and any(k >= len(day.nodes) for k in t.on):
            problems.append(Problem(spot, f"{t.what}: there are {len(day.nodes)} nodes"))
    if not (day.nodes and day.classes and day.plans):
        problems.append(Problem(Spot(name, 1, 1), "a day needs nodes, a class and a plan"))
    if problems:
        raise ConfigError(problems, {name: text.splitlines()})
    return day


_WORDS = {
    "length": duration, "seed": whole, "fleet": whole, "started": whole, "fleet-term": duration,
    "fleet-keep": duration, "budgets-term": duration, "load": number, "retries": whole, "backoff": duration,
    "honour": number,
    "try-share": number, "calm": number, "full": number, "heavy": number, "swing": number, "list-late": duration,
    "peer-delay": duration, "peer-loss": number, "meter": duration, "meter-late": duration, "key-window": duration,
}  # fmt: skip
_KIND = {
    "cores": whole, "speed": number, "slots": whole, "queue": whole, "thrash": number, "knee": number,
    "cold-from": number, "cold-time": duration,
}  # fmt: skip
_CLASS = {
    "aim": duration, "deadline": duration, "worth": number, "late-share": number, "repeat": str, "group": str,
    "window": duration, "share": number, "work": duration, "cv": number,
}  # fmt: skip
_PLAN = {
    "partners": whole, "rate": rate, "burst": number, "open": whole, "ceiling-rate": rate, "ceiling-burst": number,
    "ceiling-slack": number, "price": number, "over-worth": number, "over-cost": number, "size": rate,
    "spread": whole,
}  # fmt: skip
_RULES = {
    "drain-grace": duration, "cold-share": number, "cold-time": duration, "fall-multiple": number,
    "fall-time": duration, "answer-slack": duration,
}  # fmt: skip


def _directive(day: Day, d: Directive, kinds: dict[str, NodeKind], problems: list[Problem]) -> None:
    words = [v.text for v in d.values]
    if d.name in _WORDS:
        if len(words) != 1:
            raise ValueError("one value")
        setattr(day, d.name.replace("-", "_"), _WORDS[d.name](words[0]))
    elif d.name == "rooms":
        day.rooms = tuple(words)
    elif d.name == "ingresses":
        count = whole(words[0]) if words else 0
        day.ingress_rooms = tuple(day.rooms[k % len(day.rooms)] for k in range(count))
    elif d.name == "kind":
        if not words:
            raise ValueError("a name")
        fields = _inner(d, _KIND, problems)
        fields["cold_ms"] = fields.pop("cold_time", 8000.0)
        kinds[words[0]] = NodeKind(words[0], **fields)
    elif d.name == "nodes":
        if len(words) != 2 or words[1] not in kinds:
            raise ValueError(f"a number and a kind defined above ({', '.join(kinds)})")
        for _ in range(whole(words[0])):
            kind, k = kinds[words[1]], len(day.nodes)
            day.nodes.append(DayNode(day.rooms[k % len(day.rooms)], kind, kind.cores * kind.speed))
    elif d.name == "class":
        fields = _inner(d, _CLASS, problems)
        if not words or "aim" not in fields or "deadline" not in fields:
            raise ValueError("a name, and aim and deadline in its block")
        day.classes.append(DayClass(words[0], **fields))
    elif d.name == "plan":
        if not words:
            raise ValueError("a name")
        day.plans.append(DayPlan(words[0], **_inner(d, _PLAN, problems)))
    elif d.name == "rules":
        day.rules |= _inner(d, _RULES, problems)
    elif d.name == "at":
        day.troubles.append(_trouble(words))
    else:
        raise ValueError("a directive of a day: at, class, ingresses, kind, nodes, plan, rooms, rules, "
                         + ", ".join(_WORDS))  # fmt: skip


def _inner(d: Directive, known: dict[str, Any], problems: list[Problem]) -> dict[str, Any]:
    fields: dict[str, Any] = {}
    for line in d.inner or ():
        if line.name not in known or len(line.values) != 1:
            problems.append(Problem(line.spot, f"{line.name}: one value for one of {', '.join(known)}"))
            continue
        try:
            fields[line.name.replace("-", "_")] = known[line.name](line.values[0].text)
        except ValueError as problem:
            problems.append(Problem(line.at(0), f"{line.name}: expected {problem}"))
    return fields


def _trouble(words: list[str]) -> Trouble:
    if len(words) < 3 or words[1] not in TROUBLES:
        raise ValueError(f"at TIME TROUBLE ...; troubles are {', '.join(TROUBLES)}")
    at, what, rest = duration(words[0]), words[1], words[2:]
    length, size = 0.0, 1.0
    while len(rest) >= 2 and rest[-2] in ("for", "by"):
        if rest[-2] == "for":
            length = duration(rest[-1])
        else:
            size = number(rest[-1])
        rest = rest[:-2]
    subject = TROUBLES[what]
    if rest[:1] != [subject[0]]:
        raise ValueError(f"{what} {' '.join(subject)}")
    on = tuple(whole(w) for w in rest[1:]) if "<whole>*" in subject else tuple(rest[1:])
    return Trouble(at, what, on, length, size)
