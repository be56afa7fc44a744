"""Settings files and what they include, read into one list of directives."""

from __future__ import annotations

from collections.abc import Iterable, Iterator
from glob import has_magic
from pathlib import Path

from rushweir.config.split import HEAD, Raw, split
from rushweir.config.text import MOST_BYTES, ConfigError, Directive, Problem, Spot, Value, parse, plain

Item = Directive | tuple[str, Raw]

MOST_FILES = 1_000  # read for one configuration
MOST_NESTED = 8  # includes within includes


def parsed(item: Item) -> Directive:
    """Raises ConfigError."""
    if isinstance(item, Directive):
        return item
    name, raw = item
    head, _, body = raw.text.partition("\n")
    inner = plain(body[: body.rfind("}")].rstrip(" \t"), name, raw.line + 1)
    if inner is not None and (m := HEAD.fullmatch(head)):
        spot = Spot(name, raw.line, m.start(1) + 1)
        return Directive(raw.kind, [Value(raw.name, Spot(name, raw.line, m.start(2) + 1))], spot, inner)
    (found,) = parse(raw.text, name, raw.line)  # has a good form, as split.py found it
    return found


class Reader:
    """Reads files, and puts what they include in the place of the ``include``."""

    def __init__(self, base: Path) -> None:
        self.base = base
        self.files: list[Path] = []
        self.texts: dict[str, str] = {}
        self.problems: list[Problem] = []

    def error(self, problems: list[Problem]) -> ConfigError:
        """With the lines that the problems are about."""
        named = {p.spot.file for p in problems}
        return ConfigError(problems, {f: t.splitlines() for f, t in self.texts.items() if f in named})

    def items(self, text: str, name: str, folder: Path, inside: tuple[Path, ...]) -> Iterator[Item]:
        """What stands in a file, in order: directives, and blocks not parsed yet with their file's name."""
        self.texts[name] = text
        raws: Iterable[Raw] = ()
        try:
            if len(text) <= MOST_BYTES:
                text, raws = split(text)
            found = parse(text, name)
        except ConfigError as bad:
            self.problems += bad.problems
            return
        blocks = iter(raws)
        raw = next(blocks, None)
        for d in found:
            while raw is not None and raw.line < d.spot.line:
                yield name, raw
                raw = next(blocks, None)
            yield from self._expand([d], folder, inside)
        while raw is not None:
            yield name, raw
            raw = next(blocks, None)

    def _expand(self, directives: list[Directive], folder: Path, inside: tuple[Path, ...]) -> Iterator[Item]:
        for d in directives:
            if d.name == "include":
                yield from self._include(d, folder, inside)
                continue
            if d.inner is not None:  # what is included there is no block of the whole, so all of it is parsed
                d.inner = [parsed(x) for x in self._expand(d.inner, folder, inside)]
            yield d

    def _include(self, d: Directive, folder: Path, inside: tuple[Path, ...]) -> Iterator[Item]:
        """Paths are relative to the file that includes; of a pattern the files come in the order of their
        names, and a pattern that matches none is an empty folder, no error."""
        if len(d.values) != 1 or d.inner is not None:
            return self._bad(d.spot, "include: one file, or a pattern such as partners/*.conf")
        word = d.values[0].text
        try:
            paths = sorted(folder.glob(word)) if has_magic(word) else [folder / word]
        except (NotImplementedError, ValueError):
            return self._bad(d.at(0), "include: a pattern is relative to this file's folder")
        for path in paths:
            real = path.resolve()
            if real in inside:
                return self._bad(d.at(0), f"include: {path} includes itself")
            if len(inside) >= MOST_NESTED or len(self.files) >= MOST_FILES:
                return self._bad(d.at(0), f"include: {MOST_NESTED} deep and {MOST_FILES} files at most")
            self.files.append(path)
            try:
                text = path.read_text(encoding="utf-8")
            except (OSError, UnicodeDecodeError) as problem:
                return self._bad(d.at(0), f"include: {path} can't be read: {problem}")
            yield from self.items(text, str(path), path.parent, (*inside, real))

    def _bad(self, spot: Spot, text: str) -> None:
        self.problems.append(Problem(spot, text))
