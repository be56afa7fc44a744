"""What goes into a policy and what comes out of it.

The contract: ``Policy(settings, seed, now_ms)`` makes one gateway's policy and
``policy.handle(now_ms, event)`` returns the list of actions to carry out, in order and at that time.
A policy reads no clock, does no I/O and shares nothing. All times are milliseconds of one clock
that never runs backwards; ids and addresses are opaque text. A request held open without an action
stays with the policy; every request gets one final answer: an ``Outcome`` with ``settled`` set,
``Refuse`` or ``Fail``.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum


class Effect(Enum):
    """Whether a request that may have run can be sent again."""

    SAFE = "safe"
    KEYED = "keyed"
    UNSAFE = "unsafe"


class Group(Enum):
    """Which back ends drop the repeats of a keyed request."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class Result(Enum):
    """How an attempt, a probe or a counter call ended."""

    OK = "ok"
    ERROR = "error"
    FULL = "full"
    TIMEOUT = "timeout"
    CONNECT_FAILED = "connect_failed"
    RESET = "reset"
    CANCELLED = "cancelled"
    SUPERSEDED = "moot"

    @property
    def never_ran(self) -> bool:
        return self in _NEVER_RAN


_NEVER_RAN = frozenset({Result.FULL, Result.CONNECT_FAILED, Result.SUPERSEDED})


class Scope(Enum):
    """What a list update holds."""

    DELTA = "delta"
    FULL = "full"
    CACHED = "cached"
    FAILED = "failed"


class State(Enum):
    """A server's state in the list."""

    READY = "ready"
    DRAINING = "draining"
    GONE = "gone"


# --- settings ---------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class RequestClass:
    name: str
    aim_ms: float
    deadline_ms: float
    worth: float = 1.0
    late_share: float = 0.0
    effect: Effect = Effect.UNSAFE
    group: Group = Group.ALL
    window_ms: float = 0.0
    stream: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    """Quotas of each customer of the plan, over all gateways together; 0 means no such quota."""

    name: str
    rate: float = 0.0  # units a second
    burst: float = 0.0
    max_in_flight: int = 0  # attempts out at once
    ceiling_rate: float = 0.0
    ceiling_burst: float = 0.0
    ceiling_slack: float = 0.0
    price: float = 1.0
    over_worth: float = 0.0  # share of the worth earned beyond the quota
    over_cost: float = 0.0  # share of the worth a try costs beyond the quota


@dataclass(frozen=True, slots=True)
class Rules:
    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0
    cold_share: float = 1.0
    cold_ms: float = 0.0
    fall_multiple: float = 1.0
    fall_ms: float = 0.0
    ask_within_ms: float = 0.0


IDLE_TIMEOUT_SHARE = 0.8  # of the time after which a server closes an idle connection: its own clock may run ahead


@dataclass(frozen=True, slots=True)
class Limits:
    max_attempts: int = 1
    max_open_requests: int = 1_000_000
    max_retry_after_ms: float = 0.0
    parallel_attempts: bool = False
    cancel: bool = False
    probing: bool = False
    retry_after: bool = False
    connection_idle_ms: float = (
        0.0  # a server closes a connection idle for so long; 0: nothing is known of connections
    )
    streams_per_connection: int = 1  # attempts that a connection carries at once
    dial_timeout_ms: float = 0.0  # so long may a new connection take before the attempt that waits for it ends unsent


@dataclass(frozen=True, slots=True)
class Sharing:
    """What the gateways can learn of each other."""

    peers: bool = False
    messages_per_s: float = 0.0
    counter: bool = False
    counter_timeout_ms: float = 0.0
    meter_ms: float = 0.0
    largest_request: float = 1.0
    settles: bool = False  # the true units come with the answer
    leased_ceilings: bool = False  # a ceiling is spent by parts that are given as events, and by nothing else


@dataclass(frozen=True, slots=True)
class Settings:
    gateway: int
    gateways: int
    zone: str
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    rules: Rules = field(default_factory=Rules)
    limits: Limits = field(default_factory=Limits)
    sharing: Sharing = field(default_factory=Sharing)
    prices: dict[str, float] = field(default_factory=dict)
    weights: str = "off"  # what a server's weight means: off, nominal, rough or live
    ask_discovery: bool = False
    tick_ms: float = 1.0
    present_gateways: tuple[int, ...] = ()  # gateways that are there; none: all


# --- events -----------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Server:
    address: str
    zone: str = ""
    cell: int = 0
    online_since_ms: float = 0.0  # 0: long ago
    weight: float = 1.0
    kind: str = ""
    state: State = State.READY


@dataclass(frozen=True, slots=True)
class Members:
    scope: Scope
    servers: tuple[Server, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    id: str
    class_name: str
    plan: str
    customer: str
    not_after_ms: float
    units: float = 1.0
    gateway_count: int = 1  # gateways this customer's requests may arrive through ...
    first_gateway: int = 0  # ... counted round from this one


@dataclass(frozen=True, slots=True)
class Outcome:
    id: str
    attempt: int
    server: str
    result: Result
    spent_ms: float
    settled: bool = False
    quota_used: int = 0  # 1 + percent of the quota used in the meter's last period; 0: nothing told
    cost: float = 0.0  # true units; 0: nothing told
    load: dict[str, float] | None = None


@dataclass(frozen=True, slots=True)
class FirstByte:
    id: str
    attempt: int
    server: str
    spent_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Gone:
    id: str


@dataclass(frozen=True, slots=True)
class Timer:
    ref: int


@dataclass(frozen=True, slots=True)
class PeerMessage:
    source: int
    text: str


@dataclass(frozen=True, slots=True)
class Counted:
    name: int
    result: Result
    value: float = 0.0
    spent_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Probed:
    server: str
    result: Result
    spent_ms: float = 0.0
    load: dict[str, float] | None = None


@dataclass(frozen=True, slots=True)
class Part:
    """What this gateway may spend of a customer's ceiling from now on, where ceilings are lent, with some tokens;
    ``kept``: as the customer's first keeper, for all doors. A keeper may know the CRC of a customer's name only."""

    customer: str | int
    rate: float
    burst: float
    added_tokens: float = 0.0
    as_owner: bool = False


# Settings are an event too: others, for the same gateway, from now on.
Event = Settings | Part | Members | Request | Outcome | FirstByte | Gone | Timer | PeerMessage | Counted | Probed

# --- actions ----------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Send:
    id: str
    server: str
    until_ms: float = 0.0  # 0: until the client gives up


@dataclass(frozen=True, slots=True)
class Refuse:
    """A final answer that says trying again is harmless."""

    id: str
    retry_after_ms: float = 0.0
    reason: str = ""  # which of its own grounds the policy names; for people and counts, nothing hangs on it


@dataclass(frozen=True, slots=True)
class Fail:
    """A final answer that promises nothing."""

    id: str


@dataclass(frozen=True, slots=True)
class Cancel:
    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    ref: int
    after_ms: float


@dataclass(frozen=True, slots=True)
class Tell:
    text: str
    to: int | None = None  # None: every peer


@dataclass(frozen=True, slots=True)
class Count:
    name: int
    amount: float
    forget_after_ms: float


@dataclass(frozen=True, slots=True)
class Probe:
    server: str


@dataclass(frozen=True, slots=True)
class Watch:
    on: bool = True


@dataclass(frozen=True, slots=True)
class Fetch:
    pass


@dataclass(frozen=True, slots=True)
class Log:
    text: str


Action = Send | Refuse | Fail | Cancel | SetTimer | Tell | Count | Probe | Watch | Fetch | Log
