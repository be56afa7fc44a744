"""Ingresses that break one rule each, on purpose: the checker must catch every one of them.

    python -m rushweir.lab.sabotage KIND serve FILE
    python -m rushweir.lab.sabotage KIND run            # the platform's, by EDGE_CONFIG

``lost``: answers are dropped now and then. ``twice``: some requests are answered two times. ``repeat``: what may
have run is sent again to wherever. ``drain``: news of draining and gone nodes is not believed. ``cold``: a cold
node is taken for the best of all. ``ceiling``: plans have no ceiling. ``parts``: rights to a shared ceiling never
end. None of this is reachable from the program.
"""

from __future__ import annotations

import sys
from collections.abc import Callable
from dataclasses import replace

from rushweir import interface as i
from rushweir.budgets.core import Budgets
from rushweir.budgets.records import BudgetTotal, HeldLease, Share
from rushweir.config.load import Config
from rushweir.edge import config as edge_config
from rushweir.edge.front import ClientConnection as HttpConnection
from rushweir.ingress import commands as c
from rushweir.ingress.clients import Clients
from rushweir.ingress.known_nodes import KnownNodes
from rushweir.ingress.signals import Signals
from rushweir.pending_requests import PendingRequest
from rushweir.policy import gateway_policy, in_flight_capacity, load_balancing


def lost() -> None:
    """Rule 1: every fifth answer is forgotten."""
    real, seen = Clients.answer, [0]

    def answer(self: Clients, command: c.Answer) -> None:
        seen[0] += 1
        if seen[0] % 5:
            real(self, command)

    Clients.answer = answer


def twice() -> None:
    """Rule 1: every fifth answer is given two times."""
    real, seen = Clients.answer, [0]

    def answer(self: Clients, command: c.Answer) -> None:
        real(self, command)
        seen[0] += 1
        if not seen[0] % 5:
            real(self, command)

    Clients.answer = answer
    write = HttpConnection._write_answer

    def write_twice(self: HttpConnection, status: int, body: bytes, more: bytes = b"") -> None:
        write(self, status, body, more)
        seen[0] += 1
        if not seen[0] % 5:
            self.writes.append(self.writes[-1])

    HttpConnection._write_answer = write_twice


def change_settings(change: Callable[[i.Settings], i.Settings]) -> None:
    """All ingresses, whichever program, act on changed settings."""
    of_config, of_platform = Config.settings, edge_config.parse_settings
    Config.settings = lambda self: change(of_config(self))
    edge_config.parse_settings = lambda options: change(of_platform(options))


def repeat() -> None:
    """Rule 2: each class is taken for safe to repeat, and attempts for lost after a moment."""
    real = Config.settings
    Config.settings = lambda self: replace(
        real(self), classes=tuple(replace(k, effect=i.Effect.SAFE) for k in real(self).classes)
    )
    # The platform's front takes a class's method from its effect, so there the module alone forgets what has run.
    retry = gateway_policy.Policy.retry_or_finish

    def retry_what_ran(self: gateway_policy.Policy, pending: PendingRequest) -> object:
        pending.first_executed = None
        return retry(self, pending)

    gateway_policy.Policy.retry_or_finish = retry_what_ran
    (
        gateway_policy.ATTEMPT_LIMIT_AIM_SHARE,
        gateway_policy.ATTEMPT_LIMIT_MEDIANS,
        gateway_policy.RETRY_TOKENS_PER_SUCCESS,
    ) = 0.02, 0.2, 5.0


def drain() -> None:
    """Rule 3: whatever the list says, a node once known stays ready."""
    real = KnownNodes.apply_update

    def apply_update(self: KnownNodes, update) -> None:
        ready = tuple(replace(s, state=i.State.READY) for s in update.servers)
        scope = i.Scope.DELTA if self.effective else update.scope
        real(self, replace(update, servers=ready, scope=scope))

    KnownNodes.apply_update = apply_update


def cold() -> None:
    """Rule 4: the node that started last gets everything, and there is always room."""
    in_flight_capacity.InFlightCapacity.find_partitions = lambda self, name, units, keep, now: [0]

    def choose(self, now, allowed, avoid):
        return max(self.ready_servers, key=lambda b: b.entry.online_since_ms, default=None)

    load_balancing.ServerPool.choose = choose


def ceiling() -> None:
    """Rule 5: the ceiling is as high as can be, and the quota as well."""

    def without_ceilings(s: i.Settings) -> i.Settings:
        return replace(
            s, plans=tuple(replace(p, ceiling_rate=0.0, rate=p.rate * 100, burst=p.burst * 100) for p in s.plans)
        )

    change_settings(without_ceilings)
    in_flight_capacity.InFlightCapacity.find_partitions = lambda self, name, units, keep, now: [0]


def parts() -> None:
    """Of a shared ceiling each ingress takes what it was lent for its own, for good, and its floor thrice."""
    real = Budgets.minimum_share
    Budgets.expire_leases = lambda self, now: None

    def floor(self: Budgets, key: int, whole: BudgetTotal) -> Share:
        once = real(self, key, whole)
        return once + once + once

    def told(self: Budgets, key: int, h: HeldLease, add: int) -> None:
        h.expires_at = max(h.expires_at, self.fleet.now + 3_600_000.0) if h.share.rate else h.expires_at
        tell(self, key, h, add)

    tell, Budgets.minimum_share, Budgets._report_share = Budgets._report_share, floor, told


KINDS = {f.__name__: f for f in (lost, twice, repeat, drain, cold, ceiling)}
SHARED = {parts.__name__: parts}  # where ceilings are shared by a fleet


def main() -> None:
    kinds = KINDS | SHARED
    if len(sys.argv) < 3 or sys.argv[1] not in kinds:
        print(f"usage: sabotage {{{','.join(kinds)}}} {{serve FILE|run}}", file=sys.stderr)
        sys.exit(2)
    if sys.argv[2] == "run":
        signals = Signals()
        signals.install()
        kinds[sys.argv[1]]()
        from rushweir.edge.service import run

        sys.exit(run(signals))
    kinds[sys.argv[1]]()
    from rushweir.cli.main import main as cli

    cli(args=sys.argv[2:], prog_name="rushweir")


if __name__ == "__main__":
    main()
