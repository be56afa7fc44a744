"""Preparation of a large message: decoding it and computing the delta of its change set. No I/O, no clock.

It changes nothing that a watcher knows, so it may run in a thread, on a view of the watcher's state.
``Watcher.received`` uses the result if the state is still that of the view; otherwise the delta is computed again.
"""

from __future__ import annotations

from typing import Any

from rushweir.rollout import watch_channel
from rushweir.rollout.change_sets import ChangeSet, ChangeSetError, unpack
from rushweir.rollout.object_store import ObjectStoreError
from rushweir.rollout.reorder_buffer import Delta, ReorderBuffer

LARGE_MESSAGE_CHARS = 16_384  # a change set of some 200 partners, which takes 2 ms


class LargeMessage:
    """A large message and what its preparation found."""

    def __init__(self, text: bytes | str, key: bytes, view: ReorderBuffer) -> None:
        """``key``: that of the sealed channel. ``view``: what the watcher knows now."""
        self.text = text
        self.key = key
        self.view = view
        self.found: tuple[str, dict[str, Any]] | watch_channel.MessageError = watch_channel.MessageError("not read")
        self.change_set: ChangeSet | watch_channel.MessageError | ChangeSetError | ObjectStoreError | None = None
        self.delta: Delta | None = None

    def prepare(self) -> None:
        """Decode the message and compute its delta. Raises nothing: ``read`` and ``decoded`` raise what is wrong."""
        try:
            method, fields = self.found = watch_channel.read(self.text, self.key)
        except watch_channel.MessageError as problem:
            self.found = problem
            return
        if method != "rollout.step":
            return
        try:
            self.change_set = decode_change_set(fields)
            if self.change_set.version == self.view.version + 1:
                self.delta = self.view.prepare_delta(self.change_set)
        except (watch_channel.MessageError, ChangeSetError, ObjectStoreError) as problem:
            self.change_set = problem

    def read(self) -> tuple[str, dict[str, Any]]:
        """Return the method and the fields of the message. Raises MessageError."""
        if isinstance(self.found, watch_channel.MessageError):
            raise self.found
        return self.found

    def decoded(self) -> ChangeSet:
        """Return the change set of the message. Raises MessageError, ChangeSetError, ObjectStoreError."""
        if not isinstance(self.change_set, ChangeSet):
            raise self.change_set or ChangeSetError("not a change set")
        return self.change_set


def decode_change_set(fields: dict[str, Any]) -> ChangeSet:
    """Return the change set in the fields of a message. Raises MessageError, ChangeSetError."""
    return unpack(watch_channel.bytes_field(fields, "step", watch_channel.MAX_BODY_BYTES))
