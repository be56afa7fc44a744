"""Handing sockets from a running daemon to its successor, over the operators' socket (SCM_RIGHTS, unix(7)).

    successor                        predecessor
    handover ----------------------> listening sockets, lock   (both accept from here on)
    (starts, is ready)
    handover.done -----------------> stops accepting; answers what is open; ends

Listening sockets are shared, not opened anew, so that at no moment nobody listens, and what waits in their queue
is lost by nobody. A successor that dies before it is ready changes nothing.
"""

from __future__ import annotations

import socket
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import orjson

from rushweir.link import rpc

MOST_SOCKETS = 8
WAIT_S = 10.0


class HandoverError(Exception):
    """The running daemon does not hand over; the text says why."""


@dataclass
class Inherited:
    """What a predecessor handed over: descriptors by name, and the connection on which it waits for a word."""

    sock: socket.socket
    fds: dict[str, int] = field(default_factory=dict)
    facts: dict[str, Any] = field(default_factory=dict)

    def socket(self, name: str) -> socket.socket | None:
        fd = self.fds.get(name)
        return None if fd is None else socket.socket(fileno=fd)

    def done(self) -> dict[str, Any]:
        """Tell the predecessor that it may go."""
        self.sock.sendall(rpc.call("handover.done", None, 2) + b"\n")
        data = b""
        while not data.endswith(b"\n"):
            got = self.sock.recv(65536)
            if not got:
                break
            data += got
        self.sock.close()
        return orjson.loads(data or b"{}")


def take_over(path: Path) -> Inherited:
    """Ask the daemon behind a socket for its sockets. Raises HandoverError."""
    sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
    sock.settimeout(WAIT_S)
    try:
        sock.connect(str(path))
        sock.sendall(rpc.call("handover", None, 1) + b"\n")
        data, fds, _, _ = socket.recv_fds(sock, 65536, MOST_SOCKETS)
    except OSError as problem:
        sock.close()
        raise HandoverError(f"no daemon to take over from at {path}: {problem}") from None
    message = rpc.parse(data.strip() or b"null")
    if not isinstance(message, rpc.Reply) or message.error is not None or not isinstance(message.result, dict):
        sock.close()
        raise HandoverError(f"not handed over: {message.error['message'] if message.error else 'no answer'}")
    names = message.result["sockets"]
    return Inherited(sock, dict(zip(names, fds, strict=True)), message.result)
