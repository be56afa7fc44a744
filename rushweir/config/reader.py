"""Settings files and what they include, read into one list of directives."""

from __future__ import annotations

from glob import has_magic
from pathlib import Path

from rushweir.config.text import ConfigError, Directive, Problem, Spot, parse

MOST_FILES = 1_000  # read for one configuration
MOST_NESTED = 8  # includes within includes


class Reader:
    """Parses files, and puts what they include in the place of the ``include``."""

    def __init__(self, base: Path) -> None:
        self.base = base
        self.files: list[Path] = []
        self.lines: dict[str, list[str]] = {}
        self.problems: list[Problem] = []

    def read(self, text: str, name: str, folder: Path, inside: tuple[Path, ...]) -> list[Directive]:
        self.lines[name] = text.splitlines()
        try:
            found = parse(text, name)
        except ConfigError as bad:
            self.problems += bad.problems
            return []
        return self._expand(found, folder, inside)

    def _expand(self, directives: list[Directive], folder: Path, inside: tuple[Path, ...]) -> list[Directive]:
        out: list[Directive] = []
        for d in directives:
            if d.name == "include":
                out += self._include(d, folder, inside)
                continue
            if d.inner is not None:
                d.inner = self._expand(d.inner, folder, inside)
            out.append(d)
        return out

    def _include(self, d: Directive, folder: Path, inside: tuple[Path, ...]) -> list[Directive]:
        """Paths are relative to the file that includes; of a pattern the files come in the order of their
        names, and a pattern that matches none is an empty folder, no error."""
        if len(d.values) != 1 or d.inner is not None:
            return self._bad(d.spot, "include: one file, or a pattern such as partners/*.conf")
        word, out = d.values[0].text, []
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
            out += self.read(text, str(path), path.parent, (*inside, real))
        return out

    def _bad(self, spot: Spot, text: str) -> list[Directive]:
        self.problems.append(Problem(spot, text))
        return []
