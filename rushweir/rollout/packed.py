"""A book that holds its objects in few bytes, for an ingress, which has them as settings too. No I/O, no clock.

A part's rows are one piece, packed and deflated: objects of a kind are written alike, and 25,300 of them, 2.9 MB of
keys and data that take 7.5 MB as strings in dicts, take 1 MB so. What changes lies loose over the piece, as it is:

    loose    piece     the object is
    bytes    any       what lies loose
    None     has it    gone
    nothing  has it    what the piece has

A look into a piece unpacks all of it (0.13 ms for 100 objects), and the one looked into last stays unpacked, so
whoever looks for many goes by parts. At most LOOSE rows lie loose for long: beyond that whoever holds the book calls
``fold``, which packs FOLD parts anew and so is never long (0.4 ms for each). A book of fewer objects than LOOSE is
never packed. Bound: two rows of an object (one packed, one loose), and one part unpacked.
"""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping
from heapq import nlargest
from zlib import compress, decompress

import msgpack

from rushweir.rollout.book import PARTS, Book

LOOSE = 1_024  # rows that need not be packed
FOLD = 4  # parts that are packed at a time
LEVEL = 1  # of deflate; 6 takes half as long again for 6% less


class Look:
    """The rows of the piece that was looked into last."""

    __slots__ = ("last",)

    def __init__(self) -> None:
        self.last: tuple[bytes, dict[str, bytes]] = (b"", {})

    def rows(self, piece: bytes) -> dict[str, bytes]:
        """Not to be written to."""
        if not piece:
            return {}
        last = self.last  # read once: another thread may look into another piece meanwhile
        if last[0] is not piece:
            last = self.last = piece, dict(msgpack.unpackb(decompress(piece)))
        return last[1]


class Part:
    """What a dict of rows is to a book."""

    __slots__ = ("look", "loose", "piece")

    def __init__(self, look: Look) -> None:
        self.look, self.piece = look, b""
        self.loose: dict[str, bytes | None] = {}

    def get(self, text: str) -> bytes | None:
        if text in self.loose:
            return self.loose[text]
        return self.look.rows(self.piece).get(text)

    def __contains__(self, text: str) -> bool:
        return self.get(text) is not None

    def __setitem__(self, text: str, held: bytes) -> None:
        self.loose[text] = held

    def __delitem__(self, text: str) -> None:
        self.pop(text)

    def pop(self, text: str, default: None = None) -> None:  # noqa: ARG002 - as of a dict
        if self.piece:
            self.loose[text] = None
        else:
            self.loose.pop(text, None)

    def items(self) -> Iterator[tuple[str, bytes]]:
        loose = self.loose
        yield from ((t, held) for t, held in self.look.rows(self.piece).items() if t not in loose)
        yield from ((t, held) for t, held in loose.items() if held is not None)

    def __iter__(self) -> Iterator[str]:
        return (text for text, _ in self.items())

    def __bool__(self) -> bool:
        return next(self.items(), None) is not None

    def copy(self, look: Look) -> Part:
        other = Part(look)
        other.piece, other.loose = self.piece, self.loose.copy()
        return other

    def pack(self, but: Collection[str] = ()) -> None:
        """All that lies loose into the piece, ``but`` for these."""
        stay = {text: held for text, held in self.loose.items() if text in but}
        rows = [row for row in self.items() if row[0] not in stay]
        self.loose = stay
        self.piece = compress(msgpack.packb(rows), LEVEL) if rows else b""


class PackedBook(Book):
    """As a book is, in a third of its memory."""

    __slots__ = ("awaited", "look")

    def __init__(self) -> None:
        super().__init__()
        self.look = Look()
        self.parts = [Part(self.look) for _ in range(PARTS)]  # type: ignore[assignment]
        self.awaited: Collection[str] = ()  # objects that will change next: they are not packed as it is loaded

    @property
    def loose(self) -> int:
        """How many rows lie loose."""
        return sum(len(part.loose) for part in self.parts)

    @property
    def crowded(self) -> bool:
        return self.loose > LOOSE

    def fold(self) -> bool:
        """Pack the FOLD parts that most lies loose of, if LOOSE rows do; whether more is to be packed."""
        loose = self.loose
        if loose <= LOOSE:
            return False
        most = nlargest(FOLD, self.parts, key=lambda part: len(part.loose))
        for part in most:
            loose -= len(part.loose)
            part.pack()
        return loose > LOOSE

    def copy(self) -> PackedBook:
        other = PackedBook()
        self._copy_to(other)
        other.parts = [part.copy(other.look) for part in self.parts]  # type: ignore[attr-defined]
        return other

    def _lay(self, number: int, rows: Mapping[str, bytes | None]) -> None:
        self.parts[number].loose.update(rows)  # type: ignore[attr-defined]

    def _await(self, awaited: Collection[str]) -> None:
        self.awaited = awaited

    def _paged(self, number: int) -> None:
        if self.loose > LOOSE:
            self.parts[number].pack(self.awaited)  # type: ignore[attr-defined]
