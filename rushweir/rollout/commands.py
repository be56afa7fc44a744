"""Commands that a control process's core gives to its shell, and what it reports to it. Plain records."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from rushweir.rollout.change_sets import ChangeSet, Key

Objects = dict[Key, tuple[int, bytes]]  # existing objects: the version that last changed each, and its data


@dataclass(slots=True)
class Send:
    """Send one message to another control process, over a stream that keeps order as long as it lasts."""

    peer: int
    body: list[Any]


@dataclass(slots=True)
class Append:
    """Append these records to the log file durably, then call ``persisted`` with the serial.

    Of several appends one call with the last serial is enough. Appends and rewrites are carried out in order."""

    serial: int
    records: tuple[list[Any], ...]


@dataclass(slots=True)
class Rewrite:
    """Replace the log file by these records, atomically, then call ``persisted`` with the serial.

    The records are generated while they are read, which may be outside the event loop: their source does not change
    until the call."""

    serial: int
    records: Iterable[list[Any]]


@dataclass(slots=True)
class Compact:
    """Replace the log file, when convenient, by these records and all that was appended after this serial.

    Nothing waits for it, and a kill before it is done loses nothing. Call ``compacted`` with the serial when the new
    file is in place. A later ``Rewrite`` cancels it. The records are generated as those of ``Rewrite``."""

    serial: int
    records: Iterable[list[Any]]


@dataclass(slots=True)
class Committed:
    """A change set is committed. In order of versions, without a gap except at ``SnapshotInstalled``."""

    change_set: ChangeSet


@dataclass(slots=True)
class SnapshotInstalled:
    """This process lagged and took a snapshot: ``objects`` are all there are at the committed ``version``."""

    version: int
    objects: Objects


@dataclass(slots=True)
class ProposalAnswered:
    """The result of a proposal: the version of its change set, which is committed, or the reason why it is not.

    ``leader`` is the process to ask instead, -1: unknown. ``unsure``: the change set may still be committed; no
    success was reported to anyone.
    """

    request_id: int
    version: int | None
    reason: str = ""
    leader: int = -1
    unsure: bool = False


@dataclass(slots=True)
class LogEvent:
    """Write a log event with this level, cause and fields."""

    level: str
    cause: str
    fields: dict[str, Any] = field(default_factory=dict)


Command = Send | Append | Rewrite | Compact | Committed | SnapshotInstalled | ProposalAnswered | LogEvent
