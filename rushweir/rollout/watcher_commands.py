"""What an ingress's side of the distribution orders its shell to do. Records; no I/O, no clock."""

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
    conn: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Apply:
    """All of it or nothing, answered by ``applied`` or ``refused``."""

    layer: FrozenLayer
    version: int

    @property
    def changes(self) -> tuple[Change, ...]:
        """Worked out when first asked for; may be beside the loop, which takes 1 ms for 60 objects."""
        return self.layer.changes

    @property
    def intermediate_values(self) -> Mapping[Key, tuple[bytes, ...] | None]:
        """What objects were in versions between; None: not known."""
        return self.layer.intermediate_values


@dataclass(frozen=True, slots=True)
class Persist:
    """For the disk, in the order given; answered by ``kept`` or ``persist_failed``."""

    operation: Append | Rewrite
    version: int


@dataclass(frozen=True, slots=True)
class LogEvent:
    level: str
    event: str
    fields: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Refusal:
    version: int
    key: Key
    field: str
    text: str

    def why(self) -> str:
        return f"{' '.join(self.key)}: {self.field}: {self.text}"[: watch_channel.MAX_TEXT_CHARS]
