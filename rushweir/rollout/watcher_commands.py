"""Commands of a watcher to its shell. Records; no I/O, no clock."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from rushweir.rollout import watch_channel
from rushweir.rollout.change_sets import Change, Key
from rushweir.rollout.reorder_buffer import FrozenLayer
from rushweir.rollout.stored_settings import Append, Rewrite


@dataclass(frozen=True, slots=True)
class Send:
    """Send a message on a connection."""

    conn: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Apply:
    """Apply all changes of a layer or none of them; answered by ``applied`` or ``refused``."""

    layer: FrozenLayer
    version: int

    @property
    def changes(self) -> tuple[Change, ...]:
        """The changes, computed at the first use; 60 objects take 1 ms, so large ones belong in a thread."""
        return self.layer.changes

    @property
    def intermediate_values(self) -> Mapping[Key, tuple[bytes, ...] | None]:
        """Data that objects had in intermediate versions; None: unknown."""
        return self.layer.intermediate_values


@dataclass(frozen=True, slots=True)
class Persist:
    """Write to the disk, in the order of the commands; answered by ``persisted`` or ``persist_failed``."""

    operation: Append | Rewrite
    version: int


@dataclass(frozen=True, slots=True)
class LogEvent:
    """Write a log event."""

    level: str
    event: str
    fields: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Refusal:
    """A version that could not be applied, with the object and the field that are at fault."""

    version: int
    key: Key
    field: str
    text: str

    def reason(self) -> str:
        """The refusal as one line of at most MAX_TEXT_CHARS characters."""
        return f"{' '.join(self.key)}: {self.field}: {self.text}"[: watch_channel.MAX_TEXT_CHARS]
