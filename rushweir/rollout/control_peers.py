"""What a leader knows of each other process, and what it sends it: entries, or the whole in parts. No I/O, no clock.

    from      event                                               to
    ENTRIES   what it needs next is folded away here              WHOLE     parts, one on its way at a time
    WHOLE     it has all parts on disk                            ENTRIES
    WHOLE     no answer for an election time, or a new stream     WHOLE     the same part again

Entries are sent ahead of their answers, within bounds; after an answer that they do not fit, from what does fit.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from rushweir.rollout.storage import Parts

if TYPE_CHECKING:
    from rushweir.rollout.control import Control

FLYING, FLYING_BYTES = 512, 2_097_152  # entries sent and not confirmed, and bytes of them; one more entry


@dataclass(slots=True)
class Whole:
    """The base, being told to one peer."""

    index: int
    term: int
    number: int
    parts: Parts
    next: int = 0
    sent_at: float = 0.0


class Peer:
    """One other process, as its leader sees it."""

    def __init__(self, control: Control, id: int) -> None:
        self.control, self.id = control, id
        self.match = 0  # entries up to this one are on its disk
        self.next = control.log.last + 1
        self.heard_at = control.now  # when that was sent which it answered last
        self.beat_at = control.now
        self.whole: Whole | None = None

    def tick(self) -> None:
        if self.control.now >= self.beat_at:
            w = self.whole
            if w is not None and self.control.now - w.sent_at >= self.control.times.election:
                self._send_part(w)
            self.send(beat=True)

    def linked(self) -> None:
        """What was on its way is lost."""
        self.next = self.match + 1
        if self.whole is not None:
            self._send_part(self.whole)
        self.send(beat=True)

    def send(self, beat: bool = False) -> None:
        """What it may get now, at least a word if ``beat``."""
        log = self.control.log
        if self.whole is None and self.next <= log.base.index:
            b = log.base
            self.whole = Whole(b.index, b.term, b.number, Parts(b, log.bounds.part))
            self._send_part(self.whole)
        if self.whole is not None:
            if beat:  # an entry's place that it can't have: it answers, and that is all that is wanted
                self._append(log.base.index, [])
            return
        while (rows := self._rows()) or beat:
            beat = False
            self._append(self.next - 1, rows)
            self.next += len(rows)

    def _append(self, before: int, rows: list[list[Any]]) -> None:
        c = self.control
        self.beat_at = c.now + c.times.beat
        c.tell(self.id, "append", before, c.log.term(before), min(c.commit, c.log.last), rows, c.positions(), c.now)

    def _rows(self) -> list[list[Any]]:
        log, rows, size = self.control.log, [], 0
        flying = sum(len(log.at(n).data) for n in range(max(self.match, log.base.index) + 1, self.next))
        most, k = min(log.bounds.message, FLYING_BYTES - flying), self.next
        while k <= log.last and k - self.match <= FLYING and size < most:
            e = log.at(k)
            rows.append([e.term, e.data])
            size += len(e.data)
            k += 1
        return rows

    def _send_part(self, w: Whole) -> None:
        c = self.control
        w.sent_at = c.now
        rows = w.parts.rows(w.next)
        c.tell(self.id, "part", w.index, w.term, w.number, w.next, w.parts.is_last(w.next), rows, c.now)

    # --- answers ---------------------------------------------------------------------------------

    def answered(self, fits: bool, index: int, sent_at: float) -> None:
        """``index``: up to where its disk has what this log has, or up to where the two may be equal."""
        self._heard(sent_at)
        if fits:
            self.match = max(self.match, min(index, self.control.log.last))
            self.next = max(self.next, self.match + 1)
            if self.whole is not None and self.match >= self.whole.index:
                self.whole = None
        elif self.whole is None:
            self.next = max(self.match, min(index, self.next - 2, self.control.log.last)) + 1
        self.send()

    def part_answered(self, index: int, wanted: int, sent_at: float) -> None:
        self._heard(sent_at)
        w = self.whole
        if w is not None and w.index == index and 0 <= wanted < w.parts.known and wanted != w.next:
            w.next = wanted
            self._send_part(w)

    def _heard(self, sent_at: float) -> None:
        self.heard_at = max(self.heard_at, min(sent_at, self.control.now))
