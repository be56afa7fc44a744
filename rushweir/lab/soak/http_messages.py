"""HTTP/1.1 messages as the stand-ins of the soak read and write them: a length, and nothing chunked."""

from __future__ import annotations

import asyncio
import re
from dataclasses import dataclass

LENGTH = re.compile(rb"\r\ncontent-length: *(\d+)", re.IGNORECASE)


@dataclass(frozen=True, slots=True)
class Message:
    """A request or an answer. ``start`` is its first line."""

    start: str
    fields: dict[str, str]
    body: bytes


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads one message. Raises IncompleteReadError where the connection ends before its end, and OSError."""
    head = await reader.readuntil(b"\r\n\r\n")
    length = LENGTH.search(head)
    body = await reader.readexactly(int(length[1])) if length else b""
    start, *lines = head.decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines if ":" in line)
    return Message(start, {name.strip().lower(): value.strip() for name, value in pairs}, body)


def answer(status: int, body: bytes = b"", fields: str = "") -> bytes:
    """Returns the bytes of an answer; ``fields``: further lines, each with its end."""
    return f"HTTP/1.1 {status} -\r\n{fields}Content-Length: {len(body)}\r\n\r\n".encode() + body
