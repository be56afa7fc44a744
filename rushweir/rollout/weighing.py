"""What a large message takes before anything is decided by it: read, and its changes weighed. No I/O, no clock.

Nothing here changes what a watcher knows, so it may run beside the loop, on a view of it. ``Watching.received`` takes
what was found if what is known is still what it was weighed beside; else it weighs anew.
"""

from __future__ import annotations

from typing import Any

from rushweir.rollout import watch_mail as mail
from rushweir.rollout.book import BookError
from rushweir.rollout.change_sets import ChangeSet, ChangeSetError, unpack
from rushweir.rollout.watching_ahead import Ahead, Delta

LARGE = 16_384  # characters of a message: a step of some 200 partners, which takes 2 ms


class Weighing:
    def __init__(self, text: bytes | str, key: bytes, view: Ahead) -> None:
        self.text, self.key, self.view = text, key, view
        self.found: tuple[str, dict[str, Any]] | mail.MailError = mail.MailError("not read")
        self.step: ChangeSet | mail.MailError | ChangeSetError | BookError | None = None
        self.delta: Delta | None = None

    def run(self) -> None:
        """Raises nothing: what is wrong is told when the message is received."""
        try:
            method, fields = self.found = mail.read(self.text, self.key)
        except mail.MailError as problem:
            self.found = problem
            return
        if method != "rollout.step":
            return
        try:
            self.step = step_of(fields)
            if self.step.version == self.view.version + 1:
                self.delta = self.view.weigh(self.step)
        except (mail.MailError, ChangeSetError, BookError) as problem:
            self.step = problem

    def read(self) -> tuple[str, dict[str, Any]]:
        """Raises MailError."""
        if isinstance(self.found, mail.MailError):
            raise self.found
        return self.found

    def step_read(self) -> ChangeSet:
        """Raises MailError, ChangeSetError, BookError."""
        if not isinstance(self.step, ChangeSet):
            raise self.step or ChangeSetError("no step")
        return self.step


def step_of(fields: dict[str, Any]) -> ChangeSet:
    """Raises MailError, ChangeSetError."""
    return unpack(mail.octets(fields, "step", mail.MOST_BODY))
