"""The format of record files that survive a kill, without I/O: magic bytes that name the format, then records.

    record  length(4) crc32(4) payload          big-endian; the checksum covers length and payload

The end of a file may be torn: reading stops at the first incomplete record, and ``valid_end`` tells where the file is
to be truncated before anything is appended. A bad record with good ones behind it is no torn end but damage, and is
reported as such. Damage to the last record alone can't be told from a torn end.
"""

from __future__ import annotations

from collections.abc import Iterator
from struct import Struct
from zlib import crc32

HEAD = Struct(">II")


class FrameError(ValueError):
    """Another format, or damage that is no torn end; ``offset``: the byte where it begins."""

    def __init__(self, text: str, offset: int = 0) -> None:
        super().__init__(text)
        self.offset = offset


class RecordFormat:
    """Encodes and decodes the records of one format."""

    def __init__(self, magic: bytes, max_payload: int, min_payload: int = 3) -> None:
        """``max_payload``, ``min_payload``: bytes; shorter ones are invalid, so that a hole of zeros is no record."""
        self.magic = magic
        self.max_payload = max_payload
        self.min_payload = min_payload

    def frame(self, payload: bytes) -> bytes:
        """The record of a payload."""
        return HEAD.pack(len(payload), crc32(payload, len(payload))) + payload

    def payloads(self, data: bytes) -> Iterator[tuple[int, bytes]]:
        """The end offset and payload of each complete record. Raises FrameError if the format is another."""
        if not data:
            return
        if data[: len(self.magic)] != self.magic:
            if self.magic.startswith(data):  # torn within its magic bytes
                return
            raise FrameError("not of this format, or of another version")
        offset = len(self.magic)
        while (found := self._record_at(data, offset)) is not None:
            offset, payload = found
            yield offset, payload

    def valid_end(self, data: bytes) -> int:
        """The number of valid bytes, up to the torn end.

        Raises FrameError if complete records follow what looks torn: then something else than a kill happened to the
        file, and truncating it would lose them.
        """
        end = len(self.magic) if data[: len(self.magic)] == self.magic else 0
        for end, _ in self.payloads(data):  # noqa: B007 - the last one counts
            pass
        for offset in range(end + 1, min(len(data) - HEAD.size, end + self.max_payload + HEAD.size)):
            if self._record_at(data, offset) is not None:
                raise FrameError(f"damaged at byte {end}: complete records follow from byte {offset}", end)
        return end

    def _record_at(self, data: bytes, offset: int) -> tuple[int, bytes] | None:
        """The end offset and payload of the record that begins here; None if there is no complete one."""
        if offset + HEAD.size > len(data):
            return None
        length, checksum = HEAD.unpack_from(data, offset)
        end = offset + HEAD.size + length
        if not self.min_payload <= length <= self.max_payload or end > len(data):
            return None
        payload = data[offset + HEAD.size : end]
        return (end, payload) if crc32(payload, length) == checksum else None
