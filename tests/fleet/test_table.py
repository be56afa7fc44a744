"""The shared table: whatever way entries come, members hold the same, and nothing beyond its bounds."""

from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from rushweir.fleet.table import BUCKETS, MEMBER, SLOT, VIEW_HEADER, Table, packed_size, paginate

LOAD = 16
ROWS = st.lists(
    st.tuples(st.sampled_from([MEMBER, SLOT, LOAD]), st.integers(1, 6), st.integers(1, 5)).map(
        lambda r: [*r, b"%d %d %d" % r]  # one writer: equal versions have equal data
    ),
    max_size=40,
)


def table(most: int = 50) -> Table:
    return Table({MEMBER: 20, SLOT: 20, VIEW_HEADER: 20, LOAD: 20}, most, lambda origin: True)


def held(t: Table) -> dict:
    return {kind: dict(of) for kind, of in t.entries.items()}


@settings(max_examples=150, deadline=None)
@given(ROWS, st.randoms(use_true_random=False))
def test_order_and_repeats_make_no_difference(rows, rng):
    a, b = table(), table()
    for row in rows:
        a.merge(row)
    again = rows + rows
    rng.shuffle(again)
    for row in again:
        b.merge(row)
    assert held(a) == held(b) and a.digest() == b.digest()


@settings(max_examples=100, deadline=None)
@given(ROWS, ROWS)
def test_two_that_compare_end_with_the_same(mine, theirs):
    a, b = table(), table()
    for row in mine:
        a.merge(row)
    for row in theirs:
        b.merge(row)
    for part in b.differing(a.digest()):
        lacks, wants = b.missing(part, a.versions(part), True)
        for key in lacks:
            a.merge(b.row(key))
        for kind, origin, _ in wants:
            b.merge(a.row((kind, origin)))
    assert held(a) == held(b) and a.differing(b.digest()) == []


def test_versions_exchanged_between_two_entries_do_not_look_the_same():
    a, b = table(), table()
    a.put(LOAD, 1, 5, b""), a.put(LOAD, 2, 9, b"")
    b.put(LOAD, 1, 9, b""), b.put(LOAD, 2, 5, b"")
    assert a.digest() != b.digest()


def test_bounds_of_bytes_of_entries_and_of_kinds():
    t = Table({MEMBER: 20, LOAD: 4}, 3, lambda origin: origin < 3)
    assert not t.put(LOAD, 1, 1, b"12345") and not t.put(77, 1, 1, b"") and not t.put(LOAD, 5, 1, b"")
    for k in range(10):
        t.put(MEMBER, k, 1, b"")
    assert len(t.entries_of(MEMBER)) == 3 and t.refused == 10
    assert t.put(MEMBER, 0, 2, b"new")  # one that is there may always be renewed


def test_what_is_no_entry_is_refused():
    t = table()
    for row in (None, 7, [], [1], [LOAD, -1, 1, b""], [LOAD, 1, 0, b""], [LOAD, 1, 1, "text"], [LOAD, 1.0, 1, b""],
                [LOAD, 2**64, 1, b""], [LOAD, 1, 2**63, b""], ["x", 1, 1, b""]):  # fmt: skip
        assert not t.merge(row)
    assert held(t) == held(table()) and t.digest() == bytes(4 * BUCKETS)


def test_what_is_forgotten_leaves_no_trace():
    t = table()
    t.put(LOAD, 1, 1, b"x")
    t.put(MEMBER, 1, 1, b"y")
    t.forget_origin(1)
    assert t.digest() == bytes(4 * BUCKETS) and t.piggyback_rows(200, 3) == [] and not any(t.buckets)


def test_news_are_told_so_often_and_objections_before_newcomers():
    t = table()
    for k in range(1, 30):
        t.put(MEMBER, k, 1, b"row")
    t.put(MEMBER, 7, 2, b"again")
    assert t.piggyback_rows(12, 3) == [[MEMBER, 7, 2, b"again"]]
    told = [r[1] for _ in range(60) for r in t.piggyback_rows(60, 3)]
    assert {told.count(k) for k in range(1, 30) if k != 7} == {3} and told.count(7) == 2
    assert t.piggyback_rows(60, 3, (MEMBER, 9)) == [[MEMBER, 9, 1, b"row"]]


def test_rows_are_portioned_by_bytes():
    rows = [[MEMBER, k, 1, b"x" * 30] for k in range(10)]
    parts = paginate(rows, 100)
    assert [r for p in parts for r in p] == rows and all(sum(map(packed_size, p)) <= 100 for p in parts)
    assert paginate([[1, b"x" * 300]], 100) == []
