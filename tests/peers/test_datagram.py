"""Datagrams between ingresses: what is believed, and what is not."""

from __future__ import annotations

from base64 import b85encode

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rushweir.peers.datagram import MOST_BYTES, MOST_STAMPS, WINDOW_MS, Peers

KEY = b"0123456789abcdef0123456789abcdef"
NOW = 1_700_000_000_000.0


def pair() -> tuple[Peers, Peers]:
    return Peers(0, 3, KEY), Peers(1, 3, KEY)


def test_a_message_arrives_as_it_was():
    a, b = pair()
    for text in ("", "hi 7", "Budapest é", b85encode(bytes(range(195))).decode()):
        data = a.pack(NOW, 1, text)
        assert data is not None and len(data) <= MOST_BYTES
        assert b.unpack(NOW + 3, data) == (0, text)


@settings(max_examples=100, deadline=None)
@given(body=st.binary(max_size=204))
def test_every_message_of_the_policy_fits(body):
    a, b = pair()
    text = b85encode(body).decode()
    data = a.pack(NOW, 1, text)
    assert data is not None and len(data) <= MOST_BYTES and b.unpack(NOW, data) == (0, text)


def test_too_long_is_counted_not_cut():
    a, _ = pair()
    assert a.pack(NOW, 1, "ä" * 200) is None and a.counts["too_long"] == 1


@settings(max_examples=100, deadline=None)
@given(at=st.integers(0, 60), bit=st.integers(0, 7))
def test_a_changed_bit_is_a_stranger(at, bit):
    a, b = pair()
    data = bytearray(a.pack(NOW, 1, "some text of a message here"))
    data[at % len(data)] ^= 1 << bit
    assert b.unpack(NOW, bytes(data)) is None
    assert sum(b.counts.values()) == 1 and not b.counts["received"]


def test_strangers_replays_and_misdirected_messages():
    a, b = pair()
    data = a.pack(NOW, 1, "x")
    assert b.unpack(NOW, data) and b.unpack(NOW, data) is None
    assert b.counts["dropped_replay"] == 1
    assert Peers(2, 3, KEY).unpack(NOW, data) is None  # it was for another
    assert Peers(1, 3, b"another key of 16+").unpack(NOW, data) is None
    assert b.unpack(NOW + WINDOW_MS + 1, a.pack(NOW, 1, "y")) is None and b.counts["dropped_clock"] == 1
    assert b.unpack(NOW, b"") is None and b.unpack(NOW, b"x" * 300) is None and b.counts["dropped_length"] == 2
    assert Peers(0, 3, KEY).unpack(NOW, Peers(0, 3, KEY).pack(NOW, 0, "me")) is None  # from itself
    assert Peers(1, 2, KEY).unpack(NOW, Peers(2, 3, KEY).pack(NOW, 1, "x")) is None  # no such ingress


def test_a_replay_after_the_receivers_restart_is_too_old_or_taken_once():
    a, b = pair()
    old = a.pack(NOW, 1, "x")
    b.unpack(NOW, old)
    fresh = Peers(1, 3, KEY)
    assert fresh.unpack(NOW + WINDOW_MS + 1, old) is None
    assert fresh.counts["dropped_clock"] == 1


def test_out_of_order_within_the_window_is_taken_and_memory_is_bounded():
    a, b = pair()
    many = [a.pack(NOW + k * 0.001, 1, str(k)) for k in range(MOST_STAMPS + 500)]
    for data in reversed(many[:200]):
        assert b.unpack(NOW, data) is not None
    for data in many[200:]:
        assert b.unpack(NOW + 10, data) is not None
    assert len(b.seen[0][0]) <= MOST_STAMPS
    assert all(b.unpack(NOW + 10, data) is None for data in many)  # forgotten ones are below the floor


def test_stamps_grow_when_the_clock_stands_still_and_keys_are_long_enough():
    a, b = pair()
    assert all(b.unpack(NOW, a.pack(NOW, 1, "x")) for _ in range(50))
    with pytest.raises(ValueError, match="16 bytes"):
        Peers(0, 3, b"short")
