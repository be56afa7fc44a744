"""The replicated table: rows in any order give equal tables, and limits hold."""

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


def table(max_entries: int = 50) -> Table:
    return Table({MEMBER: 20, SLOT: 20, VIEW_HEADER: 20, LOAD: 20}, max_entries, lambda origin: True)


def held(table_: Table) -> dict:
    return {kind: dict(entries) for kind, entries in table_.entries.items()}


@settings(max_examples=150, deadline=None)
@given(ROWS, st.randoms(use_true_random=False))
def test_merge_ignores_order_and_duplicates(rows, rng):
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
def test_tables_are_equal_after_comparison(mine, theirs):
    a, b = table(), table()
    for row in mine:
        a.merge(row)
    for row in theirs:
        b.merge(row)
    for bucket in b.differing(a.digest()):
        missing, wanted = b.missing(bucket, a.versions(bucket), True)
        for key in missing:
            a.merge(b.row(key))
        for kind, origin, _ in wanted:
            b.merge(a.row((kind, origin)))
    assert held(a) == held(b) and a.differing(b.digest()) == []


def test_swapped_versions_change_digest():
    a, b = table(), table()
    a.put(LOAD, 1, 5, b""), a.put(LOAD, 2, 9, b"")
    b.put(LOAD, 1, 9, b""), b.put(LOAD, 2, 5, b"")
    assert a.digest() != b.digest()


def test_table_refuses_beyond_byte_entry_and_kind_limits():
    table_ = Table({MEMBER: 20, LOAD: 4}, 3, lambda origin: origin < 3)
    assert not table_.put(LOAD, 1, 1, b"12345") and not table_.put(77, 1, 1, b"") and not table_.put(LOAD, 5, 1, b"")
    for k in range(10):
        table_.put(MEMBER, k, 1, b"")
    assert len(table_.entries_of(MEMBER)) == 3 and table_.refused == 10
    assert table_.put(MEMBER, 0, 2, b"new")  # an existing entry may always be updated


def test_malformed_rows_are_refused():
    table_ = table()
    for row in (None, 7, [], [1], [LOAD, -1, 1, b""], [LOAD, 1, 0, b""], [LOAD, 1, 1, "text"], [LOAD, 1.0, 1, b""],
                [LOAD, 2**64, 1, b""], [LOAD, 1, 2**63, b""], ["x", 1, 1, b""]):  # fmt: skip
        assert not table_.merge(row)
    assert held(table_) == held(table()) and table_.digest() == bytes(4 * BUCKETS)


def test_forgotten_origin_leaves_no_trace():
    table_ = table()
    table_.put(LOAD, 1, 1, b"x")
    table_.put(MEMBER, 1, 1, b"y")
    table_.forget_origin(1)
    assert table_.digest() == bytes(4 * BUCKETS) and table_.piggyback_rows(200, 3) == [] and not any(table_.buckets)


def test_rows_are_piggybacked_to_limit_and_updates_before_new_entries():
    table_ = table()
    for k in range(1, 30):
        table_.put(MEMBER, k, 1, b"row")
    table_.put(MEMBER, 7, 2, b"again")
    assert table_.piggyback_rows(12, 3) == [[MEMBER, 7, 2, b"again"]]
    origins = [r[1] for _ in range(60) for r in table_.piggyback_rows(60, 3)]
    assert {origins.count(k) for k in range(1, 30) if k != 7} == {3} and origins.count(7) == 2
    assert table_.piggyback_rows(60, 3, (MEMBER, 9)) == [[MEMBER, 9, 1, b"row"]]


def test_rows_are_paginated_by_bytes():
    rows = [[MEMBER, k, 1, b"x" * 30] for k in range(10)]
    pages = paginate(rows, 100)
    assert [r for page in pages for r in page] == rows and all(sum(map(packed_size, page)) <= 100 for page in pages)
    assert paginate([[1, b"x" * 300]], 100) == []
