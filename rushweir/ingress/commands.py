"""Commands of the engine to the core and of the core to its shell, as plain records. Times are in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from rushweir import interface

# --- from the engine to the core ------------------------------------------------------------------


@dataclass(slots=True)
class Attempt:
    """One attempt of a request, from the policy's ``Send`` to its one ``Outcome``."""

    request_id: str
    number: int
    node: str
    sent_ms: float
    deadline_ms: float
    payload: dict[str, Any]
    method: str  # the name of the request's class
    ended: bool = False
    result: str = ""  # value of the ``Result`` that it ended with
    ended_ms: float = 0.0


@dataclass(slots=True)
class SendAttempt:
    """Send an attempt to its node."""

    attempt: Attempt


@dataclass(slots=True)
class CancelAttempt:
    """Stop waiting for an attempt."""

    attempt: Attempt


@dataclass(slots=True)
class WithdrawAttempt:
    """Drop an attempt that is not sent yet, since nobody waits for its request; one that is sent goes on."""

    attempt: Attempt


@dataclass(slots=True)
class ExpireAttempt:
    """End an attempt whose deadline has passed: nothing more of it is written, and a later answer is ignored."""

    attempt: Attempt


@dataclass(slots=True)
class Answer:
    """Send a request's one final answer to the connection that it came from."""

    conn: int
    ref: Any  # the front's own reference to the request
    kind: AnswerKind
    body: Any = None  # the node's result, or its error object
    reason: str = ""
    retry_after_ms: float = 0.0
    request_id: str = ""  # by which operators find the request; empty if it was rejected


class AnswerKind:
    """Kinds of final answers: plain strings, since they are compared for each answer and logged."""

    SERVED = "served"
    REFUSED = "refused"  # not executed; a retry does no harm
    FAILED = "failed"  # may have been executed


@dataclass(slots=True)
class SendPeerMessage:
    """Send a message of the policy to another ingress, or to all (``to`` is None)."""

    to: int | None
    text: str


@dataclass(slots=True)
class CallCounter:
    """Add an amount to a named shared counter."""

    name: int
    amount: float
    forget_after_ms: float


@dataclass(slots=True)
class ProbeNode:
    """Probe a node."""

    node: str


@dataclass(slots=True)
class WatchList:
    """Start or stop watching the node list."""

    on: bool


@dataclass(slots=True)
class FetchList:
    """Fetch the node list once."""


@dataclass(slots=True)
class LogEvent:
    """Write an event to the log. ``cause`` is a fixed text, by which events are counted and limited."""

    level: str
    cause: str
    fields: dict[str, Any] = field(default_factory=dict)


# --- from the pool of nodes to the core -----------------------------------------------------------


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended; the fields are those of the interface's ``Outcome``."""

    attempt: Attempt
    result: interface.Result
    body: Any = None
    quota_used: int = 0
    cost: float = 0.0
    load: dict[str, float] | None = None


@dataclass(slots=True)
class ProbeEnded:
    """A probe has ended."""

    node: str
    result: interface.Result
    spent_ms: float
    load: dict[str, float] | None = None


# --- from the core to the shell -------------------------------------------------------------------


@dataclass(slots=True)
class Dial:
    """Open a connection; the core's ``dialed`` or ``dial_failed`` is called at the end."""

    conn: int
    host: str
    port: int
    timeout_ms: float


@dataclass(slots=True)
class Write:
    """Write bytes to a connection."""

    conn: int
    data: bytes


@dataclass(slots=True)
class CloseConnection:
    """Close a connection once its queued bytes are written; abort it after ``within_ms``."""

    conn: int
    within_ms: float = 1000.0


@dataclass(slots=True)
class AbortConnection:
    """Close a connection at once; queued bytes are dropped."""

    conn: int


@dataclass(slots=True)
class SendPeerDatagram:
    """Send a datagram to the ingress with this number."""

    peer: int
    data: bytes


@dataclass(slots=True)
class SaveList:
    """Write the node list to the state folder."""

    data: bytes


@dataclass(slots=True)
class SendDatagram:
    """Send a datagram to an address of a member of the fleet."""

    address: tuple[str, int]
    data: bytes


@dataclass(slots=True)
class SaveFile:
    """Write a file to the state folder, then call the core's ``file_saved`` with the serial."""

    name: str
    serial: int
    data: bytes


@dataclass(slots=True)
class SetPeerAddresses:
    """Replace the addresses of the other ingresses, by their numbers."""

    addresses: dict[int, tuple[str, int]]


@dataclass(slots=True)
class EndProcess:
    """End the process, for this reason."""

    reason: str


EngineCommand = (
    SendAttempt | CancelAttempt | WithdrawAttempt | ExpireAttempt | Answer | SendPeerMessage | CallCounter | ProbeNode
    | WatchList | FetchList | LogEvent
)  # fmt: skip
ShellCommand = (
    Dial | Write | CloseConnection | AbortConnection | SendPeerDatagram | SaveList | SendDatagram | SaveFile
    | SetPeerAddresses | EndProcess | LogEvent
)  # fmt: skip

__all__ = [
    "AbortConnection", "Answer", "AnswerKind", "Attempt", "AttemptEnded", "CallCounter", "CancelAttempt",
    "CloseConnection", "Dial", "EndProcess", "EngineCommand", "ExpireAttempt", "FetchList", "LogEvent", "ProbeEnded",
    "ProbeNode", "SaveFile", "SaveList", "SendAttempt", "SendDatagram", "SendPeerDatagram", "SendPeerMessage",
    "SetPeerAddresses", "ShellCommand", "WatchList", "WithdrawAttempt", "Write",
]  # fmt: skip
