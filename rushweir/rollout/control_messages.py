"""Messages between control processes: the fields of each kind, checked before any effect, and its handler.

Each message begins with kind, term and position (control.py). control_peers.py bounds the sizes: some 256 KB of
entries plus one, or a snapshot chunk of some 128 KB. No I/O, no clock.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from rushweir.rollout.election import LEADER

if TYPE_CHECKING:
    from rushweir.rollout.control import Control

MAX_WIRE_BYTES = 4_194_304  # of one message
MAX_INDEX = 1 << 62


def is_index(value: Any) -> bool:
    """Whether a value is an index, a term or a position."""
    return type(value) is int and 0 <= value < MAX_INDEX


def is_number(value: Any) -> bool:
    """Whether a value is a number other than NaN."""
    return type(value) in (int, float) and value == value


def is_bool(value: Any) -> bool:
    """Whether a value is true or false."""
    return type(value) is bool


def are_entries(value: Any) -> bool:
    """Whether a value is a list of [term, data]."""
    return type(value) is list and all(
        type(r) is list and len(r) == 2 and is_index(r[0]) and type(r[1]) is bytes for r in value
    )


def are_objects(value: Any) -> bool:
    """Whether a value is a list of [kind, name, version, data]; the follower checks their types."""
    return type(value) is list and all(type(r) is list and len(r) == 4 for r in value)


def are_positions(value: Any) -> bool:
    """Whether a value is a list of positions."""
    return type(value) is list and all(is_index(v) for v in value)


@dataclass(frozen=True, slots=True)
class Handler:
    """The checks of a kind's fields, and the function that handles it."""

    fields: tuple[Callable[[Any], bool], ...]
    act: Callable[[Control, int, int, list], None]

    def validate(self, term: Any, position: Any, rest: list) -> list:
        """Return the fields. Raises ValueError."""
        if not (is_index(term) and is_index(position) and len(rest) == len(self.fields)):
            raise ValueError("head")
        if not all(is_valid(value) for is_valid, value in zip(self.fields, rest, strict=True)):
            raise ValueError("fields")
        return rest


def _pre_vote(control: Control, source: int, term: int, rest: list) -> None:
    proposed_term, last_index, last_term = rest
    control.election.answer_pre_vote(source, proposed_term, last_index, last_term)


def _pre_vote_answer(control: Control, source: int, term: int, rest: list) -> None:
    control.election.pre_vote_answered(source, *rest)


def _vote(control: Control, source: int, term: int, rest: list) -> None:
    if term < control.term:
        control.send(source, "vote_answer", False)  # so that it learns of the newer term
    else:
        control.election.answer_vote(source, *rest)


def _vote_answer(control: Control, source: int, term: int, rest: list) -> None:
    if term == control.term:
        control.election.vote_answered(source, *rest)


def _accept_leader(control: Control, source: int, term: int) -> bool:
    """Whether the sender leads in the current term."""
    if term < control.term:
        control.send(source, "append_answer", False, 0, 0.0)  # so that it learns of the newer term
        return False
    if control.election.role is LEADER:
        raise ValueError(f"a second leader of term {term}")  # impossible unless a vote was forgotten
    if control.leader != source:
        control.follower.reset()
    control.election.leader_heard(source)
    return True


def _append(control: Control, source: int, term: int, rest: list) -> None:
    previous, previous_term, commit_index, rows, positions, sent_at = rest
    if len(positions) != control.count:
        raise ValueError(f"positions of {len(positions)} processes, of {control.count}")
    if _accept_leader(control, source, term):
        control.merge_positions(positions)
        if not control.outdated:
            control.follower.append_entries(source, previous, previous_term, commit_index, rows, sent_at)


def _append_answer(control: Control, source: int, term: int, rest: list) -> None:
    if term == control.term and source in control.peers:
        control.peers[source].append_answered(*rest)
        control.advance_commit_index()


def _chunk(control: Control, source: int, term: int, rest: list) -> None:
    if _accept_leader(control, source, term):
        control.follower.install_chunk(source, *rest)


def _chunk_answer(control: Control, source: int, term: int, rest: list) -> None:
    if term == control.term and source in control.peers:
        control.peers[source].chunk_answered(*rest)


def _outdated(control: Control, source: int, term: int, rest: list) -> None:
    control.stop_if_outdated(rest[0])


HANDLERS = {
    "here": Handler((), lambda control, source, term, rest: None),  # for its position alone
    "pre": Handler((is_index, is_index, is_index), _pre_vote),
    "pre_answer": Handler((is_index, is_bool), _pre_vote_answer),
    "vote": Handler((is_index, is_index), _vote),
    "vote_answer": Handler((is_bool,), _vote_answer),
    "append": Handler((is_index, is_index, is_index, are_entries, are_positions, is_number), _append),
    "append_answer": Handler((is_bool, is_index, is_number), _append_answer),
    "part": Handler((is_index, is_index, is_index, is_index, is_bool, are_objects, is_number), _chunk),
    "part_answer": Handler((is_index, is_index, is_number), _chunk_answer),
    "outdated": Handler((is_index,), _outdated),
}
