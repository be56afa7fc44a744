"""What a large message takes before anything is decided by it: read, and its changes weighed. No I/O, no clock.

Nothing here changes what a watcher knows, so it may run beside the loop, on a view of it. ``Watcher.received`` takes
what was found if what is known is still what it was weighed beside; else it weighs anew.
"""

from __future__ import annotations

from typing import Any

from rushweir.rollout import watch_channel
from rushweir.rollout.change_sets import ChangeSet, ChangeSetError, unpack
from rushweir.rollout.object_store import ObjectStoreError
from rushweir.rollout.reorder_buffer import Delta, ReorderBuffer

LARGE_MESSAGE_CHARS = 16_384  # characters of a message: a step of some 200 partners, which takes 2 ms


class LargeMessage:
    def __init__(self, text: bytes | str, key: bytes, view: ReorderBuffer) -> None:
        self.text, self.key, self.view = text, key, view
        self.found: tuple[str, dict[str, Any]] | watch_channel.MessageError = watch_channel.MessageError("not read")
        self.change_set: ChangeSet | watch_channel.MessageError | ChangeSetError | ObjectStoreError | None = None
        self.delta: Delta | None = None

    def prepare(self) -> None:
        """Raises nothing: what is wrong is told when the message is received."""
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
        """Raises MessageError."""
        if isinstance(self.found, watch_channel.MessageError):
            raise self.found
        return self.found

    def decoded(self) -> ChangeSet:
        """Raises MessageError, ChangeSetError, BookError."""
        if not isinstance(self.change_set, ChangeSet):
            raise self.change_set or ChangeSetError("no step")
        return self.change_set


def decode_change_set(fields: dict[str, Any]) -> ChangeSet:
    """Raises MessageError, ChangeSetError."""
    return unpack(watch_channel.bytes_field(fields, "step", watch_channel.MAX_BODY_BYTES))
