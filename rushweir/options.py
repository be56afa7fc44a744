"""The settings of an instance as the platform writes them, for the simulator's wire and the real ingress alike."""

from __future__ import annotations

import math
from typing import Any

from rushweir import interface as i

Fields = dict[str, Any]

EFFECTS = {"read_like": i.Effect.SAFE, "idempotency_key": i.Effect.KEYED, "non_idempotent": i.Effect.UNSAFE}
GROUPS = {g.value: g for g in i.Group}


def parse_settings(o: Fields) -> i.Settings:
    """The settings; unknown keys are skipped, absent ones keep their defaults. Raises KeyError where one is missing,
    and ValueError, which names the field, where one is none of its kind."""
    rules, limits, domain, tariffs = (_fields(o, k) for k in ("guarantees", "ceilings", "domain", "tariffs"))
    made = i.Settings(
        gateway=int(_number(o, "me", "", None)),
        gateways=int(_number(o, "instances", "", None, least=1)),
        zone=_text(o, "locality", "", ""),
        classes=tuple(_request_class(c, f"classes[{k}].") for k, c in enumerate(_list(o, "classes"))),
        plans=tuple(_plan(p, f"contracts[{k}].") for k, p in enumerate(_list(o, "contracts"))),
        rules=i.Rules(
            answer_slack_ms=_number(rules, "answerSlackMs", "guarantees.", 0.0),
            drain_grace_ms=_number(rules, "drainGraceMs", "guarantees.", 0.0),
            cold_share=_number(rules, "coldShare", "guarantees.", 1.0),
            cold_ms=_number(rules, "coldMs", "guarantees.", 0.0),
            fall_multiple=_number(rules, "fallMultiple", "guarantees.", 1.0),
            fall_ms=_number(rules, "tipAfterMs", "guarantees.", 0.0),
            ask_within_ms=_number(rules, "askWithinMs", "guarantees.", 0.0),
        ),
        limits=i.Limits(
            max_attempts=int(_number(limits, "maxAttempts", "ceilings.", 1, least=1)),
            max_open_requests=int(_number(limits, "mostHeld", "ceilings.", 1_000_000, least=1)),
            max_retry_after_ms=_number(limits, "maxRetryAfterMs", "ceilings.", 0.0),
            parallel_attempts=bool(limits.get("parallelTries", False)),
            cancel=bool(limits.get("mayCancel", False)),
            probing=bool(limits.get("probing", False)),
            retry_after=bool(limits.get("retryAfter", False)),
            connection_idle_ms=_number(limits, "connIdleMs", "ceilings.", 0.0),
            streams_per_connection=int(_number(limits, "maxStreams", "ceilings.", 1, least=1)),
            dial_timeout_ms=_number(limits, "dialTimeoutMs", "ceilings.", 0.0),
        ),
        sharing=i.Sharing(
            peers=bool(limits.get("peerMessages", False)),
            messages_per_s=_number(domain, "mailPerS", "domain.", 0.0),
            counter=bool(domain.get("mayCount", False)),
            counter_timeout_ms=_number(domain, "countLimitMs", "domain.", 0.0),
            meter_ms=_number(domain, "meterMs", "domain.", 0.0),
            largest_request=_number(domain, "mostUnits", "domain.", 1),
            settles=bool(domain.get("costAfter", False)),
        ),
        prices={name: _number(tariffs, name, "tariffs.", 0.0) for name in tariffs},
        weights=_text(o, "weights", "", "off"),
        ask_discovery=o.get("discovery", "push") == "ask",
        tick_ms=_number(o, "tickMs", "", 1.0),
    )
    for what, names in (("classes", [c.name for c in made.classes]), ("contracts", [p.name for p in made.plans])):
        if twice := next((n for k, n in enumerate(names) if n in names[:k]), None):
            raise ValueError(f"{what}: {twice!r} stands twice")
    return made


def _request_class(c: Fields, where: str) -> i.RequestClass:
    return i.RequestClass(
        name=_text(c, "name", where),
        aim_ms=_number(c, "aimMs", where, None, least=1e-3),
        deadline_ms=_number(c, "giveUpMs", where, None, least=1e-3),
        worth=_number(c, "worth", where, 1.0),
        late_share=_number(c, "lateShare", where, 0.0),
        effect=_one_of(EFFECTS, c, "repeat", where, None),
        group=_one_of(GROUPS, c, "group", where, "all"),
        window_ms=_number(c, "windowMs", where, 0.0),
        stream=bool(c.get("stream", False)),
    )


def _plan(p: Fields, where: str) -> i.Plan:
    return i.Plan(
        name=_text(p, "name", where),
        rate=_number(p, "unitsPerS", where, 0.0),
        burst=_number(p, "storeSize", where, 0.0),
        max_in_flight=int(_number(p, "atOnce", where, 0)),
        ceiling_rate=_number(p, "capRate", where, 0.0),
        ceiling_burst=_number(p, "capDepth", where, 0.0),
        ceiling_slack=_number(p, "capSlack", where, 0.0),
        price=_number(p, "pays", where, 1.0),
        over_worth=_number(p, "extraWorth", where, 0.0),
        over_cost=_number(p, "excessCost", where, 0.0),
    )


def _fields(o: Fields, name: str) -> Fields:
    value = o.get(name, {})
    if not isinstance(value, dict):
        raise ValueError(f"{name}: an object")
    return value


def _list(o: Fields, name: str) -> list[Fields]:
    if not isinstance(value := o[name], list) or not all(isinstance(x, dict) for x in value):
        raise ValueError(f"{name}: an array of objects")
    return value


def _value(o: Fields, name: str, default: Any) -> Any:
    """A field's value, null being as good as none. Raises KeyError where there is neither it nor a default."""
    value = o.get(name)
    if value is None and default is None:
        raise KeyError(name)
    return default if value is None else value


def _number(o: Fields, name: str, where: str, default: float | None, *, least: float = 0.0) -> float:
    """A finite number, ``least`` or more; one written as text passes. Without a default it has to be there."""
    value = _value(o, name, default)
    try:
        if isinstance(value, bool) or not least <= float(value) < math.inf:
            raise ValueError
    except (TypeError, ValueError):
        raise ValueError(f"{where}{name}: a number from {least:g}, not {str(value)[:40]!r}") from None
    return float(value) if isinstance(value, str) else value


def _text(o: Fields, name: str, where: str, default: str | None = None) -> str:
    value = _value(o, name, default)
    if not isinstance(value, str) or (default is None and not value):
        raise ValueError(f"{where}{name}: text, not {str(value)[:40]!r}")
    return value


def _one_of(known: dict[str, Any], o: Fields, name: str, where: str, default: str | None) -> Any:
    value = _value(o, name, default)
    if not isinstance(value, str) or value not in known:
        raise ValueError(f"{where}{name}: one of {', '.join(known)}, not {str(value)[:40]!r}")
    return known[value]
