"""Change sets and their encoding."""

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
def test_unpack_returns_the_packed_change_set(version, made, author):
    change_set = ChangeSet(version, tuple(Change(key, data) for key, data in made.items()), author)
    assert unpack(pack(change_set)) == change_set


@given(st.binary(max_size=60))
def test_unpack_of_arbitrary_bytes_raises_change_set_error_only(data):
    try:
        change_set = unpack(data)
    except ChangeSetError:
        return
    assert unpack(pack(change_set)) == change_set


@pytest.mark.parametrize(
    "row, message",
    [
        ([0, "", [["plan", "a", b""]]], "another type"),
        ([1, "", []], "1 to 4096"),
        ([1, "", [["plan", "a", b""], ["plan", "a", None]]], "plan a: changed twice"),
        ([1, "", [["plan", "a", "text"]]], "another type"),
        ([1, "", [["plan", "a", b"x" * (MAX_OBJECT_BYTES + 1)]]], "plan a: more than 65536"),
        ([1, "", [["plan", "a" * 200, b""]]], "128 characters"),
        ([1, "", [["plan", str(k), b""] for k in range(MAX_CHANGES + 1)]], "not 4097"),
        ([1, "", [["plan", str(k), b"x" * 65_000] for k in range(20)]], "1048576 at most"),
        ([1, ""], "not a change set"),
    ],
)
def test_invalid_change_set_is_refused_with_the_name_of_its_object(row, message):
    with pytest.raises(ChangeSetError, match=message):
        from_row(msgpack.unpackb(msgpack.packb(row)))


def test_validate_changes_returns_its_argument():
    made = (Change(("plan", "a"), b"x"), Change(("class", ""), None))
    assert validate_changes(made) is made
