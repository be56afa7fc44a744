"""Settings split into blocks by their lines alone, so that a block that did not change is never parsed. No I/O.

A block of a kind that there are thousands of, written the plain way, is taken out of the text; in the rest blank
lines stand for it, so that every other directive keeps its line and column. By the grammar (text.py) ``{`` ends its
line, ``}`` stands alone on one, and a text in quotes holds no end of line: so lines are enough to find a block's end.
From what is out of this form on nothing is taken out, and the parser says what is wrong, and where.
"""

from __future__ import annotations

import re
from array import array
from collections.abc import Iterator
from typing import NamedTuple

KINDS = ("partner", "cost")
_WORD = r'[^\s{}#"\x00-\x1f\x7f]++'
_TEXT = r'"(?:\\["\\]|[^"\\\x00-\x1f\x7f])*+"'
_END = r"[ \t]*+(?:#[^\n]*+)?+\r?\n"
_FLAT = rf"(?:[ \t]++|{_WORD}|{_TEXT})*+{_END}"
_CLOSE = rf"[ \t]*+\}}{_END}"
BLOCK = re.compile(
    rf"^[ \t]*+({'|'.join(KINDS)})[ \t]++({_WORD}|{_TEXT})[ \t]*+\{{{_END}((?:{_FLAT})*+){_CLOSE}", re.M
)  # possessive throughout: no text makes it look twice
HEAD = re.compile(rf"[ \t]*+({'|'.join(KINDS)})[ \t]++({_WORD}|{_TEXT})[ \t]*+\{{[ \t]*+")  # a block's first line
FLAT, OPEN, CLOSE = re.compile(_FLAT), re.compile(rf"(?:[ \t]++|{_WORD}|{_TEXT})*+\{{{_END}"), re.compile(_CLOSE)
NAMELESS = re.compile(r"[ \t]*+[\"{]")  # a line that begins with a value, not with a directive's name
# Such a line, or one that includes another file; a block with the first has no good form, with the second no own end.
ODD = re.compile(r"^[ \t]*+(?:[\"{]|include(?![^\s{}#\"]))", re.M)
# A partner as it is written by most hands and all programs.
PARTNER = re.compile(
    rf"[ \t]*+partner[ \t]++({_WORD})[ \t]*+\{{\n[ \t]*+plan[ \t]++({_WORD})\n"
    r"[ \t]*+credential[ \t]++sha256:([0-9a-f]{64})\n(?:[ \t]*+through[ \t]++([0-9]{1,9})[ \t]++([0-9]{1,9})\n)?"
    r"[ \t]*+\}\n"
)


class Raw(NamedTuple):
    """A block as it stands in its file; ``line`` is its first."""

    kind: str
    name: str
    line: int
    text: str


def unquoted(word: str) -> str:
    return word[1:-1].replace('\\"', '"').replace("\\\\", "\\") if word[:1] == '"' else word


class Raws:
    """Blocks of a text. Each is cut out when it is come to: all at once they would be as large as what is made of
    them, and leave holes between it in the memory."""

    def __init__(self, text: str) -> None:
        self.text, self.spans = text, array("I")  # of each: line, start, end, start and end of its name

    def add(self, line: int, found: re.Match[str]) -> None:
        self.spans.extend((line, found.start(), found.end(), *found.span(2)))

    def __len__(self) -> int:
        return len(self.spans) // 5

    def __iter__(self) -> Iterator[Raw]:
        text, spans = self.text, iter(self.spans)
        for line, start, end, name, name_end in zip(spans, spans, spans, spans, spans, strict=True):
            block = text[start:end]
            yield Raw(block.split(None, 1)[0], unquoted(text[name:name_end]), line, block)


def split(text: str) -> tuple[str, Raws]:
    """The rest of a text, and its blocks of ``KINDS``.

    From the first line on that is of no good form all stays in the rest: the parser stops there. Where the text ends
    inside a block, blank lines stand for what it swallowed: the only error is at the end, and reading all before it
    would be in vain."""
    whole = text + "\n"
    rest: list[str] = []
    nested: list[int] = []  # where in the rest blocks inside of others stand
    found = Raws(whole)
    at, line, depth = 0, 1, 0
    for m in BLOCK.finditer(whole):
        gap = whole[at : m.start()]
        if gap:
            depth = _depth(gap, depth)
            if depth < 0:
                return "".join((*rest, whole[at:-1])), found
            rest.append(gap)
            line += gap.count("\n")
            at = m.end() - len(m[0])
        start, end = m.span()
        lines = whole.count("\n", start, end)
        odd = ODD.search(whole, *m.span(3))
        if odd is not None and odd[0][-1] in '"{':
            return "".join((*rest, whole[at:-1])), found
        if depth:
            nested.append(len(rest))
            rest.append(whole[start:end])
        elif odd is not None:
            rest.append(whole[start:end])
        else:
            found.add(line, m)
            rest.append("\n" * lines)
        at, line = end, line + lines
    rest.append(whole[at:])
    if _depth(rest[-1], depth) > 0:
        for k in nested:
            rest[k] = "\n" * rest[k].count("\n")
    return "".join(rest)[:-1], found


def _depth(gap: str, depth: int) -> int:
    """How many blocks are open after some lines; below 0: one of them has no good form."""
    if not gap.strip("\n"):
        return depth
    for line in gap.split("\n")[:-1]:
        line += "\n"
        if FLAT.fullmatch(line) and not NAMELESS.match(line):
            continue
        if OPEN.fullmatch(line) and not NAMELESS.match(line):
            depth += 1
        elif CLOSE.fullmatch(line) and depth > 0:
            depth -= 1
        else:
            return -1
    return depth
