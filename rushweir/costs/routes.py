"""Routes to rules: a trie over the segments of method and path. No I/O.

A pattern is a JSON-RPC method (``booking``, ``fleet.{what}``, ``rpc.**``) or an HTTP method and a path
(``POST /rides/{id}/stops``, ``* /static/**``). ``{name}`` matches one segment, ``**`` all remaining segments, also
none; the method ``*`` matches any.

Of several patterns that match, the most specific in the first segment where they differ wins: a literal before
``{name}`` before ``**``. The result therefore does not depend on the order of the rules, and a lookup enters at
most two children of each node and no node twice: a client's input decides how deep it goes, never how often.
"""

from __future__ import annotations

import re
from collections.abc import Iterator
from typing import Generic, TypeVar

Rule = TypeVar("Rule")

MAX_SEGMENTS = 32  # of a pattern, and of a route that is looked up; a longer route matches no rule
PLACEHOLDER = re.compile(r"\{[A-Za-z_][A-Za-z0-9_]*\}\Z")
LITERAL = re.compile(r"[^\s{}*/]+\Z")
HTTP_METHOD = re.compile(r"(?:[A-Z]{1,16}|\*)\Z")


class RouteError(ValueError):
    """An invalid pattern, or one that is defined twice."""


def parse_pattern(text: str) -> tuple[str, ...]:
    """The segments of a pattern, after the kind of route (``http`` or ``rpc``). Raises RouteError."""
    method, space, path = text.partition(" ")
    if space:
        if not HTTP_METHOD.match(method) or not path.startswith("/"):
            raise RouteError("a route such as POST /rides/{id}, * /static/** or booking.{kind}")
        segments = ("http", method, *path[1:].split("/"))
    else:
        segments = ("rpc", *text.split("."))
    for k, segment in enumerate(segments[1:], 1):
        if segment == "**":
            if k != len(segments) - 1:
                raise RouteError("** can only stand last")
        elif not (
            PLACEHOLDER.match(segment)
            or LITERAL.match(segment)
            or (k == 1 and segment == "*" and space)
            or (segment == "" and space)
        ):
            raise RouteError(f"{segment!r} is no segment: a text, {{name}}, or ** at the end")
    if len(segments) > MAX_SEGMENTS:
        raise RouteError(f"{MAX_SEGMENTS} segments at most")
    return segments


def pattern_shape(text: str) -> tuple[str, ...]:
    """The segments of a pattern without the names of its placeholders: ``{}`` for each. Raises RouteError."""
    return tuple("{}" if segment == "*" or PLACEHOLDER.match(segment) else segment for segment in parse_pattern(text))


def rpc_route(method: str) -> tuple[str, ...]:
    """The route of a JSON-RPC request."""
    return ("rpc", *method.split(".", MAX_SEGMENTS + 1))


def http_route(method: str, path: str) -> tuple[str, ...]:
    """The route of an HTTP request."""
    return ("http", method, *path.lstrip("/").split("/", MAX_SEGMENTS + 1))


NO_CHILDREN: dict = {}  # shared by all leaves: most nodes are leaves, and a dict of each would double their memory


class TrieNode(Generic[Rule]):
    """One position in the trie: the children by their next segment, and the rules that end here."""

    __slots__ = ("one", "rest", "rule", "static")

    def __init__(self) -> None:
        self.static: dict[str, TrieNode[Rule]] = NO_CHILDREN  # by literal; replaced before the first write
        self.one: TrieNode[Rule] | None = None  # for a placeholder: any one segment
        self.rest: Rule | None = None  # of a pattern that ends with ** here
        self.rule: Rule | None = None  # of a pattern that ends here


class Routes(Generic[Rule]):
    """Rules by pattern."""

    def __init__(self) -> None:
        self.root: TrieNode[Rule] = TrieNode()
        self.size = 0

    def add(self, text: str, rule: Rule) -> None:
        """Add the rule of a pattern. Raises RouteError if the pattern is invalid or is there already."""
        node = self.root
        segments = parse_pattern(text)
        for segment in segments:
            if segment == "**":
                if node.rest is not None:
                    raise RouteError(f"{text}: is defined twice")
                node.rest = rule
                self.size += 1
                return
            if segment == "*" or PLACEHOLDER.match(segment):
                node.one = node.one or TrieNode()
                node = node.one
            else:
                if (child := node.static.get(segment)) is None:
                    child = TrieNode()
                    node.static = node.static or {}
                    node.static[segment] = child
                node = child
        if node.rule is not None:
            raise RouteError(f"{text}: is defined twice, or differs only in the names of its placeholders")
        node.rule = rule
        self.size += 1

    def remove(self, text: str) -> Rule | None:
        """Remove a pattern, with the nodes that then lead nowhere; returns its rule, None if it is not there."""
        node, path = self.root, list[tuple[TrieNode[Rule], str | None]]()
        *others, last = parse_pattern(text)
        for segment in others if last == "**" else (*others, last):
            is_placeholder = segment == "*" or bool(PLACEHOLDER.match(segment))
            path.append((node, None if is_placeholder else segment))
            child = node.one if is_placeholder else node.static.get(segment)
            if child is None:
                return None
            node = child
        if last == "**":
            rule, node.rest = node.rest, None
        else:
            rule, node.rule = node.rule, None
        self.size -= rule is not None
        while path and not (node.static or node.one or node.rest is not None or node.rule is not None):
            node, segment = path.pop()
            if segment is None:
                node.one = None
            else:
                del node.static[segment]
        return rule

    def rule_of_shape(self, shape: tuple[str, ...]) -> Rule | None:
        """The rule of a pattern by its shape, None if there is none."""
        node: TrieNode[Rule] | None = self.root
        for segment in shape:
            if segment == "**":
                return node.rest
            node = node.one if segment == "{}" else node.static.get(segment)
            if node is None:
                return None
        return node.rule

    def find(self, route: tuple[str, ...]) -> Rule | None:
        """The rule of a route from ``rpc_route`` or ``http_route``, None if none matches."""
        if len(route) > MAX_SEGMENTS:
            return None
        # Depth first, the most specific branch first: the first match is the most specific of all. No branch is
        # entered twice, so no node is visited twice, and their number is bounded by the rules.
        stack: list[tuple[TrieNode[Rule], int, bool]] = [(self.root, 0, False)]
        while stack:
            node, depth, matches_rest = stack.pop()
            if matches_rest:
                return node.rest
            if depth == len(route):
                if node.rule is not None:
                    return node.rule
                if node.rest is not None:
                    return node.rest
                continue
            if node.rest is not None:
                stack.append((node, depth, True))
            if node.one is not None:
                stack.append((node.one, depth + 1, False))
            if (child := node.static.get(route[depth])) is not None:
                stack.append((child, depth + 1, False))
        return None

    def __iter__(self) -> Iterator[Rule]:
        """All rules, in no particular order."""
        nodes = [self.root]
        while nodes:
            node = nodes.pop()
            yield from (rule for rule in (node.rule, node.rest) if rule is not None)
            nodes += [*node.static.values(), *([node.one] if node.one else [])]
