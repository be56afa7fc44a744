"""Asking a running daemon over its Unix socket."""

from __future__ import annotations

import socket
from pathlib import Path
from typing import Any

from rushweir.daemon.control import MOST_ANSWER, Lines
from rushweir.link import rpc

WAIT_S = 30.0  # a reload of 10,000 partners takes some seconds


class NoDaemon(Exception):
    """Nobody answers at the socket."""


class Refused(Exception):
    """The daemon says no; ``problems`` are the settings' errors, if that is why."""

    def __init__(self, text: str, problems: str = "") -> None:
        super().__init__(text)
        self.problems = problems


class Daemon:
    """A connection to a daemon. Raises NoDaemon, Refused."""

    def __init__(self, path: Path, wait_s: float = WAIT_S) -> None:
        self.path, self.serial, self.lines = path, 0, Lines(MOST_ANSWER)
        self.sock = socket.socket(socket.AF_UNIX, socket.SOCK_STREAM)
        self.sock.settimeout(wait_s)
        try:
            self.sock.connect(str(path))
        except OSError as problem:
            self.sock.close()
            raise NoDaemon(f"no daemon at {path}: {problem.strerror or problem}") from None

    def ask(self, method: str, **params: Any) -> Any:
        self.serial += 1
        try:
            self.sock.sendall(rpc.call(method, params, self.serial) + b"\n")
            while True:
                data = self.sock.recv(1 << 16)
                if not data:
                    raise NoDaemon(f"the daemon at {self.path} ended before it answered")
                if found := self.lines.feed(data):
                    break
        except OSError as problem:
            raise NoDaemon(f"the daemon at {self.path} does not answer: {problem}") from None
        reply = rpc.parse(found[0])
        if not isinstance(reply, rpc.Reply):
            raise NoDaemon(f"what answers at {self.path} is no daemon of ours")
        if reply.error is not None:
            raise Refused(reply.error.get("message", ""), (reply.error.get("data") or {}).get("problems", ""))
        return reply.result

    def close(self) -> None:
        self.sock.close()
