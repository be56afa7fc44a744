"""The objects that there are thousands of, partners and cost routes, in slots; and where each stands. No I/O.

A place is a line, a file's number and a layout: the lines and columns of its values, counted from its first line.
Thousands of blocks written alike share one layout, so a place takes some 40 bytes with the seal of its text, and
every spot that an error or ``config show`` names is worked out when it is asked for.
"""

from __future__ import annotations

from array import array
from collections.abc import Iterator, Mapping
from functools import lru_cache
from typing import Any, NamedTuple

from rushweir.config import models as m
from rushweir.config.text import Spot
from rushweir.costs import amounts
from rushweir.costs.decisions import Rule, Term, TermKind, parse_field
from rushweir.costs.routes import Routes
from rushweir.fronts.credentials import Credentials

UNSEALED = -1  # of a block that is read each time: no text has this hash
TOLD = "control"  # the file's name of what came from the control processes
MOST_LAYOUTS = 4_096  # shared; a layout beyond them stands for itself
Layout = tuple[tuple[tuple, int, int], ...]  # path inside the block, lines below its first, column
_shared: dict[Layout, Layout] = {}


class Place(NamedTuple):
    file: int
    line: int
    layout: Layout
    seal: int = UNSEALED


NOWHERE = Place(0, 0, ())


def seal(text: str) -> int:
    """A keyed hash of 64 bits, other in each process and kept nowhere else: one change in 2**64 goes unseen, and
    nobody can aim at that. A cryptographic digest was the largest part of what an unchanged block costs."""
    return hash(text)


def shared(layout: Layout) -> Layout:
    found = _shared.get(layout)
    if found is None:
        if len(_shared) < MOST_LAYOUTS:
            _shared[layout] = layout
        return layout
    return found


class Places:
    """Where each slot's object stands."""

    __slots__ = ("files", "layouts", "lines", "names", "seals")

    def __init__(self) -> None:
        self.names: list[str] = [TOLD]  # of files
        self.files, self.lines, self.layouts = array("H"), array("I"), list[Layout]()
        self.seals = array("q")

    def put(self, slot: int, place: Place) -> None:
        while slot >= len(self.lines):
            self.files.append(0)
            self.lines.append(0)
            self.layouts.append(())
            self.seals.append(UNSEALED)
        self.files[slot], self.lines[slot], self.layouts[slot] = place.file, place.line, place.layout
        self.seals[slot] = place.seal

    def place(self, slot: int) -> Place:
        return Place(self.files[slot], self.lines[slot], self.layouts[slot])

    def spot(self, place: Place, path: tuple) -> Spot | None:
        for at, line, column in place.layout:
            if at == path:
                return Spot(self.names[place.file], place.line + line, column)
        return Spot(self.names[place.file], place.line, 1) if not path else None

    def copy(self) -> Places:
        other = Places()
        for part in self.__slots__:
            value = getattr(self, part)
            setattr(other, part, value[:])
        return other


class Group(Mapping[str, Any]):
    """Objects of one kind, by name; a model of one is made for whoever asks."""

    kind: str
    slots: dict[str, int]

    def __init__(self) -> None:
        self.places = Places()

    def __iter__(self) -> Iterator[str]:
        return iter(self.slots)

    def __len__(self) -> int:
        return len(self.slots)

    def placed(self, delta: Delta, dropped: list[int]) -> None:
        """Note where a delta's objects stand."""
        for slot in dropped:
            self.places.put(slot, NOWHERE)
        for name, place in (*delta.moved.items(), *((n, p) for n, (_, p) in delta.put.items())):
            self.places.put(self.slots[name], place)

    def origin(self, name: str) -> str:
        place = self.places.place(self.slots[name])
        return f"{self.places.names[place.file]}:{place.line}"


PartnerRecord = tuple[str, bytes, tuple[int, int]]  # plan, digest, doors


class Partners(Group):
    kind, group, model = "partner", "partners", m.PartnerBlock

    def __init__(self, everywhere: int = 1) -> None:
        super().__init__()
        self.held = Credentials(None, everywhere)

    @property
    def slots(self) -> dict[str, int]:  # type: ignore[override]
        return self.held.slots

    def __getitem__(self, name: str) -> m.PartnerBlock:
        return self.block(self.record(self.slots[name]))

    def record(self, slot: int) -> PartnerRecord:
        return self.held.plans[slot], self.held.digests_by_slot[slot], self.held.gateways[slot]

    @staticmethod
    def block(record: PartnerRecord) -> m.PartnerBlock:
        plan, key, doors = record
        return m.PartnerBlock.model_construct(plan=plan, credential=f"sha256:{key.hex()}", through=doors)

    def recorded(self, name: str, b: m.PartnerBlock) -> PartnerRecord:
        return b.plan, bytes.fromhex(b.credential.removeprefix("sha256:")), b.through

    def put(self, name: str, record: PartnerRecord, place: Place) -> None:
        self.places.put(self.held.put(name, *record), place)

    def adopt(self, delta: Delta) -> None:
        """Take a delta over."""
        self.places = delta.places
        dropped = [self.held.remove(name) for name in delta.gone]
        for name, (record, _) in delta.put.items():
            self.held.put(name, *record)
        self.placed(delta, dropped)

    def with_all(self, delta: Delta) -> Partners:
        """A copy that has taken a delta over; made beside the loop where much changes."""
        other = Partners()
        other.held = self.held.copy()
        delta.places = delta.places.copy()
        other.adopt(delta)
        return other

    def become(self, other: Partners) -> None:
        self.held, self.places = other.held, other.places


class Costs(Group):
    kind, group, model = "cost", "costs", m.CostBlock

    def __init__(self) -> None:
        super().__init__()
        self.slots: dict[str, int] = {}
        self.rules: list[Rule | None] = []
        self.free: list[int] = []
        self.routes: Routes[Rule] = Routes()

    def __getitem__(self, name: str) -> m.CostBlock:
        return self.block(self.record(self.slots[name]))

    def record(self, slot: int) -> Rule:
        return self.rules[slot]

    @staticmethod
    def block(rule: Rule) -> m.CostBlock:
        def of(counts: TermKind) -> tuple:
            return tuple((".".join(t.field), amounts.Amount(t.amount)) for t in rule.terms if t.kind is counts)

        size = of(TermKind.SIZE)
        return m.CostBlock.model_construct(
            base=amounts.Amount(rule.base), per_kilobyte=size[0][1] if size else m.NOTHING, each=of(TermKind.ENTRIES),
            times=of(TermKind.VALUE), present=of(TermKind.PRESENT), least=amounts.Amount(rule.minimum),
            most=None if rule.maximum == amounts.MAX_AMOUNT else amounts.Amount(rule.maximum),
        )  # fmt: skip

    def recorded(self, name: str, b: m.CostBlock) -> Rule:
        terms = [(TermKind.SIZE, "", int(b.per_kilobyte))] if b.per_kilobyte else []
        for counts, given in ((TermKind.ENTRIES, b.each), (TermKind.VALUE, b.times), (TermKind.PRESENT, b.present)):
            terms += [(counts, name, int(amount)) for name, amount in given]
        # An amount that can be written is below amounts.MAX_AMOUNT, so that stands for none given.
        most = amounts.MAX_AMOUNT if b.most is None else int(b.most)
        return Rule(name, int(b.base), _terms(tuple(terms)), int(b.least), most, self)

    def put(self, name: str, rule: Rule, place: Place) -> None:
        """Raises RouteError, and then only the route is not found by requests."""
        slot = self.slots.get(name)
        if slot is None:
            slot = self.slots[name] = self._slot()
        else:
            self.routes.remove(name)
        self.rules[slot] = rule
        self.places.put(slot, place)
        self.routes.add(name, rule)

    def with_all(self, delta: Delta) -> Costs:
        """A copy that has taken a delta over; made beside the loop where much changes."""
        other = Costs()
        other.slots, other.rules, other.free = self.slots.copy(), self.rules.copy(), self.free.copy()
        for rule in self.rules:
            if rule is not None:
                other.routes.add(rule.name, rule)
        delta.places = delta.places.copy()
        other.adopt(delta)
        return other

    def become(self, other: Costs) -> None:
        self.slots, self.rules, self.free = other.slots, other.rules, other.free
        self.routes, self.places = other.routes, other.places

    def adopt(self, delta: Delta) -> None:
        """Take a delta over."""
        self.places = delta.places
        dropped = [self.slots[name] for name in delta.gone]
        # Out with all of them first: a route may have another's place under another name.
        for name in (*delta.gone, *(name for name in delta.put if name in self.slots)):
            self.routes.remove(name)
        for name in delta.gone:
            slot = self.slots.pop(name)
            self.rules[slot] = None
            self.free.append(slot)
        for name, (rule, _) in delta.put.items():
            if (slot := self.slots.get(name)) is None:
                slot = self.slots[name] = self._slot()
            self.rules[slot] = rule
            self.routes.add(name, rule)
        self.placed(delta, dropped)

    def _slot(self) -> int:
        if self.free:
            return self.free.pop()
        self.rules.append(None)
        return len(self.rules) - 1


@lru_cache(maxsize=1024)
def _terms(given: tuple) -> tuple[Term, ...]:
    """Routes that count alike share what they count."""
    return tuple(Term(counts, parse_field(name) if name else (), amount) for counts, name, amount in given)


class Delta:
    """What one reading of the settings finds other than a group has it. The group is not touched before ``apply``."""

    def __init__(self, group: Group, whole: bool = True) -> None:
        """``whole``: what it does not see is no more, and stands no more where it stood."""
        self.group = group
        self.places = group.places.copy() if whole else group.places
        self.seen = bytearray(len(self.places.lines)) if whole else None
        self.put: dict[str, tuple[Any, Place]] = {}
        self.moved: dict[str, Place] = {}  # the same as before, written otherwise
        self.gone: dict[str, None] = {}

    def same(self, name: str, file: int, line: int, seal: int) -> bool:
        """Whether an object stands there as it did before; then its place is noted."""
        slot = self.group.slots.get(name)
        if slot is None or self.seen[slot] or self.places.seals[slot] != seal:
            return False
        self.seen[slot], self.places.files[slot], self.places.lines[slot] = 1, file, line
        return True

    def note(self, name: str, record: Any, place: Place) -> None:
        slot = self.group.slots.get(name)
        if slot is not None:
            if self.seen is not None:
                self.seen[slot] = 1
            if self.group.record(slot) == record:
                self.moved[name] = place
                return
        self.put[name] = record, place

    def end(self) -> None:
        self.gone = {name: None for name, slot in self.group.slots.items() if not self.seen[slot]}

    def get(self, name: str) -> Any:
        """The record of an object as it will be; None: it will not be."""
        if name in self.put:
            return self.put[name][0]
        slot = self.group.slots.get(name)
        return None if slot is None or name in self.gone else self.group.record(slot)

    def place(self, name: str) -> Place | None:
        if (found := self.put.get(name)) is not None:
            return found[1]
        if (moved := self.moved.get(name)) is not None:
            return moved
        slot = self.group.slots.get(name)
        return None if slot is None else self.places.place(slot)
