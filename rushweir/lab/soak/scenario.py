"""What a play of the soak consists of: drawn from its seed, and from nothing else."""

from __future__ import annotations

import random
import signal
from dataclasses import dataclass
from typing import Any

SERVE, RUN = "serve", "run"
PROGRAMS = (SERVE, RUN)

# The platform's page: SIGKILL follows SIGTERM after the longest deadline, 3 s at most, and so much more.
MAX_DEADLINE_MS, KILL_MARGIN_MS = 3_000.0, 700.0
# New connections come for so long after SIGTERM.
NEW_CONNECTIONS_MS = (200.0, 400.0)
MAX_REQUESTS_PER_S = 250.0
PAUSE_MS = 150.0  # an ingress may be stopped for so long between two turns
SAFE, KEYED, UNSAFE = "safe", "keyed", "unsafe"

HUP, TERM, INT = signal.SIGHUP, signal.SIGTERM, signal.SIGINT
# Offsets in milliseconds from the first signal that ends the process.
SERIES: tuple[tuple[tuple[float, signal.Signals], ...], ...] = (
    ((0.0, TERM),),
    ((-60.0, HUP), (-40.0, HUP), (-20.0, HUP), (-10.0, HUP), (-1.0, HUP), (0.0, TERM)),
    ((-0.2, HUP), (0.0, TERM), (0.2, HUP), (30.0, HUP), (500.0, HUP)),
    ((0.0, TERM), (1.0, TERM), (400.0, TERM)),
    ((0.0, TERM), (20.0, INT), (21.0, HUP), (800.0, TERM)),
    ((0.0, INT), (5.0, HUP), (60.0, TERM)),
)


@dataclass(frozen=True, slots=True)
class RequestClass:
    """A class of requests. Times in milliseconds."""

    name: str
    effect: str
    aim_ms: float
    deadline_ms: float
    window_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Shutdown:
    """One ingress is told to end."""

    ingress: int
    at_ms: float  # from the beginning of the play
    series: int  # of ``SERIES``
    pause_after_ms: float | None = None  # stopped for PAUSE_MS so long after the first signal; None: not
    starts_again: bool = True
    early_signals: tuple[tuple[float, signal.Signals], ...] = ()  # to its successor, from its start on


@dataclass(frozen=True, slots=True)
class Scenario:
    """A whole play. Times in milliseconds."""

    program: str
    seed: int
    ingresses: int
    backends: int
    classes: tuple[RequestClass, ...]
    clients: int  # at each ingress
    interval_ms: float  # mean pause of a client between two requests
    crowd: int  # idle connections at each ingress that is told to end
    hanging: int  # backends that hang through the whole shutdown
    reset_share: float  # of the requests whose connection a backend resets
    closes_idle: bool  # whether backends close idle connections as requests come
    half_requests: int  # clients that send half a request and stay
    pipelines: bool  # whether clients send a second request before the first is answered
    leaves: bool  # whether some clients leave with a request open
    discovery_delay_ms: float
    discovery_is_down: bool  # during the shutdowns
    drains: int  # backends that begin to drain
    joins_cold: bool  # whether a backend joins, cold
    new_connections_ms: float  # after SIGTERM
    shutdowns: tuple[Shutdown, ...]
    refused_clients: int = 0  # whose bytes can't be read and who come again, at one ingress
    leaving_clients: int = 0  # that send much at once and close their connections, at the last ingress
    unsized_share: float = 0.0  # of the answers of backends: without a length
    unsized_resets: float = 0.0  # of these: reset on the way

    @property
    def kill_after_ms(self) -> float:
        """When SIGKILL follows the first signal that ends a process."""
        return min(max(c.deadline_ms for c in self.classes), MAX_DEADLINE_MS) + KILL_MARGIN_MS

    @property
    def longest_running(self) -> int:
        """An ingress that is not told to end, or the first one."""
        ending = {shutdown.ingress for shutdown in self.shutdowns}
        return next((ingress for ingress in range(self.ingresses) if ingress not in ending), 0)

    @property
    def length_ms(self) -> float:
        """How long clients send requests."""
        return max(s.at_ms for s in self.shutdowns) + self.kill_after_ms + 300.0


def draw(program: str, seed: int) -> Scenario:
    """Returns the scenario of a seed."""
    rng = random.Random(f"{program} {seed}")
    ingresses = rng.randint(2, 6)
    classes = tuple(_class(rng, name, effect) for name, effect in zip("abc", (SAFE, KEYED, UNSAFE), strict=True))
    backends = rng.randint(3, 6)
    clients = rng.randint(4, 12)
    # All clients run in one process of the laboratory, whose own time is not to be what is measured.
    shortest_ms = clients * ingresses * 1_000.0 / MAX_REQUESTS_PER_S
    return Scenario(
        program=program,
        seed=seed,
        ingresses=ingresses,
        backends=backends,
        classes=classes,
        clients=clients,
        interval_ms=max(rng.choice((5.0, 30.0, 80.0)), shortest_ms),
        crowd=rng.choice((0, 0, 0, 300)),
        hanging=rng.choice((0, 0, 1, backends // 2)),
        reset_share=rng.choice((0.0, 0.0, 0.03)),
        closes_idle=rng.random() < 0.3,
        half_requests=rng.choice((0, 0, 2)),
        pipelines=rng.random() < 0.3,
        leaves=rng.random() < 0.3,
        discovery_delay_ms=rng.choice((0.0, 0.0, 400.0)),
        discovery_is_down=rng.random() < 0.2,
        drains=rng.choice((0, 1)),
        joins_cold=rng.random() < 0.3,
        new_connections_ms=rng.uniform(*NEW_CONNECTIONS_MS),
        shutdowns=tuple(_shutdowns(rng, ingresses)),
        **_bad_parties(program, seed),
    )


def _bad_parties(program: str, seed: int) -> dict[str, Any]:
    """What bad clients and backends do, drawn apart: the rest of a seed's scenario is as it was without them."""
    if program != RUN:
        return {}
    rng = random.Random(f"bad parties {seed}")
    return {
        "refused_clients": rng.choice((0, 0, 10)),
        "leaving_clients": rng.choice((0, 0, 8)),
        "unsized_share": rng.choice((0.0, 0.0, 0.3)),
        "unsized_resets": rng.choice((0.0, 0.2)),
    }


def _class(rng: random.Random, name: str, effect: str) -> RequestClass:
    deadline = rng.choice((600.0, 1_200.0, 3_000.0))
    window = rng.choice((1_500.0, 6_000.0)) if effect == KEYED else 0.0
    return RequestClass(name, effect, deadline * rng.uniform(0.3, 0.6), deadline, window)


def _shutdowns(rng: random.Random, ingresses: int) -> list[Shutdown]:
    at_once = rng.random() < 0.3
    chosen = range(ingresses) if at_once else rng.sample(range(ingresses), rng.randint(1, min(3, ingresses - 1)))
    at, found = rng.uniform(600.0, 900.0), []
    for ingress in chosen:
        series = rng.randrange(len(SERIES))
        pause = rng.choice((None, None, -20.0, 0.5, 45.0, 690.0))
        early = _early_signals(rng) if rng.random() < 0.3 else ()
        found.append(Shutdown(ingress, at, series, pause, rng.random() < 0.8, early))
        at += 0.0 if at_once else rng.uniform(50.0, 1_200.0)
    return found


def _early_signals(rng: random.Random) -> tuple[tuple[float, signal.Signals], ...]:
    """Signals to a process that has just begun, most of them before its loop runs."""
    return tuple((rng.uniform(0.0, 400.0), HUP) for _ in range(rng.randint(1, 4)))
