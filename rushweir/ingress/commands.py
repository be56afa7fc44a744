"""What the engine and the core ask of those who carry it out. Plain records; times in milliseconds."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

from rushweir import interface as i

# --- the engine to the core -----------------------------------------------------------------------


@dataclass(slots=True)
class Attempt:
    """One attempt of a request, from the policy's Send to its one Outcome."""

    request_id: str
    number: int
    server: str
    sent_ms: float
    until_ms: float
    payload: dict[str, Any]
    method: str
    ended: bool = False
    result: str = ""  # how it ended ...
    ended_ms: float = 0.0  # ... and when


@dataclass(slots=True)
class SendAttempt:
    attempt: Attempt


@dataclass(slots=True)
class CancelAttempt:
    attempt: Attempt


@dataclass(slots=True)
class WithdrawAttempt:
    """Nobody waits for it any more: what of it is not on its way to the node never goes."""

    attempt: Attempt


@dataclass(slots=True)
class ExpireAttempt:
    """Its time is up: nothing of it may be written any more, and what comes back is late."""

    attempt: Attempt


@dataclass(slots=True)
class Answer:
    """The one final answer of a request, for the connection it came by."""

    conn: int
    ref: Any
    kind: AnswerKind
    body: Any = None  # the node's result, or its error object
    why: str = ""
    retry_after_ms: float = 0.0
    request_id: str = ""  # by which operators find the request; none where it was not taken


class AnswerKind:
    """Kinds of final answers. (Plain text instead of an Enum: compared on each answer, and logged.)"""

    SERVED = "served"
    REFUSED = "refused"  # not done; trying again is harmless
    FAILED = "failed"  # promises nothing


@dataclass(slots=True)
class SendPeerMessage:
    to: int | None
    text: str


@dataclass(slots=True)
class CallCounter:
    name: int
    amount: float
    forget_after_ms: float


@dataclass(slots=True)
class ProbeNode:
    server: str


@dataclass(slots=True)
class WatchList:
    on: bool


@dataclass(slots=True)
class FetchList:
    pass


@dataclass(slots=True)
class LogEvent:
    """A line for the log. ``cause`` is fixed text, so that lines of one cause can be counted and limited."""

    level: str
    cause: str
    fields: dict[str, Any] = field(default_factory=dict)


# --- the pool of nodes to the core ---------------------------------------------------------------


@dataclass(slots=True)
class AttemptEnded:
    """How an attempt ended, for the engine."""

    attempt: Attempt
    result: i.Result
    body: Any = None
    used: int = 0
    cost: float = 0.0
    load: dict[str, float] | None = None


@dataclass(slots=True)
class ProbeEnded:
    server: str
    result: i.Result
    spent_ms: float
    load: dict[str, float] | None = None


# --- the core to the shell ------------------------------------------------------------------------


@dataclass(slots=True)
class Dial:
    """Open a connection; ends in ``dialed`` or ``dial_failed``."""

    conn: int
    host: str
    port: int
    timeout_ms: float


@dataclass(slots=True)
class Write:
    conn: int
    data: bytes


@dataclass(slots=True)
class CloseConnection:
    """Write out what is queued, then end the connection; within ``within_ms``, else abort it."""

    conn: int
    within_ms: float = 1000.0


@dataclass(slots=True)
class AbortConnection:
    conn: int


@dataclass(slots=True)
class SendPeerDatagram:
    peer: int
    data: bytes


@dataclass(slots=True)
class SaveList:
    data: bytes


@dataclass(slots=True)
class SendDatagram:
    """A datagram to where a member of the fleet said that it is."""

    address: tuple[str, int]
    data: bytes


@dataclass(slots=True)
class SaveFile:
    """Keep a file in the state folder, then tell ``file_saved`` its serial."""

    name: str
    serial: int
    data: bytes


@dataclass(slots=True)
class SetPeerAddresses:
    """Where the ingresses are from now on, by their numbers."""

    addresses: dict[int, tuple[str, int]]


@dataclass(slots=True)
class EndProcess:
    """This process may not go on."""

    why: str


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
