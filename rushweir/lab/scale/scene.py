"""A fleet to be measured: how many, who asks, and the settings that follow from it. No I/O, no clock.

Tenants are ranked: the k-th asks for a k-th of what the first does. The largest ``shared`` have the plan ``ceiling``,
which the fleet lends by budgets to ``doors`` of the ingresses, from another one on for each; the next hundredth of
all have ``large``, those up to a tenth ``middle``, the rest ``small``. The rate of a plan is ``ROOM`` times what the
middle one of its tenants asks for, so that the larger of a plan are refused a part and quotas are at work.
"""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import dataclass

from rushweir.lab.scale.drawn import Route, Tail, Tenants, routes

CLASSES = ("look", "book")
ROOM = 1.5
ZONES = ("a", "b", "c", "d", "e", "f")
PARTNERS_FILE, KEY_FILE = "partners.conf", "peers.key"


@dataclass(frozen=True, slots=True)
class Scene:
    """``members`` in all, ``real`` of them processes of ``rushweir serve``."""

    members: int
    real: int = 0
    seeds: int = 3
    per_s: float = 20.0  # requests of each
    tenants: int = 0  # 0: 23 for each member, as 16,000 before 700
    law: float = 1.0
    routes: int = 100
    shared: int = -1  # tenants whose ceiling is lent; -1: one for each three members
    doors: int = 9  # through which each of these comes
    backends: int = 100
    changes_per_s: float = 1.0  # of the list
    seed: int = 1

    def __post_init__(self) -> None:
        if not 0 <= self.real <= self.members - self.seeds:
            raise ValueError(f"{self.members} members: {self.seeds} hollow ones at least, for they are the seeds")

    @property
    def hollow(self) -> int:
        return self.members - self.real

    def customers(self) -> int:
        return self.tenants or 23 * self.members

    def lent(self) -> int:
        return min(self.customers(), -(-self.members // 3) if self.shared < 0 else self.shared)

    def tail(self) -> Tail:
        return Tail(self.customers(), self.law)

    def route_table(self) -> list[Route]:
        return routes(self.routes, CLASSES)

    def through(self, k: int) -> tuple[int, int]:
        """The first door of a tenant, and how many: each shared ceiling has others, spread over all ingresses."""
        if k >= self.lent() or self.doors >= self.members:
            return 0, self.members
        return k * self.members // self.lent() % self.members, self.doors

    def tenants_at(self, number: int, tail: Tail) -> Tenants:
        """Whose requests come to the ingress with a number."""
        doors = (self.through(k) for k in range(self.lent()))
        own = [k for k, (first, count) in enumerate(doors) if (number - first) % self.members < count]
        return Tenants(tail, self.lent(), own, min(1.0, self.doors / self.members))

    def plan_of(self, k: int) -> str:
        count = self.customers()
        if k < self.lent():
            return "ceiling"
        k -= self.lent()
        return "large" if k < count / 100 else "middle" if k < count / 10 else "small"

    def plan_rates(self) -> dict[str, float]:
        """Units a second of each tenant of a plan."""
        tail, count, total = self.tail(), self.customers(), self.members * self.per_s
        plans = [self.plan_of(k) for k in range(count)]
        found = {}
        for plan in ("ceiling", "large", "middle", "small"):
            ranks = [k for k, p in enumerate(plans) if p == plan]
            if ranks:
                found[plan] = max(0.2, ROOM * total * tail.share(ranks[len(ranks) // 2]))
        return found


def tenant(k: int) -> str:
    return f"tenant-{k:05d}"


def partners_text(scene: Scene, digests: list[str]) -> str:
    """The tenants' settings; ``digests`` of their credentials."""
    out = []
    for k, known in enumerate(digests):
        plan = scene.plan_of(k)
        out += [f"partner {tenant(k)} {{", f"    plan {plan}", f"    credential {known}"]
        if plan == "ceiling":
            out += ["    through {} {}".format(*scene.through(k))]
        out += ["}"]
    return "\n".join(out) + "\n"


def settings_text(
    scene: Scene, place: int, list_url: str, seeds: list[tuple[str, int]], bind: tuple[str, int], listen: int = 0
) -> str:  # fmt: skip
    """The settings of one ingress; paths are relative to its folder, which lies in that of the partners."""
    return "\n".join(_lines(scene, place, list_url, seeds, bind, listen)) + "\n"


def _lines(
    scene: Scene, place: int, list_url: str, seeds: list[tuple[str, int]], bind: tuple[str, int], listen: int
) -> Iterator[str]:  # fmt: skip
    yield from (f"ingress auto {scene.members}", f"zone {ZONES[place % len(ZONES)]}", f"listen 127.0.0.1:{listen}",
                "path /dispatch", "state state", "meter 1000ms", f"include ../{PARTNERS_FILE}",
                "list {", f"    url {list_url}", "}",
                "limits {", "    attempts 3", "    retry-after 5000ms", "    largest-request 2", "}",
                "control {", "    socket control.sock", "}",
                "peers {", f"    bind {bind[0]}:{bind[1]}", f"    key-file ../{KEY_FILE}", "}",
                "fleet {", *(f"    seed {h}:{p}" for h, p in seeds), "}")  # fmt: skip
    yield from ("class look {", "    aim 300ms", "    deadline 2000ms", "    repeat safe", "}",
                "class book {", "    aim 500ms", "    deadline 3000ms", "    worth 4", "}")  # fmt: skip
    for plan, rate in scene.plan_rates().items():
        yield f"plan {plan} {{"
        if plan == "ceiling":
            yield from (f"    ceiling-rate {rate:.3f}/s", f"    ceiling-burst {max(4.0, 3 * rate):.3f}")
        else:
            yield from (f"    rate {rate:.3f}/s", f"    burst {max(2.0, 3 * rate):.3f}")
        yield "}"
