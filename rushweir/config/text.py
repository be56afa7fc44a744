"""The form of a settings file: one directive a line, blocks in braces, comments from ``#``. No meaning here.

    class booking {
        aim 1200ms          # a comment
        repeat keyed zone 6s
    }

A value is a word, or text in double quotes with ``\\"`` and ``\\\\`` inside. Errors name file, line and column, and
show the line with a caret; all errors of a file are told at once, as far as the form lets them be found.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from lark import Lark, Token, Tree
from lark.exceptions import UnexpectedCharacters, UnexpectedInput, UnexpectedToken

GRAMMAR = r"""
    start: (_NL | directive)*
    directive: WORD value* (_NL | block)
    block: "{" _NL (_NL | directive)* "}" _NL
    value: WORD | TEXT
    WORD: /[^\s{}#"\x00-\x1f\x7f]+/
    TEXT: /"(\\["\\]|[^"\\\x00-\x1f\x7f])*"/
    COMMENT: /#[^\n]*/
    _NL: /\r?\n(\n{8,}(?=\n))?/
    %ignore /[ \t]+/
    %ignore COMMENT
"""
# Where blocks were taken out (split.py) thousands of blank lines follow each other: one token, but for the last of
# them, which is where a file that ends too early is said to end.
MOST_BYTES = 8_388_608  # of one file: 10,000 partners at some 200 bytes, with room
MOST_DEPTH = 8

_parser = Lark(GRAMMAR, parser="lalr", propagate_positions=True)


@dataclass(frozen=True, slots=True)
class Spot:
    """A place in a settings file."""

    file: str
    line: int
    column: int


@dataclass(frozen=True, slots=True)
class Value:
    text: str
    spot: Spot


@dataclass(slots=True)
class Directive:
    """One directive; ``inner`` is None where it has no block."""

    name: str
    values: list[Value]
    spot: Spot
    inner: list[Directive] | None = None

    def at(self, k: int) -> Spot:
        return self.values[k].spot if k < len(self.values) else self.spot


@dataclass(frozen=True, slots=True)
class Problem:
    spot: Spot
    text: str


@dataclass
class ConfigError(Exception):
    """Why settings are not taken: every problem found, with its place."""

    problems: list[Problem]
    lines: dict[str, list[str]] = field(default_factory=dict)

    def __str__(self) -> str:
        out = []
        for p in sorted(self.problems, key=lambda p: (p.spot.file, p.spot.line, p.spot.column)):
            out.append(f"{p.spot.file}:{p.spot.line}:{p.spot.column}: {p.text}")
            lines = self.lines.get(p.spot.file, [])
            if 0 < p.spot.line <= len(lines):
                line = lines[p.spot.line - 1][:200].replace("\t", " ")
                out += [f"    {line}", "    " + " " * (p.spot.column - 1) + "^"]
        return "\n".join(out)


def parse(text: str, file: str, line: int = 1) -> list[Directive]:
    """The directives of a file, or of a part of it that begins at a line. Raises ConfigError."""
    if len(text) > MOST_BYTES:
        raise ConfigError([Problem(Spot(file, 1, 1), f"more than {MOST_BYTES} bytes")])
    try:
        tree = _parser.parse(text + "\n")
    except UnexpectedInput as problem:
        spot = Spot(file, max(1, problem.line) + line - 1, max(1, problem.column))
        raise ConfigError([Problem(spot, _explain(problem))]) from None
    problems: list[Problem] = []
    found = [_directive(t, file, problems, 1, line - 1) for t in tree.children]
    if problems:
        raise ConfigError(problems)
    return found


_WORD = re.compile(r'[^\s{}#"\x00-\x1f\x7f]+')
_PLAIN = re.compile(r'(?:[ \t]*+(?:[^\s{}#"\x00-\x1f\x7f]++[ \t]*+)*+\n)*+')


def plain(text: str, file: str, line: int = 1) -> list[Directive] | None:
    """What ``parse`` makes of lines of words alone, without braces, quotes and comments; None: not of that form."""
    if not _PLAIN.fullmatch(text):
        return None
    found = []
    for k, one in enumerate(text.split("\n"), line):
        words = [Value(w[0], Spot(file, k, w.start() + 1)) for w in _WORD.finditer(one)]
        if words:
            found.append(Directive(words[0].text, words[1:], words[0].spot))
    return found


def _explain(problem: UnexpectedInput) -> str:
    if isinstance(problem, UnexpectedCharacters):
        return "a text that is not closed, or a character that has no place here"
    if isinstance(problem, UnexpectedToken):
        if problem.token.type == "$END":
            return "the file ends inside a block: '}' is missing"
        if problem.token.type == "RBRACE":
            return "'}' without a block that it closes"
        if problem.token.type == "_NL":
            return "the line ends too early"
        if problem.token.type == "LBRACE":
            return "'{' needs a directive before it"
        return f"{str(problem.token)[:40]!r} has no place here: '{{' ends its line, '}}' stands alone on one"
    return "not of the form of a settings file"


def _directive(tree: Tree, file: str, problems: list[Problem], depth: int, above: int) -> Directive:
    name, *rest = tree.children
    assert isinstance(name, Token)
    made = Directive(str(name), [], Spot(file, (name.line or 1) + above, name.column or 1))
    if depth > MOST_DEPTH:
        problems.append(Problem(made.spot, f"blocks deeper than {MOST_DEPTH}"))
        return made
    for part in rest:
        if part.data == "block":
            made.inner = [_directive(t, file, problems, depth + 1, above) for t in part.children]
        else:
            token = part.children[0]
            text = str(token)
            if token.type == "TEXT":
                text = text[1:-1].replace('\\"', '"').replace("\\\\", "\\")
            made.values.append(Value(text, Spot(file, (token.line or 1) + above, token.column or 1)))
    return made
