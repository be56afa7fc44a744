"""Files of records that outlive a kill, without I/O: a few first bytes that name the format, then records.

    record  length(4) crc32(4) payload          big-endian; the checksum is over length and payload

The end of a file may be torn: reading stops at the first record that is not whole, and says how many bytes were good,
so that the file is cut there before anything is written behind it. A record that is wrong in the middle, with good
ones behind it, is no torn tail but damage, and is told apart. What can't be told apart from a torn tail is damage to
the last record alone.
"""

from __future__ import annotations

from collections.abc import Iterator
from struct import Struct
from zlib import crc32

HEAD = Struct(">II")


class FrameError(ValueError):
    """Another format, or damage that is no torn end; ``at``: the byte."""

    def __init__(self, text: str, at: int = 0) -> None:
        super().__init__(text)
        self.offset = at


class RecordFormat:
    """How the records of one format are read and written."""

    def __init__(self, magic: bytes, most: int, least: int = 3) -> None:
        """``most``, ``least``: bytes of a payload; shorter ones are none, so that a hole of zeros is no record."""
        self.magic, self.max_payload, self.min_payload = magic, most, least

    def frame(self, payload: bytes) -> bytes:
        return HEAD.pack(len(payload), crc32(payload, len(payload))) + payload

    def payloads(self, data: bytes) -> Iterator[tuple[int, bytes]]:
        """Each whole record's payload and where it ends. Raises FrameError where the format is another."""
        if not data:
            return
        if data[: len(self.magic)] != self.magic:
            if self.magic.startswith(data):  # torn within its first bytes
                return
            raise FrameError("not of this format, or of another version")
        at = len(self.magic)
        while (found := self._whole(data, at)) is not None:
            at, payload = found
            yield at, payload

    def valid_end(self, data: bytes) -> int:
        """How many bytes are good: up to the torn end. Raises FrameError where whole records lie behind what is
        torn: then something else than a kill happened to the file, and cutting it would lose what is behind."""
        end = len(self.magic) if data[: len(self.magic)] == self.magic else 0
        for end, _ in self.payloads(data):  # noqa: B007 - the last one counts
            pass
        for at in range(end + 1, min(len(data) - HEAD.size, end + self.max_payload + HEAD.size)):
            if self._whole(data, at) is not None:
                raise FrameError(f"damaged at byte {end}: whole records lie behind it, from byte {at}", end)
        return end

    def _whole(self, data: bytes, at: int) -> tuple[int, bytes] | None:
        """Where the record that begins here ends, and its payload; None where there is no whole one."""
        if at + HEAD.size > len(data):
            return None
        length, check = HEAD.unpack_from(data, at)
        end = at + HEAD.size + length
        if not self.min_payload <= length <= self.max_payload or end > len(data):
            return None
        payload = data[at + HEAD.size : end]
        return (end, payload) if crc32(payload, length) == check else None
