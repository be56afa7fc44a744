"""Steps and their bytes."""

import msgpack
import pytest
from hypothesis import given
from hypothesis import strategies as st

from rushweir.rollout.change_sets import (
    MAX_CHANGES,
    MAX_OBJECT_BYTES,
    Change,
    ChangeSet,
    ChangeSetError,
    from_row,
    pack,
    unpack,
    validate_changes,
)

keys = st.tuples(st.text(min_size=1, max_size=20), st.text(max_size=20))
changes = st.dictionaries(keys, st.none() | st.binary(max_size=50), min_size=1, max_size=8)


@given(st.integers(1, 2**53), changes, st.text(max_size=20))
def test_a_step_is_read_as_it_was_written(number, made, author):
    step = ChangeSet(number, tuple(Change(k, v) for k, v in made.items()), author)
    assert unpack(pack(step)) == step


@given(st.binary(max_size=60))
def test_other_bytes_are_refused_and_nothing_else_is_raised(data):
    try:
        step = unpack(data)
    except ChangeSetError:
        return
    assert unpack(pack(step)) == step


@pytest.mark.parametrize(
    "told, says",
    [
        ([0, "", [["plan", "a", b""]]], "another type"),
        ([1, "", []], "1 to 4096"),
        ([1, "", [["plan", "a", b""], ["plan", "a", None]]], "plan a: changed twice"),
        ([1, "", [["plan", "a", "text"]]], "another type"),
        ([1, "", [["plan", "a", b"x" * (MAX_OBJECT_BYTES + 1)]]], "plan a: more than 65536"),
        ([1, "", [["plan", "a" * 200, b""]]], "128 characters"),
        ([1, "", [["plan", str(k), b""] for k in range(MAX_CHANGES + 1)]], "not 4097"),
        ([1, "", [["plan", str(k), b"x" * 65_000] for k in range(20)]], "1048576 at most"),
        ([1, ""], "not a step"),
    ],
)
def test_what_no_step_may_be_is_told_with_its_object(told, says):
    with pytest.raises(ChangeSetError, match=says):
        from_row(msgpack.unpackb(msgpack.packb(told)))


def test_checked_gives_back_what_it_was_given():
    made = (Change(("plan", "a"), b"x"), Change(("class", ""), None))
    assert validate_changes(made) is made
