"""A member's view of its fleet for operators, as plain rows. No I/O."""

from __future__ import annotations

from math import inf
from typing import TYPE_CHECKING, Any

from rushweir.fleet import members, views

if TYPE_CHECKING:
    from rushweir.fleet.core import Fleet


def status(fleet: Fleet) -> dict[str, Any]:
    """Returns how this member sees the fleet; the keys are part of the operators' interface."""
    age = fleet.view_age()
    return {
        "id": f"{fleet.me:016x}", "number": fleet.slot(), "view": fleet.view.number,
        "view_age_ms": None if age == inf else round(age), "current": fleet.is_view_current(),
        "confirmed_by": list(fleet.confirming_seeds), "chair": fleet.is_leader(), "refused": fleet.refusal_reason,
        "members": [
            {
                "id": f"{m.id:016x}", "address": "{}:{}".format(*m.address), "zone": m.zone,
                "state": members.STATE_NAMES[m.state],
                "incarnation": m.incarnation, "number": fleet.view.slot_of(m.id),
            }
            for m in sorted(fleet.members.known.values(), key=lambda m: m.address)
        ],
        "seats": [
            {"number": n, "address": "{}:{}".format(*s.address), "state": views.STATE_NAMES[s.state]}
            for n, s in sorted(fleet.view.slots.items())
        ],
        "counts": dict(fleet.counts) | {f"frames_{k}": v for k, v in fleet.frames.counts.items()},
    }  # fmt: skip
