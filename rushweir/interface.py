"""The contract of the policy: its settings, the events it takes and the actions it returns.

``Policy(settings, seed, now_ms)`` makes one gateway's policy, and ``policy.handle(now_ms, event)`` returns the
list of actions to carry out, in order and at that time. A policy reads no clock, does no I/O and shares no state. All
times are milliseconds of one clock that never runs backwards; ids and addresses are opaque text. A request without an
action stays pending in the policy. Every request gets one final answer: an ``Outcome`` with ``settled`` set,
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
    """Which servers drop the repeats of a keyed request."""

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
    SUPERSEDED = "moot"  # not sent, since its request was answered already or is gone

    @property
    def never_ran(self) -> bool:
        """Whether the server certainly did not execute the request."""
        return self in _NEVER_RAN


_NEVER_RAN = frozenset({Result.FULL, Result.CONNECT_FAILED, Result.SUPERSEDED})


class Scope(Enum):
    """What an update of the server list contains."""

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
    """Requests of one kind: their times, their worth and whether they may be repeated."""

    name: str
    aim_ms: float  # an answer within this time earns the full worth
    deadline_ms: float
    worth: float = 1.0
    late_share: float = 0.0  # share of the worth earned by an answer after the aim
    effect: Effect = Effect.UNSAFE
    group: Group = Group.ALL
    window_ms: float = 0.0  # for so long the servers of a group drop repeats of a keyed request
    stream: bool = False


@dataclass(frozen=True, slots=True)
class Plan:
    """Quotas of each customer of the plan, over all gateways together; 0 means no such quota."""

    name: str
    rate: float = 0.0  # units per second
    burst: float = 0.0  # units
    max_in_flight: int = 0  # attempts in flight at once
    ceiling_rate: float = 0.0  # units per second
    ceiling_burst: float = 0.0  # units
    ceiling_slack: float = 0.0  # units
    price: float = 1.0  # factor on the worth of a request
    over_worth: float = 0.0  # share of the worth earned beyond the quota
    over_cost: float = 0.0  # share of the worth that an attempt costs beyond the quota


@dataclass(frozen=True, slots=True)
class Rules:
    """The rules that gateways are checked against, with their tolerances."""

    answer_slack_ms: float = 0.0
    drain_grace_ms: float = 0.0  # attempts may still reach a draining server for so long
    cold_share: float = 1.0  # share of its full capacity that a server has as it starts
    cold_ms: float = 0.0  # time from a server's start to its full capacity
    fall_multiple: float = 1.0  # a cold server fails at so many times the work that it can do ...
    fall_ms: float = 0.0  # ... counted over this time
    ask_within_ms: float = 0.0


IDLE_TIMEOUT_SHARE = (
    0.8  # of a server's idle timeout, after which a connection is not reused: its clock may run ahead
)


@dataclass(frozen=True, slots=True)
class Limits:
    """What the policy may do at most, and which actions it may return."""

    max_attempts: int = 1  # for each request
    max_open_requests: int = 1_000_000
    max_retry_after_ms: float = 0.0
    parallel_attempts: bool = False  # whether a request may have two attempts in flight
    cancel: bool = False  # whether attempts may be cancelled
    probing: bool = False  # whether servers may be probed
    retry_after: bool = False  # whether a refusal may say when to try again
    connection_idle_ms: float = 0.0  # a server closes a connection idle for so long; 0: connections are not known
    streams_per_connection: int = 1  # attempts that a connection carries at once
    dial_timeout_ms: float = 0.0  # an attempt ends unsent if its new connection takes longer
    max_customers: int = 0  # known at once, and as many buckets owned; 0: all that come


@dataclass(frozen=True, slots=True)
class Sharing:
    """What the gateways can learn from each other."""

    peers: bool = False  # whether gateways exchange messages
    messages_per_s: float = 0.0
    counter: bool = False  # whether there is a shared counter
    counter_timeout_ms: float = 0.0
    meter_ms: float = 0.0
    largest_request: float = 1.0  # units
    settles: bool = False  # the true units come with the answer
    leased_ceilings: bool = False  # a ceiling is spent only from the shares that ``Part`` events lease


@dataclass(frozen=True, slots=True)
class Settings:
    """Everything that a policy is configured by. As an event it replaces the settings of the same gateway."""

    gateway: int  # number of this gateway, from 0
    gateways: int
    zone: str
    classes: tuple[RequestClass, ...]
    plans: tuple[Plan, ...]
    rules: Rules = field(default_factory=Rules)
    limits: Limits = field(default_factory=Limits)
    sharing: Sharing = field(default_factory=Sharing)
    prices: dict[str, float] = field(default_factory=dict)
    weights: str = "off"  # what a server's weight means: off, nominal, rough or live
    ask_discovery: bool = False  # whether the server list has to be watched with ``Watch``
    tick_ms: float = 1.0
    present_gateways: tuple[int, ...] = ()  # numbers of the gateways that are running; empty: all


# --- events -----------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Server:
    """An entry of the server list."""

    address: str
    zone: str = ""
    cell: int = 0
    online_since_ms: float = 0.0  # 0: long ago
    weight: float = 1.0
    kind: str = ""
    state: State = State.READY


@dataclass(frozen=True, slots=True)
class Members:
    """An update of the server list."""

    scope: Scope
    servers: tuple[Server, ...] = ()


@dataclass(frozen=True, slots=True)
class Request:
    """A client's request, to be decided on by ``not_after_ms``."""

    id: str
    class_name: str
    plan: str
    customer: str
    not_after_ms: float
    units: float = 1.0
    gateway_count: int = 1  # this customer's requests may arrive through so many gateways ...
    first_gateway: int = 0  # ... whose numbers follow this one, modulo the number of gateways


@dataclass(frozen=True, slots=True)
class Outcome:
    """The end of an attempt; ``settled``: its request has its final answer."""

    id: str
    attempt: int
    server: str
    result: Result
    spent_ms: float
    settled: bool = False
    quota_used: int = 0  # 1 + percent of the quota used in the meter's last period; 0: not reported
    cost: float = 0.0  # true units; 0: not reported
    load: dict[str, float] | None = None


@dataclass(frozen=True, slots=True)
class FirstByte:
    """The first byte of an attempt's answer arrived."""

    id: str
    attempt: int
    server: str
    spent_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Gone:
    """The client no longer waits for its request."""

    id: str


@dataclass(frozen=True, slots=True)
class Timer:
    """A timer that ``SetTimer`` set has expired."""

    ref: int


@dataclass(frozen=True, slots=True)
class PeerMessage:
    """A message from another gateway, as its ``Tell`` sent it."""

    source: int
    text: str


@dataclass(frozen=True, slots=True)
class Counted:
    """The end of a ``Count`` call; ``value``: the counter's sum with the amount added."""

    name: int
    result: Result
    value: float = 0.0
    spent_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class Probed:
    """The end of a ``Probe``."""

    server: str
    result: Result
    spent_ms: float = 0.0
    load: dict[str, float] | None = None


@dataclass(frozen=True, slots=True)
class Part:
    """A leased share of a customer's ceiling that replaces this gateway's share, where ceilings are leased.

    ``as_owner``: the share that it holds as the customer's first owner, for all gateways. An owner may know only the
    CRC of the customer's name.
    """

    customer: str | int
    rate: float  # units per second
    burst: float  # units
    added_tokens: float = 0.0
    as_owner: bool = False


Event = Settings | Part | Members | Request | Outcome | FirstByte | Gone | Timer | PeerMessage | Counted | Probed

# --- actions ----------------------------------------------------------------------------------


@dataclass(frozen=True, slots=True)
class Send:
    """Send an attempt of a request to a server; it ends in one ``Outcome``."""

    id: str
    server: str
    until_ms: float = 0.0  # 0: until the client gives up


@dataclass(frozen=True, slots=True)
class Refuse:
    """A final answer that promises that trying again does no harm."""

    id: str
    retry_after_ms: float = 0.0  # 0: no advice
    reason: str = ""  # for people and counts; no behaviour depends on it


@dataclass(frozen=True, slots=True)
class Fail:
    """A final answer that promises nothing: the request may have run."""

    id: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """End an attempt that is in flight; its ``Outcome`` follows."""

    id: str
    attempt: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Report ``Timer(ref)`` once, after this time."""

    ref: int
    after_ms: float


@dataclass(frozen=True, slots=True)
class Tell:
    """Send a message to another gateway; it may be lost."""

    text: str
    to: int | None = None  # None: every peer


@dataclass(frozen=True, slots=True)
class Count:
    """Add an amount to a named shared counter; it ends in one ``Counted``."""

    name: int
    amount: float
    forget_after_ms: float


@dataclass(frozen=True, slots=True)
class Probe:
    """Probe a server; it ends in one ``Probed``."""

    server: str


@dataclass(frozen=True, slots=True)
class Watch:
    """Start or stop watching the server list."""

    on: bool = True


@dataclass(frozen=True, slots=True)
class Fetch:
    """Fetch the server list once."""


@dataclass(frozen=True, slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = Send | Refuse | Fail | Cancel | SetTimer | Tell | Count | Probe | Watch | Fetch | Log
