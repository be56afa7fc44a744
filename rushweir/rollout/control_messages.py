"""Messages between control processes: each kind's fields, checked before anything is done, and who acts on it.

Each begins with kind, term and position (control.py). Sizes are bounded by control_peers.py: some 256 KB of entries
and one more, or a part of some 128 KB. No I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from rushweir.rollout.election import LEADER

if TYPE_CHECKING:
    from rushweir.rollout.control import Control

MOST_WIRE = 4_194_304  # bytes of one message as it is sent
MOST_INDEX = 1 << 62


def whole(value: Any) -> bool:
    return type(value) is int and 0 <= value < MOST_INDEX


def number(value: Any) -> bool:
    return type(value) in (int, float) and value == value


def truth(value: Any) -> bool:
    return type(value) is bool


def entries(value: Any) -> bool:
    return type(value) is list and all(
        type(r) is list and len(r) == 2 and whole(r[0]) and type(r[1]) is bytes for r in value
    )


def objects(value: Any) -> bool:
    return type(value) is list and all(type(r) is list and len(r) == 4 for r in value)


def positions(value: Any) -> bool:
    return type(value) is list and all(whole(v) for v in value)


@dataclass(frozen=True, slots=True)
class Handler:
    fields: tuple[Callable[[Any], bool], ...]
    act: Callable[[Control, int, int, list], None]

    def checked(self, term: Any, position: Any, rest: list) -> list:
        """Raises ValueError."""
        if not (whole(term) and whole(position) and len(rest) == len(self.fields)):
            raise ValueError("head")
        if not all(sound(value) for sound, value in zip(self.fields, rest, strict=True)):
            raise ValueError("fields")
        return rest


def _pre(c: Control, source: int, term: int, rest: list) -> None:
    asked, last, last_term = rest
    c.election.asked(source, asked, last, last_term)


def _pre_answer(c: Control, source: int, term: int, rest: list) -> None:
    c.election.pre_answered(source, *rest)


def _vote(c: Control, source: int, term: int, rest: list) -> None:
    if term < c.term:
        c.send(source, "vote_answer", False)  # it learns of the newer term
    else:
        c.election.asked_vote(source, *rest)


def _vote_answer(c: Control, source: int, term: int, rest: list) -> None:
    if term == c.term:
        c.election.vote_answered(source, *rest)


def _from_leader(c: Control, source: int, term: int) -> bool:
    if term < c.term:
        c.send(source, "append_answer", False, 0, 0.0)  # it learns of the newer term
        return False
    if c.election.role is LEADER:
        raise ValueError(f"a second leader of term {term}")  # can't be, unless a vote was forgotten
    if c.leader != source:
        c.follower.reset()
    c.election.heard(source)
    return True


def _append(c: Control, source: int, term: int, rest: list) -> None:
    before, before_term, commit, rows, told, sent_at = rest
    if len(told) != c.count:
        raise ValueError(f"positions of {len(told)} processes, of {c.count}")
    if _from_leader(c, source, term):
        c.merge_positions(told)
        if not c.outdated:
            c.follower.append(source, before, before_term, commit, rows, sent_at)


def _append_answer(c: Control, source: int, term: int, rest: list) -> None:
    if term == c.term and source in c.peers:
        c.peers[source].answered(*rest)
        c.advance_commit_index()


def _part(c: Control, source: int, term: int, rest: list) -> None:
    if _from_leader(c, source, term):
        c.follower.part(source, *rest)


def _part_answer(c: Control, source: int, term: int, rest: list) -> None:
    if term == c.term and source in c.peers:
        c.peers[source].part_answered(*rest)


def _outdated(c: Control, source: int, term: int, rest: list) -> None:
    c.check_own_position(rest[0])


HANDLERS = {
    "here": Handler((), lambda c, source, term, rest: None),  # for its position alone
    "pre": Handler((whole, whole, whole), _pre),
    "pre_answer": Handler((whole, truth), _pre_answer),
    "vote": Handler((whole, whole), _vote),
    "vote_answer": Handler((truth,), _vote_answer),
    "append": Handler((whole, whole, whole, entries, positions, number), _append),
    "append_answer": Handler((truth, whole, number), _append_answer),
    "part": Handler((whole, whole, whole, whole, truth, objects, number), _part),
    "part_answer": Handler((whole, whole, number), _part_answer),
    "outdated": Handler((whole,), _outdated),
}
