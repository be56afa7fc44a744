"""What an ingress's side of the distribution orders its shell to do. Records; no I/O, no clock."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any

from rushweir.rollout import watch_mail as mail
from rushweir.rollout.change_sets import Change, Key
from rushweir.rollout.kept import Append, Rewrite
from rushweir.rollout.watching_ahead import Frozen


@dataclass(frozen=True, slots=True)
class Send:
    conn: int
    data: bytes


@dataclass(frozen=True, slots=True)
class Apply:
    """All of it or nothing, answered by ``applied`` or ``refused``."""

    what: Frozen
    version: int

    @property
    def changes(self) -> tuple[Change, ...]:
        """Worked out when first asked for; may be beside the loop, which takes 1 ms for 60 objects."""
        return self.what.changes

    @property
    def passed(self) -> Mapping[Key, tuple[bytes, ...] | None]:
        """What objects were in versions between; None: not known."""
        return self.what.passed


@dataclass(frozen=True, slots=True)
class Keep:
    """For the disk, in the order given; answered by ``kept`` or ``keep_failed``."""

    what: Append | Rewrite
    version: int


@dataclass(frozen=True, slots=True)
class Note:
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
        return f"{' '.join(self.key)}: {self.field}: {self.text}"[: mail.MOST_TEXT]
