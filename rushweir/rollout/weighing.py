"""What a large message takes before anything is decided by it: read, and its changes weighed. No I/O, no clock.

Nothing here changes what a watcher knows, so it may run beside the loop, on a view of it. ``Watcher.received`` takes
what was found if what is known is still what it was weighed beside; else it weighs anew.
"""

from __future__ import annotations

from typing import Any

from rushweir.rollout import watch_channel
from rushweir.rollout.book import BookError
from rushweir.rollout.change_sets import ChangeSet, ChangeSetError, unpack
from rushweir.rollout.reorder_buffer import Delta, ReorderBuffer

LARGE = 16_384  # characters of a message: a step of some 200 partners, which takes 2 ms


class Weighing:
    def __init__(self, text: bytes | str, key: bytes, view: ReorderBuffer) -> None:
        self.text, self.key, self.view = text, key, view
        self.found: tuple[str, dict[str, Any]] | watch_channel.MessageError = watch_channel.MessageError("not read")
        self.step: ChangeSet | watch_channel.MessageError | ChangeSetError | BookError | None = None
        self.delta: Delta | None = None

    def run(self) -> None:
        """Raises nothing: what is wrong is told when the message is received."""
        try:
            method, fields = self.found = watch_channel.read(self.text, self.key)
        except watch_channel.MessageError as problem:
            self.found = problem
            return
        if method != "rollout.step":
            return
        try:
            self.step = step_of(fields)
            if self.step.version == self.view.version + 1:
                self.delta = self.view.prepare_delta(self.step)
        except (watch_channel.MessageError, ChangeSetError, BookError) as problem:
            self.step = problem

    def read(self) -> tuple[str, dict[str, Any]]:
        """Raises MessageError."""
        if isinstance(self.found, watch_channel.MessageError):
            raise self.found
        return self.found

    def step_read(self) -> ChangeSet:
        """Raises MessageError, ChangeSetError, BookError."""
        if not isinstance(self.step, ChangeSet):
            raise self.step or ChangeSetError("no step")
        return self.step


def step_of(fields: dict[str, Any]) -> ChangeSet:
    """Raises MessageError, ChangeSetError."""
    return unpack(watch_channel.bytes_field(fields, "step", watch_channel.MAX_BODY_BYTES))
