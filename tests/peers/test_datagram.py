"""Datagrams between ingresses: which are accepted, and which are rejected."""

from __future__ import annotations

from base64 import b85encode

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from rushweir.peers.datagram import MAX_DATAGRAM_BYTES, MAX_TIMESTAMPS, WINDOW_MS, Peers

KEY = b"0123456789abcdef0123456789abcdef"
NOW = 1_700_000_000_000.0


def pair() -> tuple[Peers, Peers]:
    return Peers(0, 3, KEY), Peers(1, 3, KEY)


def test_message_is_unpacked_as_it_was_packed():
    sender, receiver = pair()
    for text in ("", "hi 7", "Budapest é", b85encode(bytes(range(195))).decode()):
        data = sender.pack(NOW, 1, text)
        assert data is not None and len(data) <= MAX_DATAGRAM_BYTES
        assert receiver.unpack(NOW + 3, data) == (0, text)


@settings(max_examples=100, deadline=None)
@given(body=st.binary(max_size=204))
def test_each_message_of_the_policy_fits(body):
    sender, receiver = pair()
    text = b85encode(body).decode()
    data = sender.pack(NOW, 1, text)
    assert data is not None and len(data) <= MAX_DATAGRAM_BYTES and receiver.unpack(NOW, data) == (0, text)


def test_too_long_message_is_counted_and_not_packed():
    sender, _ = pair()
    assert sender.pack(NOW, 1, "ä" * 200) is None and sender.counts["too_long"] == 1


@settings(max_examples=100, deadline=None)
@given(at=st.integers(0, 60), bit=st.integers(0, 7))
def test_datagram_with_a_changed_bit_is_rejected(at, bit):
    sender, receiver = pair()
    data = bytearray(sender.pack(NOW, 1, "some text of a message here"))
    data[at % len(data)] ^= 1 << bit
    assert receiver.unpack(NOW, bytes(data)) is None
    assert sum(receiver.counts.values()) == 1 and not receiver.counts["received"]


def test_forged_replayed_and_misdirected_datagrams_are_rejected():
    sender, receiver = pair()
    data = sender.pack(NOW, 1, "x")
    assert receiver.unpack(NOW, data) and receiver.unpack(NOW, data) is None
    assert receiver.counts["dropped_replay"] == 1
    assert Peers(2, 3, KEY).unpack(NOW, data) is None  # sent to another
    assert Peers(1, 3, b"another key of 16+").unpack(NOW, data) is None
    assert (
        receiver.unpack(NOW + WINDOW_MS + 1, sender.pack(NOW, 1, "y")) is None
        and receiver.counts["dropped_clock"] == 1
    )
    assert (
        receiver.unpack(NOW, b"") is None
        and receiver.unpack(NOW, b"x" * 300) is None
        and receiver.counts["dropped_length"] == 2
    )
    assert Peers(0, 3, KEY).unpack(NOW, Peers(0, 3, KEY).pack(NOW, 0, "me")) is None  # from itself
    assert Peers(1, 2, KEY).unpack(NOW, Peers(2, 3, KEY).pack(NOW, 1, "x")) is None  # no such ingress


def test_old_datagram_is_rejected_after_the_receivers_restart():
    sender, receiver = pair()
    datagram = sender.pack(NOW, 1, "x")
    receiver.unpack(NOW, datagram)
    restarted = Peers(1, 3, KEY)
    assert restarted.unpack(NOW + WINDOW_MS + 1, datagram) is None
    assert restarted.counts["dropped_clock"] == 1


def test_unordered_datagrams_within_the_window_are_accepted_and_memory_is_bounded():
    sender, receiver = pair()
    datagrams = [sender.pack(NOW + k * 0.001, 1, str(k)) for k in range(MAX_TIMESTAMPS + 500)]
    for data in reversed(datagrams[:200]):
        assert receiver.unpack(NOW, data) is not None
    for data in datagrams[200:]:
        assert receiver.unpack(NOW + 10, data) is not None
    assert len(receiver.seen[0][0]) <= MAX_TIMESTAMPS
    # Timestamps that are no longer remembered are below the minimum.
    assert all(receiver.unpack(NOW + 10, data) is None for data in datagrams)


def test_timestamps_grow_while_the_clock_stands_still_and_short_keys_are_rejected():
    sender, receiver = pair()
    assert all(receiver.unpack(NOW, sender.pack(NOW, 1, "x")) for _ in range(50))
    with pytest.raises(ValueError, match="16 bytes"):
        Peers(0, 3, b"short")
