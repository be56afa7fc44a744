"""Settings as keyed objects with canonical bytes, and back. No I/O.

An object is one block of the settings: a partner, a plan, a class, a cost route; what stands once is an object of
its kind with an empty name. Its bytes are the lines inside its block, in the models' order, without those that only
say a default: whoever writes the same gets the same bytes. What is of one process alone (its number, sockets, folder,
peers, list, counter) is no object and stays in the file of each machine.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from pydantic import BaseModel, BeforeValidator, TypeAdapter, ValidationError

from rushweir.config import models as m
from rushweir.config.load import Config
from rushweir.config.reading import NAMED, block, problem_of, stands
from rushweir.config.show import quoted
from rushweir.config.text import ConfigError, Problem, Spot, parse, plain
from rushweir.config.values import words
from rushweir.rollout.change_sets import MAX_OBJECT_BYTES, Change, Key

SINGLE = ("rules", "limits", "clients", "nodes", "prices", "pricing", "overload", "budgets", "trace", "log")
KINDS: dict[str, type[BaseModel]] = {
    "class": m.ClassBlock, "plan": m.PlanBlock, "partner": m.PartnerBlock, "cost": m.CostBlock,
    "rules": m.RulesBlock, "limits": m.LimitsBlock, "clients": m.ClientsBlock, "nodes": m.NodesBlock,
    "prices": m.PricesBlock, "pricing": m.PricingBlock, "overload": m.OverloadBlock, "budgets": m.BudgetsBlock,
    "trace": m.TraceBlock, "log": m.LogBlock,
}  # fmt: skip
_NAME = TypeAdapter(m.Name)


class Refused(Exception):
    """Why a change is not taken: each object that is wrong, with the field and what is wrong with it."""

    def __init__(self, wrong: Iterable[tuple[Key, str, str]]) -> None:
        self.wrong = list(dict.fromkeys(wrong))
        super().__init__("; ".join(" ".join(filter(None, (*key, field))) + f": {x}" for key, field, x in self.wrong))


def path_of(key: Key) -> tuple[str, ...]:
    """Where an object's settings stand among all."""
    kind, name = key
    return (NAMED[kind], name) if kind in NAMED else (kind,)


def key_of(path: tuple) -> tuple[Key, str]:
    """The object that a setting is of, and its field."""
    kinds = {group: kind for kind, group in NAMED.items()}
    if path and path[0] in kinds and len(path) > 1:
        return (kinds[path[0]], path[1]), "-".join(str(x) for x in path[2:3]).replace("_", "-")
    return (str(path[0]) if path else "", ""), "-".join(str(x) for x in path[1:2]).replace("_", "-")


def encode(found: BaseModel) -> bytes:
    """The canonical bytes of a block."""
    lines: list[str] = []
    for name, info in type(found).model_fields.items():
        value = getattr(found, name)
        if value is None or (not info.is_required() and value == info.default):
            continue
        read = next((x.func for x in info.metadata if isinstance(x, BeforeValidator)), None)
        for given in value if stands(info) == "values" else [value]:
            if text := " ".join(map(quoted, words(given, read))):
                lines.append(f"{name.replace('_', '-')} {text}\n")
    return "".join(lines).encode()


class At(Spot):
    """The place of what has none in a file: the object and the field."""

    __slots__ = ("path",)

    def __init__(self, path: tuple) -> None:
        object.__setattr__(self, "path", path)
        super().__init__(" ".join(str(x) for x in path), 0, 0)


class Ats(dict[tuple, Spot]):
    """Each path's place is the path."""

    def get(self, path: tuple, default: Any = None) -> Spot:  # noqa: ARG002 - as of a dict
        return At(path)

    def __missing__(self, path: tuple) -> Spot:
        return At(path)

    def __contains__(self, path: object) -> bool:
        return True


def refused(problems: Iterable[Problem], key: Key | None = None) -> Refused:
    """``key``: of which object these are, where that is known."""
    out = []
    for p in problems:
        found, field = key_of(p.spot.path) if isinstance(p.spot, At) else (key or ("", ""), "")
        out.append((key or found, field, p.text))
    return Refused(out)


def decode(key: Key, data: bytes) -> BaseModel:
    """The block of an object. Raises Refused."""
    kind, name = key
    model, path = KINDS.get(kind), path_of(key)
    if model is None or bool(name) != (kind in NAMED):
        raise Refused([(key, "", "no kind of settings that this ingress knows, or no name of one")])
    if len(data) > MAX_OBJECT_BYTES:
        raise Refused([(key, "", f"more than {MAX_OBJECT_BYTES} bytes")])
    problems: list[Problem] = []
    spots: dict[tuple, Spot] = {}
    try:
        if name:
            _NAME.validate_python(name)
        text = data.decode()
        if (directives := plain(text, "")) is None:
            directives = parse(text, "")
    except (UnicodeDecodeError, ValidationError):
        raise Refused([(key, "", "not the text of settings, or no name")]) from None
    except ConfigError as bad:
        raise refused(bad.problems, key) from None
    raw = block(model, directives, (), spots, problems)
    try:
        found = model.model_validate(raw)
    except ValidationError as bad:
        for e in bad.errors():
            field = str(e["loc"][0]).replace("_", "-") if e["loc"] else ""
            p = problem_of({**e, "loc": (*path, *e["loc"])}, Ats(), Spot("", 0, 0), [])
            problems.append(Problem(At((*path, *([field] if field else []))), p.text))
    if problems:
        raise Refused(
            (key, key_of(p.spot.path)[1] if isinstance(p.spot, At) else p.text.split(":")[0], p.text)
            for p in problems
        )
    return found


def data_of(config: Config, key: Key) -> bytes | None:
    """The bytes of one object; None: there is none. Made when asked, so that nobody need keep them."""
    kind, name = key
    if kind in NAMED:
        found = getattr(config.file, NAMED[kind]).get(name)
        return None if found is None else encode(found)
    found = getattr(config.file, kind) if kind in SINGLE and not name else None
    return (encode(found) or None) if found is not None else None


def objects(config: Config) -> Iterator[tuple[Key, bytes]]:
    """All objects of some settings; singletons that only have defaults are none."""
    for kind, group in NAMED.items():
        for name, found in getattr(config.file, group).items():
            yield (kind, name), encode(found)
    for kind in SINGLE:
        found = getattr(config.file, kind)
        if found is not None and (data := encode(found)):
            yield (kind, ""), data


def difference(old: Mapping[Key, bytes], new: Mapping[Key, bytes]) -> list[Change]:
    """The changes that make one set of objects of the other: plans and classes before what names them."""
    out = [Change(key, data) for key, data in new.items() if old.get(key) != data]
    return out + [Change(key, None) for key in old if key not in new]
