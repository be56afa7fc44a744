"""The settings file of a control process: its number, where all of them are, its folder, key and socket.

    control 0
    process 0 10.0.0.1:7400
    process 1 10.0.1.1:7400
    process 2 10.0.2.1:7400
    state /var/lib/rushweir-control
    key-file /etc/rushweir/control.key
    watch-key-file /etc/rushweir/watch.key
    socket /run/rushweir/control.sock

Ingresses watch it with the key in ``watch-key-file``, which is not the one that control processes have among
themselves; without it none may. It listens on its own process's address. Every problem is told with file, line and
column.
"""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path

from pydantic import BaseModel, ConfigDict, Field, ValidationError

from rushweir.config.private import read_key
from rushweir.config.text import ConfigError, Directive, Problem, Spot, parse
from rushweir.config.values import Address, Whole

MOST_PROCESSES = 7


class ControlFile(BaseModel):
    """What may stand in it."""

    model_config = ConfigDict(extra="forbid", frozen=True)

    control: Whole
    process: dict[Whole, Address] = Field(min_length=1, max_length=MOST_PROCESSES)
    state: str = Field(min_length=1, max_length=1024)
    key_file: str = Field(min_length=1, max_length=1024)
    socket: str = Field(min_length=1, max_length=1024)
    watch_key_file: str = Field(default="", max_length=1024)


@dataclass(frozen=True, slots=True)
class ControlConfig:
    """Settings of a control process, checked."""

    me: int
    addresses: tuple[tuple[str, int], ...]
    state: Path
    key: bytes
    socket: Path
    watch_key: bytes | None = None  # of ingresses that watch; None: none may

    @property
    def count(self) -> int:
        return len(self.addresses)


def load_control(path: Path) -> ControlConfig:
    """Read a settings file. Raises ConfigError, also where it can't be read."""
    try:
        text = path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as problem:
        raise ConfigError([Problem(Spot(str(path), 1, 1), f"can't be read: {problem}")]) from None
    return _Loading(text, path).config


class _Loading:
    def __init__(self, text: str, path: Path) -> None:
        self.start, self.problems = Spot(str(path), 1, 1), list[Problem]()
        self.spots: dict[tuple, Spot] = {}
        raw: dict = {}
        for d in parse(text, str(path)):
            self._directive(d, raw)
        file = None
        if not self.problems:
            try:
                file = ControlFile.model_validate(raw)
            except ValidationError as bad:
                self.problems += [self._problem(e) for e in bad.errors()]
        key = self._across(file, path.parent) if file is not None else b""
        if self.problems or file is None:
            raise ConfigError(self.problems, {str(path): text.splitlines()})
        addresses = tuple(file.process[k] for k in range(len(file.process)))
        base = path.parent
        watch = self._key("watch_key_file", base / file.watch_key_file) if file.watch_key_file else None
        if self.problems:
            raise ConfigError(self.problems, {str(path): text.splitlines()})
        self.config = ControlConfig(file.control, addresses, base / file.state, key, base / file.socket, watch)

    def _directive(self, d: Directive, raw: dict) -> None:
        name = d.name.replace("-", "_")
        if name not in ControlFile.model_fields or "_" in d.name:
            known = ", ".join(f.replace("_", "-") for f in ControlFile.model_fields)
            self._bad(d.spot, f"{d.name}: not known here; known are {known}")
        elif d.inner is not None:
            self._bad(d.spot, f"{d.name}: takes no block")
        elif len(d.values) != (2 if name == "process" else 1):
            says = "a number and an address" if name == "process" else "one value"
            self._bad(d.spot, f"{d.name}: {says} expected")
        else:
            path = (name, d.values[0].text) if name == "process" else (name,)
            if path in self.spots:
                self._bad(d.spot, f"{' '.join(path)}: stands twice, first in line {self.spots[path].line}")
            self.spots[path] = d.spot
            self.spots.setdefault((name,), d.spot)
            if name == "process":
                raw.setdefault(name, {})[d.values[0].text] = d.values[1].text
            else:
                raw[name] = d.values[0].text

    def _across(self, file: ControlFile, base: Path) -> bytes:
        """What one directive must not say of another, and the key."""
        numbers = sorted(file.process)
        if numbers != list(range(len(numbers))):
            self._bad(self.spots["process",], f"process: numbers from 0 without a gap, not {numbers}")
        elif len(numbers) % 2 == 0:
            self._bad(self.spots["process",], f"process: 1, 3, 5 or 7; {len(numbers)} bear what one less bears")
        elif file.control not in file.process:
            self._bad(self.spots["control",], f"control: {file.control} is no process; there are {numbers}")
        if len(set(file.process.values())) < len(numbers):
            self._bad(self.spots["process",], "process: two with one address")
        return self._key("key_file", base / file.key_file)

    def _key(self, directive: str, path: Path) -> bytes:
        """Nothing where it is none: a problem is told then."""
        try:
            return read_key(path, directive.replace("_", "-"), self.spots[directive,])
        except ConfigError as bad:
            self.problems += bad.problems
            return b""

    def _problem(self, e: dict) -> Problem:
        path = tuple(str(x) for x in e["loc"] if x != "[key]")
        spot = self.spots.get(path) or self.spots.get(path[:1], self.start)
        name = " ".join(path).replace("_", "-")
        if e["type"] == "missing":
            return Problem(spot, f"{name}: is missing")
        text = e["msg"].removeprefix("Value error, ")
        return Problem(spot, f"{name}: " + (f"expected {text}" if e["type"] == "value_error" else text))

    def _bad(self, spot: Spot, text: str) -> None:
        self.problems.append(Problem(spot, text))
