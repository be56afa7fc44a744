"""Text that is shown to people. No I/O."""

from __future__ import annotations

from typing import Any


def printable(value: Any) -> str:
    """Returns a value as text with unprintable characters replaced: names come from settings and lists, and must
    neither move a terminal's cursor nor reverse the direction of a page's text."""
    return "".join(char if char.isprintable() else "\N{REPLACEMENT CHARACTER}" for char in str(value))
