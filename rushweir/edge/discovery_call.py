"""One call of discovery: when its answer is late, and the entries of the list in it. No I/O."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

from rushweir import interface
from rushweir.discovery.source import UpdateError, server_from_fields, split_host_port, text_field
from rushweir.edge.backend_links import Endpoint
from rushweir.edge.http import AnswerReader

ANSWER_TIMEOUT_MS = 750.0  # beyond the wait; the agent is on this machine and answers at once
MAX_ANSWER_TIMEOUT_MS = 3_000.0  # where it is slow
ANSWER_TIMEOUT_DELAYS = 1.5  # the timeout, in multiples of the last answer's delay
NO_ENDPOINT = Endpoint("", 0)
STATES = {"Ready": interface.State.READY, "Terminating": interface.State.DRAINING, "Gone": interface.State.GONE}


@dataclass(slots=True)
class Call:
    """One call of discovery. Its answer takes ``wait_ms`` where nothing changes, and the delay of discovery."""

    conn: int
    reader: AnswerReader
    sent_at: float
    wait_ms: float

    def delay_ms(self, now: float) -> float:
        """How long after the wait the answer came that is read now; 0 if it came before."""
        return max(0.0, now - self.sent_at - self.wait_ms)

    def next_timeout_ms(self, now: float) -> float:
        """The timeout of the next call, after the answer to this one."""
        return min(max(ANSWER_TIMEOUT_DELAYS * self.delay_ms(now), ANSWER_TIMEOUT_MS), MAX_ANSWER_TIMEOUT_MS)


def parse_server(entry: Any, where: str) -> tuple[interface.Server, Endpoint]:
    """Returns the server and endpoint of an entry of a list. Raises UpdateError, which names the field."""
    if not isinstance(entry, dict):
        raise UpdateError(f"{where}: must be an object")
    name, state = text_field(entry, "id", where), text_field(entry, "state", where, "")
    host, port = split_host_port(text_field(entry, "addr", where, ""))
    if state != "Gone" and port == 0:
        raise UpdateError(f"{where}.addr: must be host:port")
    if state not in STATES:
        raise UpdateError(f"{where}.state: unknown: {state[:40]!r}")
    server = server_from_fields(entry, where, name, "started_ms", STATES[state])
    return server, Endpoint(host, port, server.online_since_ms)
