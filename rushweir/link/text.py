"""Text for people. No I/O."""

from __future__ import annotations

from typing import Any


def printable(value: Any) -> str:
    """Text with what can't be seen made visible: names come from settings and lists, and must neither move a
    terminal's cursor nor turn a page's text round."""
    return "".join(c if c.isprintable() else "\N{REPLACEMENT CHARACTER}" for c in str(value))
