"""Routes to rules: a trie over the segments of method and path. No I/O.

A pattern is a JSON-RPC method (``booking``, ``fleet.{what}``, ``rpc.**``) or an HTTP method and a path
(``POST /rides/{id}/stops``, ``* /static/**``). ``{name}`` stands for one segment, ``**`` for all that follow, none
too; a method ``*`` for any.

Of several that match, the one that is more exact in its first segment that differs wins: a text before ``{name}``
before ``**``. So the answer does not depend on the order in which rules stand, and a look-up visits at most two
nodes for each that it leaves: what a client sends decides how far it goes, never how often.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Generic, TypeVar

Rule = TypeVar("Rule")

MAX_SEGMENTS = 32  # of a pattern, and of a route that is looked at; a longer route has no rule of its own
ONE = re.compile(r"\{[A-Za-z_][A-Za-z0-9_]*\}\Z")
TEXT = re.compile(r"[^\s{}*/]+\Z")
VERBS = re.compile(r"(?:[A-Z]{1,16}|\*)\Z")


class RouteError(ValueError):
    """A pattern that is none, or that stands twice."""


def parse_pattern(text: str) -> tuple[str, ...]:
    """The segments of a pattern, the kind of route first. Raises RouteError."""
    verb, space, path = text.partition(" ")
    if space:
        if not VERBS.match(verb) or not path.startswith("/"):
            raise RouteError("a route such as POST /rides/{id}, * /static/** or booking.{kind}")
        segments = ("http", verb, *path[1:].split("/"))
    else:
        segments = ("rpc", *text.split("."))
    for k, s in enumerate(segments[1:], 1):
        if s == "**":
            if k != len(segments) - 1:
                raise RouteError("** can only stand last")
        elif not (ONE.match(s) or TEXT.match(s) or (k == 1 and s == "*" and space) or (s == "" and space)):
            raise RouteError(f"{s!r} is no segment: a text, {{name}}, or ** at the end")
    if len(segments) > MAX_SEGMENTS:
        raise RouteError(f"{MAX_SEGMENTS} segments at most")
    return segments


def pattern_shape(text: str) -> tuple[str, ...]:
    """The segments of a pattern, whatever its parts are called. Raises RouteError."""
    return tuple("{}" if s == "*" or ONE.match(s) else s for s in parse_pattern(text))


def rpc_route(method: str) -> tuple[str, ...]:
    return ("rpc", *method.split(".", MAX_SEGMENTS + 1))


def http_route(verb: str, path: str) -> tuple[str, ...]:
    return ("http", verb, *path.lstrip("/").split("/", MAX_SEGMENTS + 1))


NOTHING: dict = {}  # below a leaf: most nodes are leaves, and a dict of its own each would be half of their memory


class Node(Generic[Rule]):
    __slots__ = ("one", "rest", "rule", "static")

    def __init__(self) -> None:
        self.static: dict[str, Node[Rule]] = NOTHING  # replaced before it is written to
        self.one: Node[Rule] | None = None  # any one segment
        self.rest: Rule | None = None  # whatever follows
        self.rule: Rule | None = None  # the route ends here


class Routes(Generic[Rule]):
    """Rules by pattern."""

    def __init__(self) -> None:
        self.root: Node[Rule] = Node()
        self.size = 0

    def add(self, text: str, rule: Rule) -> None:
        """Raises RouteError."""
        node = self.root
        segments = parse_pattern(text)
        for s in segments:
            if s == "**":
                if node.rest is not None:
                    raise RouteError(f"{text}: stands twice")
                node.rest = rule
                self.size += 1
                return
            if s == "*" or ONE.match(s):
                node.one = node.one or Node()
                node = node.one
            else:
                if (below := node.static.get(s)) is None:
                    below = Node()
                    node.static = node.static or {}
                    node.static[s] = below
                node = below
        if node.rule is not None:
            raise RouteError(f"{text}: stands twice, or differs in the names of its parts only")
        node.rule = rule
        self.size += 1

    def remove(self, text: str) -> Rule | None:
        """Take a pattern out, with the nodes that then lead nowhere; its rule, None where it does not stand."""
        node, way = self.root, list[tuple[Node[Rule], str | None]]()
        *others, last = parse_pattern(text)
        for s in others if last == "**" else (*others, last):
            one = s == "*" or bool(ONE.match(s))
            way.append((node, None if one else s))
            below = node.one if one else node.static.get(s)
            if below is None:
                return None
            node = below
        if last == "**":
            rule, node.rest = node.rest, None
        else:
            rule, node.rule = node.rule, None
        self.size -= rule is not None
        while way and not (node.static or node.one or node.rest is not None or node.rule is not None):
            node, s = way.pop()
            if s is None:
                node.one = None
            else:
                del node.static[s]
        return rule

    def rule_of_shape(self, shape: tuple[str, ...]) -> Rule | None:
        """The rule of a pattern by its shape; None: there is none."""
        node: Node[Rule] | None = self.root
        for s in shape:
            if s == "**":
                return node.rest
            node = node.one if s == "{}" else node.static.get(s)
            if node is None:
                return None
        return node.rule

    def find(self, route: tuple[str, ...]) -> Rule | None:
        """The rule of a route, as ``rpc_route`` and ``http_route`` give it."""
        if len(route) > MAX_SEGMENTS:
            return None
        # Depth first, the more exact branch first: the first that matches is the most exact of all. A branch is
        # left for good, so no node is visited twice, and there are no more of them than the rules made.
        stack: list[tuple[Node[Rule], int, bool]] = [(self.root, 0, False)]
        while stack:
            node, at, rest = stack.pop()
            if rest:
                return node.rest
            if at == len(route):
                if node.rule is not None:
                    return node.rule
                if node.rest is not None:
                    return node.rest
                continue
            if node.rest is not None:
                stack.append((node, at, True))
            if node.one is not None:
                stack.append((node.one, at + 1, False))
            if (text := node.static.get(route[at])) is not None:
                stack.append((text, at + 1, False))
        return None

    def __iter__(self) -> Iterator[Rule]:
        nodes = [self.root]
        while nodes:
            node = nodes.pop()
            yield from (r for r in (node.rule, node.rest) if r is not None)
            nodes += [*node.static.values(), *([node.one] if node.one else [])]
