"""docs/CAPACITY.md and docs/capacity.json held together: tables stand between markers, the rest is written by hand.

<!-- table NAME -->
...
<!-- end NAME -->
"""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import orjson

from rushweir.lab.capacity import letter, sheet, tables

MARKED = re.compile(r"^<!-- table (\S+) -->\n(.*?)^<!-- end (\S+) -->$", re.DOTALL | re.MULTILINE)
# A measured figure has a unit; by hand none may stand, for no run would hold it.
BY_HAND = re.compile(r"\d[\d.,]*\s?(?:%|us|ms|s|MB|KB|KiB|B|KB/s|B/s|MB/s|cores?)(?![\w/])|\bx\d[\d.]*")


class PageError(ValueError):
    """A page without its tables, or with figures that no run gave."""


def read(file: Path) -> dict[str, Any]:
    """A file of samples. Raises PageError."""
    try:
        return orjson.loads(file.read_bytes())
    except (OSError, orjson.JSONDecodeError) as problem:
        raise PageError(f"{file}: {problem}") from None


def made(page: str, document: dict[str, Any]) -> str:
    """The page with its tables worked out from the samples. Raises PageError, LetterError, SheetError."""
    known = letter.load()
    worked = sheet.load(sheet.samples_of(document), known)
    seen: list[str] = []

    def put(found: re.Match[str]) -> str:
        name = found[1]
        if name not in tables.TABLES or found[3] != name:
            raise PageError(f"table {name}: ends as {found[3]}, or is none of {', '.join(tables.TABLES)}")
        seen.append(name)
        lines = tables.TABLES[name](worked, document)
        return "\n".join([f"<!-- table {name} -->", "", *lines, "", f"<!-- end {name} -->"])

    page = MARKED.sub(put, page)
    if absent := [name for name in tables.TABLES if name not in seen]:
        raise PageError(f"the page has no place for: {', '.join(absent)}")
    if stray := by_hand(page):
        raise PageError(f"a figure that no run holds stands outside the tables: {stray[0]!r}")
    return page


def by_hand(page: str) -> list[str]:
    """Figures outside the tables."""
    return BY_HAND.findall(MARKED.sub("", page))


def differing(page: str, fresh: str) -> list[str]:
    """Lines that are not as the samples make them."""
    old, new = page.splitlines(), fresh.splitlines()
    out = [f"line {k + 1}: {a[:100]!r}" for k, (a, b) in enumerate(zip(old, new, strict=False)) if a != b]
    if len(old) != len(new):
        out.append(f"{len(old)} lines in place of {len(new)}")
    return out
