"""From a settings file to what an ingress is made of. Every problem is told with file, line and column."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from pydantic import BaseModel, BeforeValidator

from rushweir import interface as i
from rushweir.config import checks
from rushweir.config import models as m
from rushweir.config.reading import Reading, Spots, named_path, stands
from rushweir.config.text import ConfigError, Problem, Spot
from rushweir.config.values import words
from rushweir.costs import amounts
from rushweir.costs.decisions import CostRules, Rule
from rushweir.fleet.settings import FleetSettings
from rushweir.fronts.websocket import FrontSettings
from rushweir.ingress.websocket import Setup
from rushweir.link.networks import AddressSet
from rushweir.nodes.pool import PoolSettings
from rushweir.policy.quota import OWNER_CEILING_SHARE
from rushweir.rollout import ceilings
from rushweir.rollout.ceilings import InterimPlan, IntermediateVersions


@dataclass(frozen=True, slots=True)
class Setting:
    """One setting that holds: its blocks and name, its words, and where it was read; None: a default."""

    path: tuple[str, ...]
    words: tuple[str, ...]
    spot: Spot | None


@dataclass(frozen=True, slots=True)
class Config:
    """Settings, checked."""

    file: m.File
    base: Path  # what paths in it are relative to
    peer_key: bytes | None = None
    spots: Spots = field(default_factory=Spots, repr=False)  # where each setting was read
    files: tuple[Path, ...] = ()  # the file, and what it includes
    seat: int = -1  # the number that the fleet gave, where the settings leave that to it
    # partners whose doors changed, and not all know it
    between: IntermediateVersions = field(default_factory=IntermediateVersions)
    ways: Mapping[str, InterimPlan] = field(default_factory=dict)  # how these act meanwhile
    made: tuple[i.Plan, ...] = ()  # and by which plans

    def effective(self) -> Iterator[Setting]:
        """Every setting that holds, defaults too, in the order of the models."""
        return effective_of(self.file, (), self.spots)

    @property
    def listen(self) -> tuple[str, int]:
        return self.file.listen

    @property
    def state(self) -> Path | None:
        return self.base / self.file.state if self.file.state else None

    @property
    def me(self) -> int:
        """The number of this ingress; -1: not known yet."""
        return self.seat if self.file.ingress[0] < 0 else self.file.ingress[0]

    def fleet(self) -> FleetSettings | None:
        """How this process is a member of its fleet; None: it is in none."""
        f = self.file
        if f.fleet is None or f.peers is None:
            return None
        return FleetSettings(
            f.fleet.advertise or f.peers.bind, tuple(a for (a,) in f.fleet.seed), f.ingress[1], f.ingress[0], f.zone,
            view_ms=f.fleet.term, keep_ms=f.fleet.keep, per_s=f.fleet.rate, apps_per_s=f.budgets.rate,
        )  # fmt: skip

    def plans(self) -> list[tuple[int | None, i.Plan]]:
        """Plans with their slots."""
        return [
            (
                p.slot,
                i.Plan(
                    name, p.rate, p.burst, p.open, p.ceiling_rate, p.ceiling_burst, p.ceiling_slack, p.price,
                    p.over_worth, p.over_cost,
                ),
            )
            for name, p in self.file.plans.items()
        ]  # fmt: skip

    def owned(self) -> float:
        """The part of a ceiling that its doors own, all together, and that none of them has to ask for."""
        f = self.file
        if f.fleet is not None:
            return f.budgets.floor
        return 1 - OWNER_CEILING_SHARE if f.peers is not None and f.counter is None else 1.0

    def settings(self) -> i.Settings:
        """The settings of the policy."""
        f, count = self.file, self.file.ingress[1]
        return i.Settings(
            gateway=self.me,
            gateways=count,
            zone=f.zone,
            classes=tuple(
                i.RequestClass(
                    name, k.aim, k.deadline, k.worth, k.late_share, i.Effect(k.repeat), i.Group(k.group), k.window
                )
                for name, k in f.classes.items()
            ),
            plans=ceilings.plans_by_slot(self.plans(), self.made),
            rules=i.Rules(
                f.rules.answer_slack, f.rules.drain_grace, f.rules.cold_share, f.rules.cold_time,
                f.rules.fall_multiple, f.rules.fall_time,
            ),
            limits=i.Limits(
                max_attempts=f.limits.attempts, max_open_requests=f.limits.open,
                max_retry_after_ms=f.limits.retry_after, parallel_attempts=f.limits.second_copies,
                cancel=f.limits.cancel, probing=f.limits.probes, retry_after=f.limits.retry_after > 0,
                dial_timeout_ms=f.nodes.connect_timeout,
            ),
            sharing=i.Sharing(
                peers=f.peers is not None, messages_per_s=self._mail_per_s(),
                counter=f.counter is not None, counter_timeout_ms=f.counter.timeout if f.counter else 0.0,
                meter_ms=f.meter, largest_request=f.limits.largest_request, settles=f.settles,
                leased_ceilings=f.fleet is not None,
            ),
            prices={"crossZone": f.prices.cross_zone},
            weights=f.nodes.weights,
            ask_discovery=f.list.mode == "ask",
        )  # fmt: skip

    def _mail_per_s(self) -> float:
        """Messages of the quotas: what peers take of one ingress, less what its fleet says."""
        f = self.file
        fleet = f.fleet.rate + f.budgets.rate if f.fleet else 0.0
        return 0.0 if f.peers is None else max(1.0, f.peers.rate - fleet)

    def costs(self, priced: bool | None = None) -> CostRules | None:
        """The prices of requests; None where none are set, and each request says itself what it counts. ``priced``:
        whether any are, where the routes are still those of before."""
        f = self.file
        if not (f.pricing is not None or len(f.costs) if priced is None else priced):
            return None
        most = amounts.parse(f"{f.limits.largest_request:.3f}")
        rules = CostRules(Rule("default", f.pricing.default if f.pricing else m.ONE_UNIT), max_amount=most)
        rules.routes = f.costs.routes  # the same trie: what changes in it is found by the next request
        return rules

    def setup(self, seed: int = 0, boot: str = "") -> Setup:
        """All that makes the ingress, but for its policy."""
        f = self.file
        return Setup(
            settings=self.settings(),
            front=FrontSettings(
                f.path, f.clients.message, f.clients.batch, f.clients.open, f.clients.buffer,
                f.limits.largest_request, self.costs(),
            ),
            pool=PoolSettings(
                f.nodes.streams, f.nodes.connections, f.nodes.connect_timeout, f.nodes.idle, f.nodes.ping,
                f.nodes.probe_timeout, f.rules.drain_grace, path=f.nodes.path,
            ),
            credentials=f.partners.held,
            margin_ms=f.clients.margin,
            handshake_ms=f.clients.handshake,
            ping_ms=f.clients.ping,
            unread_ms=f.clients.unread,
            max_unread_bytes=f.clients.buffer,
            held_bytes=f.clients.memory,
            peer_key=self.peer_key,
            list_url=f.list.url,
            counter_url=f.counter.url if f.counter else "",
            seed=seed,
            boot=boot,
            max_clients=f.clients.connections,
            trace_share=f.trace.sample,
            late_ms=f.overload.delay,
            max_late_ms=f.overload.most,
            max_traces=f.trace.keep,
            client_networks=AddressSet(f.clients.allow, f.clients.deny),
            node_networks=AddressSet(f.nodes.allow, f.nodes.deny),
        )  # fmt: skip


def load(path: Path) -> Config:
    """Read a settings file. Raises ConfigError, also where it can't be read."""
    return load_text(text_of(path), str(path), path.parent)


def text_of(path: Path) -> str:
    """Raises ConfigError."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as problem:
        raise ConfigError([Problem(Spot(str(path), 1, 1), f"can't be read: {problem}")]) from None


def load_text(text: str, name: str, base: Path) -> Config:
    """Settings from a text; ``name`` stands in errors, ``base`` is what paths are relative to."""
    return checked(Reading(text, name, base))


def checked(reading: Reading, others: Mapping[str, Any] | None = None) -> Config:
    """What was read, if it holds together, with ``others`` for what stands elsewhere. Beside groups that hold already
    these are not changed by it: what differs is in the reading's deltas. Raises ConfigError."""
    file, problems, groups = reading.file, reading.problems, reading.groups
    peer_key = None
    if file is not None:
        if reading.fresh:
            groups["partners"].held.ingress_count = file.ingress[1]
        file = file.model_copy(update={**(others or {}), **groups})
        problems += checks.across(file, reading.spots, reading.deltas) + reading.late
        peer_key = checks.key(file.peers, reading.base, reading.spots, problems) if file.peers else None
        if file.console is not None:
            checks.users(file.console, reading.base, reading.spots, problems)
    if problems or file is None:
        raise reading.error()
    # The spots of what holds: those of a delta hold from when it is applied to its group on.
    spots = Spots(groups)
    spots.update(reading.spots)
    return Config(file, reading.base, peer_key, spots, (Path(reading.name), *reading.reader.files))


def effective_of(block: BaseModel, where: tuple, spots: Mapping[tuple, Spot]) -> Iterator[Setting]:
    for name, info in type(block).model_fields.items():
        value, path = getattr(block, name), (*where, name)
        if isinstance(value, BaseModel):
            yield from effective_of(value, path, spots)
        elif isinstance(value, Mapping):
            for key, inner in value.items():
                yield from effective_of(inner, (*path, key), spots)
        elif value is not None:
            read = next((x.func for x in info.metadata if isinstance(x, BeforeValidator)), None)
            lines = enumerate(value) if stands(info) == "values" else [(None, value)]
            for k, v in lines:
                given = tuple(words(v, read))
                if given and given != ("",):
                    yield Setting(named_path(path), given, spots.get(path if k is None else (*path, k)))
