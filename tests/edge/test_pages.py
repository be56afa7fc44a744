"""Tests that docs/endings.md names existing tests only."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parents[2]
NAMED = re.compile(r"`((?:tests/)?(?:[\w/]+/)?test_\w+\.py)?(?:::)?([\w.]*)`")


def named(text):
    """Yields file and name of each test in the page. A name without a file is of the last file in its line."""
    for line in text.splitlines():
        file = ""
        for found in NAMED.finditer(line):
            if found[1]:
                file = found[1] if found[1].startswith("tests/") else f"tests/edge/{found[1]}"
                if not (ROOT / file).exists():
                    file = f"tests/budgets/{found[1]}"  # "tests/budgets/test_home.py, test_processes.py"
                yield file, found[2]
            elif file and found[2].startswith("..._"):
                yield file, found[2]


def test_every_test_named_in_the_page_exists():
    found = list(named((ROOT / "docs" / "endings.md").read_text()))
    assert len(found) > 70
    for file, name in found:
        pattern = re.escape(name).replace(r"\.\.\.", r"\w*")
        assert re.search(rf"(?m)^(?:async )?def {pattern}\(" if name else "", (ROOT / file).read_text()), (file, name)
