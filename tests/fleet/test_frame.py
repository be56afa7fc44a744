"""Datagrams: what is believed, and what is not."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rushweir.fleet import frame as f
from rushweir.peers.datagram import VERSION as QUOTAS

KEY = b"a key of sixteen bytes or more"


def pair():
    return f.Frames(1, KEY, 8), f.Frames(2, KEY, 8)


def test_a_datagram_arrives_once_and_only_where_it_was_sent():
    a, b = pair()
    data = a.pack(f.PROBE, 2, [1, "x", b"y"])
    assert b.unpack(data) == (f.PROBE, 1, [1, "x", b"y"])
    assert b.unpack(data) is None and b.counts["dropped_replay"] == 1
    assert f.Frames(3, KEY, 8).unpack(data) is None
    assert a.unpack(data) is None and a.counts["dropped_own"] == 1
    assert len(data) <= f.MAX_DATAGRAM_BYTES and data[0] != QUOTAS


def test_what_was_recorded_for_a_process_is_worthless_for_its_successor():
    a, b = pair()
    recorded = [a.pack(f.ROWS, 2, [k]) for k in range(5)]
    b.renew(7)
    assert [b.unpack(d) for d in recorded] == [None] * 5


def test_only_a_call_to_join_may_come_without_a_receiver():
    a, b = pair()
    assert b.unpack(a.pack(f.JOIN, f.ANY_RECEIVER, [1])) is not None
    assert b.unpack(a.pack(f.ROWS, f.ANY_RECEIVER, [1])) is None


def test_datagrams_that_overtake_each_other_are_all_taken_within_the_window():
    a, b = pair()
    sent = [a.pack(f.PROBE, 2, [k]) for k in range(f.REPLAY_WINDOW + 10)]
    assert b.unpack(sent[-1]) is not None
    assert b.unpack(sent[-f.REPLAY_WINDOW]) is not None and b.unpack(sent[-2]) is not None
    assert b.unpack(sent[0]) is None and b.unpack(sent[-2]) is None


def test_senders_remembered_are_bounded():
    b = f.Frames(99, KEY, 8)
    for k in range(1, 40):
        assert b.unpack(f.Frames(k, KEY, 8).pack(f.PROBE, 99, [k])) is not None
    assert len(b.windows) == 8


@settings(max_examples=200, deadline=None)
@given(st.integers(0, 60), st.integers(0, 7))
def test_one_bit_spoils_a_datagram(where, bit):
    a, b = pair()
    data = bytearray(a.pack(f.PROBE, 2, [1, 2, [3, "four"]]))
    data[where % len(data)] ^= 1 << bit
    assert b.unpack(bytes(data)) is None


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=300))
def test_noise_is_dropped(data):
    assert pair()[1].unpack(data) is None


def test_a_body_too_long_and_a_short_key_are_refused():
    with pytest.raises(ValueError, match="a body of"):
        pair()[0].pack(f.ROWS, 2, [b"x" * 250])
    with pytest.raises(ValueError, match="16 bytes"):
        f.Frames(1, b"short", 8)
