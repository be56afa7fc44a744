"""HTTP/1.1 messages as the stand-ins read and write them."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Message:
    """A request or an answer; ``start`` is its first line, header names are in lower case."""

    start: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.start.split(" ")[1])


async def read_message(reader: asyncio.StreamReader) -> Message:
    """Reads a message that has a length or no body. Raises IncompleteReadError or OSError where it ends early."""
    head = await reader.readuntil(b"\r\n\r\n")
    start, *lines = head[:-4].decode("latin-1").split("\r\n")
    pairs = (line.partition(":") for line in lines)
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Message(start, headers, body)


def answer_bytes(status: int, body: bytes, headers: str = "") -> bytes:
    """Returns an answer with a length; ``headers``: further lines, each with its end."""
    return f"HTTP/1.1 {status} -\r\n{headers}Content-Length: {len(body)}\r\n\r\n".encode() + body
