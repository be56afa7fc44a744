"""Ports for processes that are told where to listen before they do."""

from __future__ import annotations

import contextlib
import random
import socket
from collections import deque

# Below the range from which systems give ports to connections that go out and to those who ask for any: one from
# within it may be given to somebody else before whoever was told of it listens, and while a process is down that is
# to find its own again.
PORTS, PORT_TRIES = (12_000, 32_000), 100
KEPT = 1000  # given last; none of them is given again
_ports = random.SystemRandom()  # several days at once on one machine draw different ones
_given: deque[int] = deque(maxlen=KEPT)


def free_port(kind: int = socket.SOCK_STREAM) -> int:
    """A port on 127.0.0.1 that nobody has now, that the system gives to nobody by chance, and that is none of the
    last ``KEPT`` given here: whoever was told of one need not listen before the next is asked for.

    Raises OSError where none is found in ``PORT_TRIES`` tries."""
    for _ in range(PORT_TRIES):
        port = _ports.randrange(*PORTS)
        if port in _given:
            continue
        with socket.socket(socket.AF_INET, kind) as sock, contextlib.suppress(OSError):
            sock.bind(("127.0.0.1", port))
            _given.append(port)
            return port
    raise OSError(f"no free port from {PORTS[0]} to {PORTS[1]}")
