"""Datagrams: which are accepted, and which are dropped."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rushweir.fleet import frame
from rushweir.peers.datagram import VERSION as QUOTAS

KEY = b"a key of sixteen bytes or more"


def pair():
    return frame.Frames(1, KEY, 8), frame.Frames(2, KEY, 8)


def test_datagram_is_accepted_once_and_only_by_its_receiver():
    a, b = pair()
    data = a.pack(frame.PROBE, 2, [1, "x", b"y"])
    assert b.unpack(data) == (frame.PROBE, 1, [1, "x", b"y"])
    assert b.unpack(data) is None and b.counts["dropped_replay"] == 1
    assert frame.Frames(3, KEY, 8).unpack(data) is None
    assert a.unpack(data) is None and a.counts["dropped_own"] == 1
    assert len(data) <= frame.MAX_DATAGRAM_BYTES and data[0] != QUOTAS


def test_successor_drops_datagrams_recorded_for_predecessor():
    a, b = pair()
    recorded = [a.pack(frame.ROWS, 2, [k]) for k in range(5)]
    b.renew(7)
    assert [b.unpack(d) for d in recorded] == [None] * 5


def test_only_join_is_accepted_without_receiver():
    a, b = pair()
    assert b.unpack(a.pack(frame.JOIN, frame.ANY_RECEIVER, [1])) is not None
    assert b.unpack(a.pack(frame.ROWS, frame.ANY_RECEIVER, [1])) is None


def test_reordered_datagrams_within_window_are_accepted():
    a, b = pair()
    sent = [a.pack(frame.PROBE, 2, [k]) for k in range(frame.REPLAY_WINDOW + 10)]
    assert b.unpack(sent[-1]) is not None
    assert b.unpack(sent[-frame.REPLAY_WINDOW]) is not None and b.unpack(sent[-2]) is not None
    assert b.unpack(sent[0]) is None and b.unpack(sent[-2]) is None


def test_number_of_replay_windows_is_bounded():
    b = frame.Frames(99, KEY, 8)
    for k in range(1, 40):
        assert b.unpack(frame.Frames(k, KEY, 8).pack(frame.PROBE, 99, [k])) is not None
    assert len(b.windows) == 8


@settings(max_examples=200, deadline=None)
@given(st.integers(0, 60), st.integers(0, 7))
def test_one_flipped_bit_invalidates_datagram(where, bit):
    a, b = pair()
    data = bytearray(a.pack(frame.PROBE, 2, [1, 2, [3, "four"]]))
    data[where % len(data)] ^= 1 << bit
    assert b.unpack(bytes(data)) is None


@settings(max_examples=200, deadline=None)
@given(st.binary(max_size=300))
def test_random_bytes_are_dropped(data):
    assert pair()[1].unpack(data) is None


def test_overlong_body_and_short_key_raise():
    with pytest.raises(ValueError, match="a body of"):
        pair()[0].pack(frame.ROWS, 2, [b"x" * 250])
    with pytest.raises(ValueError, match="16 bytes"):
        frame.Frames(1, b"short", 8)
