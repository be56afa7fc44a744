"""What a daemon decides: which changes need a restart, and what an ingress that hands over may still give out.
No I/O, no clock."""

from __future__ import annotations

from dataclasses import replace

from rushweir import interface as i
from rushweir.config import Config
from rushweir.config.objects import SINGLE
from rushweir.config.text import Problem, Spot

# What a running process is bound to: its sockets, its place in the fleet, and who it counts with.
BOUND = (
    "ingress", "zone", "listen", "path", "state", "list", "peers", "fleet", "budgets", "counter", "control",
    "console", "meter", "settles", "rollout",
)  # fmt: skip
NEARLY_NOTHING = 1e-9  # a second: a ceiling of this rate is still a ceiling, and does not fill


def needs_restart(old: Config, new: Config) -> list[Problem]:
    """The changes that a reload can't make, each with its place in the new settings."""
    start = Spot(str(new.files[0]) if new.files else "", 1, 1)
    found = [
        Problem(new.spots.get((name,), start), f"{name}: a change needs a restart{_instead(name, old, new)}")
        for name in BOUND
        if getattr(old.file, name) != getattr(new.file, name)
    ]
    if old.peer_key != new.peer_key and old.file.peers == new.file.peers:
        found.append(Problem(new.spots.get(("peers", "key_file"), start), "key-file: another key needs a restart"))
    return found


def _instead(name: str, old: Config, new: Config) -> str:
    """What else may be done, or has to be, where one of the two has its shared settings from control processes."""
    if old.file.rollout is None and new.file.rollout is None:
        return ", or serve --take-over"
    # A take-over is refused there. A restart begins with what was kept, which a refused change is not in: it would
    # be refused again, as often as it comes.
    return " without its kept settings" if name in SINGLE else ""


def leaving(settings: i.Settings) -> i.Settings:
    """Settings of an ingress whose successor works beside it already: its ceilings fill no more. What is in them
    was its own; what fills from now on is the successor's, so that both together give out no more than one."""
    plans = tuple(replace(p, ceiling_rate=NEARLY_NOTHING) if p.ceiling_rate else p for p in settings.plans)
    return replace(settings, plans=plans)
