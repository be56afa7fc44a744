"""Telling a service manager how the daemon stands (sd_notify(3)): datagrams to the socket that it names."""

from __future__ import annotations

import contextlib
import os
import socket
import time


def notify(*lines: str) -> bool:
    """Send lines such as ``READY=1``; whether somebody wanted to know. Never an error: who can't be told is not
    told."""
    where = os.environ.get("NOTIFY_SOCKET", "")
    if not where.startswith(("/", "@")):
        return False
    address = "\0" + where[1:] if where[0] == "@" else where
    with contextlib.suppress(OSError), socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as sock:
        sock.setblocking(False)
        sock.sendto("\n".join(lines).encode(), address)
        return True
    return False


def reloading() -> str:
    """sd_notify(3): RELOADING=1 comes with the monotonic time, so that it can't be taken for an older one."""
    return f"RELOADING=1\nMONOTONIC_USEC={time.monotonic_ns() // 1000}"
