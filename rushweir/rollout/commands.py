"""What a control process asks of those who carry it out, and tells them. Plain records."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from rushweir.rollout.change_sets import ChangeSet, Key

Objects = dict[Key, tuple[int, bytes]]  # each object that there is: the step that last changed it, its data


@dataclass(slots=True)
class Send:
    """One message to another control process, over a stream that keeps order while it holds."""

    peer: int
    body: list[Any]


@dataclass(slots=True)
class Append:
    """Write these records behind the log so that they outlive a crash, then say ``kept`` with the serial; of several
    the last is enough. Appends and rewrites are carried out in the order in which they came."""

    serial: int
    records: tuple[list[Any], ...]


@dataclass(slots=True)
class Rewrite:
    """Replace the whole log by these records, atomically, then say ``kept`` with the serial. They are made while they
    are read, beside the loop if one likes: what they are made of stays as it is until then."""

    serial: int
    records: Iterable[list[Any]]


@dataclass(slots=True)
class Compact:
    """Make the file anew, shorter, when it suits: these records, and behind them all that was asked for after this
    serial. Nothing waits for it, and whoever is killed before has lost nothing. Say ``folded`` with the serial when
    the new file is in place. A ``Rewrite`` after it ends it. The records are made as a Rewrite's."""

    serial: int
    records: Iterable[list[Any]]


@dataclass(slots=True)
class Committed:
    """A change set is committed. In order of versions, without a gap except at ``SnapshotInstalled``."""

    change_set: ChangeSet


@dataclass(slots=True)
class SnapshotInstalled:
    """This process was so far behind that it took the whole: ``number`` is in force, ``objects`` is all there is."""

    version: int
    objects: Objects


@dataclass(slots=True)
class ProposalAnswered:
    """What became of a proposal: the number of its step, which is in force now, or why not.

    ``leader`` is whom to ask instead, -1: nobody known. ``unsure``: it may come into force yet; nobody was told so.
    """

    request_id: int
    version: int | None
    reason: str = ""
    leader: int = -1
    unsure: bool = False


@dataclass(slots=True)
class LogEvent:
    """For the log."""

    level: str
    cause: str
    fields: dict[str, Any] = field(default_factory=dict)


Command = Send | Append | Rewrite | Compact | Committed | SnapshotInstalled | ProposalAnswered | LogEvent
