"""Parsing of an instance's settings as the platform writes them, for the simulator and the real ingress alike."""

from __future__ import annotations

import math
from typing import Any

from rushweir import interface

Fields = dict[str, Any]

EFFECTS = {
    "read_like": interface.Effect.SAFE,
    "idempotency_key": interface.Effect.KEYED,
    "non_idempotent": interface.Effect.UNSAFE,
}
GROUPS = {g.value: g for g in interface.Group}


def parse_settings(options: Fields) -> interface.Settings:
    """The settings of a gateway. Unknown keys are ignored, and absent ones keep their defaults.

    Raises KeyError where a required key is missing, and ValueError, which names the field, where a value is invalid.
    """
    rules = _fields(options, "guarantees")
    limits = _fields(options, "ceilings")
    domain = _fields(options, "domain")
    tariffs = _fields(options, "tariffs")
    settings = interface.Settings(
        gateway=int(_number(options, "me", "", None)),
        gateways=int(_number(options, "instances", "", None, least=1)),
        zone=_text(options, "locality", "", ""),
        classes=tuple(
            _request_class(entry, f"classes[{index}].") for index, entry in enumerate(_list(options, "classes"))
        ),
        plans=tuple(_plan(entry, f"contracts[{index}].") for index, entry in enumerate(_list(options, "contracts"))),
        rules=interface.Rules(
            answer_slack_ms=_number(rules, "answerSlackMs", "guarantees.", 0.0),
            drain_grace_ms=_number(rules, "drainGraceMs", "guarantees.", 0.0),
            cold_share=_number(rules, "coldShare", "guarantees.", 1.0),
            cold_ms=_number(rules, "coldMs", "guarantees.", 0.0),
            fall_multiple=_number(rules, "fallMultiple", "guarantees.", 1.0),
            fall_ms=_number(rules, "tipAfterMs", "guarantees.", 0.0),
            ask_within_ms=_number(rules, "askWithinMs", "guarantees.", 0.0),
        ),
        limits=interface.Limits(
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
        sharing=interface.Sharing(
            peers=bool(limits.get("peerMessages", False)),
            messages_per_s=_number(domain, "mailPerS", "domain.", 0.0),
            counter=bool(domain.get("mayCount", False)),
            counter_timeout_ms=_number(domain, "countLimitMs", "domain.", 0.0),
            meter_ms=_number(domain, "meterMs", "domain.", 0.0),
            largest_request=_number(domain, "mostUnits", "domain.", 1),
            settles=bool(domain.get("costAfter", False)),
        ),
        prices={name: _number(tariffs, name, "tariffs.", 0.0) for name in tariffs},
        weights=_text(options, "weights", "", "off"),
        ask_discovery=options.get("discovery", "push") == "ask",
        tick_ms=_number(options, "tickMs", "", 1.0),
    )
    class_names = [request_class.name for request_class in settings.classes]
    plan_names = [plan.name for plan in settings.plans]
    for key, names in (("classes", class_names), ("contracts", plan_names)):
        if duplicate := next((name for index, name in enumerate(names) if name in names[:index]), None):
            raise ValueError(f"{key}: {duplicate!r} stands twice")
    return settings


def _request_class(entry: Fields, path: str) -> interface.RequestClass:
    return interface.RequestClass(
        name=_text(entry, "name", path),
        aim_ms=_number(entry, "aimMs", path, None, least=1e-3),
        deadline_ms=_number(entry, "giveUpMs", path, None, least=1e-3),
        worth=_number(entry, "worth", path, 1.0),
        late_share=_number(entry, "lateShare", path, 0.0),
        effect=_one_of(EFFECTS, entry, "repeat", path, None),
        group=_one_of(GROUPS, entry, "group", path, "all"),
        window_ms=_number(entry, "windowMs", path, 0.0),
        stream=bool(entry.get("stream", False)),
    )


def _plan(entry: Fields, path: str) -> interface.Plan:
    return interface.Plan(
        name=_text(entry, "name", path),
        rate=_number(entry, "unitsPerS", path, 0.0),
        burst=_number(entry, "storeSize", path, 0.0),
        max_in_flight=int(_number(entry, "atOnce", path, 0)),
        ceiling_rate=_number(entry, "capRate", path, 0.0),
        ceiling_burst=_number(entry, "capDepth", path, 0.0),
        ceiling_slack=_number(entry, "capSlack", path, 0.0),
        price=_number(entry, "pays", path, 1.0),
        over_worth=_number(entry, "extraWorth", path, 0.0),
        over_cost=_number(entry, "excessCost", path, 0.0),
    )


def _fields(fields: Fields, name: str) -> Fields:
    value = fields.get(name, {})
    if not isinstance(value, dict):
        raise ValueError(f"{name}: an object")
    return value


def _list(fields: Fields, name: str) -> list[Fields]:
    if not isinstance(value := fields[name], list) or not all(isinstance(entry, dict) for entry in value):
        raise ValueError(f"{name}: an array of objects")
    return value


def _value(fields: Fields, name: str, default: Any) -> Any:
    """A field's value; null counts as absent. Raises KeyError where there is neither a value nor a default."""
    value = fields.get(name)
    if value is None and default is None:
        raise KeyError(name)
    return default if value is None else value


def _number(fields: Fields, name: str, path: str, default: float | None, *, least: float = 0.0) -> float:
    """A finite number, ``least`` or more, also one written as text. It is required if there is no default."""
    value = _value(fields, name, default)
    try:
        if isinstance(value, bool) or not least <= float(value) < math.inf:
            raise ValueError
    except (TypeError, ValueError):
        raise ValueError(f"{path}{name}: a number from {least:g}, not {str(value)[:40]!r}") from None
    return float(value) if isinstance(value, str) else value


def _text(fields: Fields, name: str, path: str, default: str | None = None) -> str:
    value = _value(fields, name, default)
    if not isinstance(value, str) or (default is None and not value):
        raise ValueError(f"{path}{name}: text, not {str(value)[:40]!r}")
    return value


def _one_of(known: dict[str, Any], fields: Fields, name: str, path: str, default: str | None) -> Any:
    value = _value(fields, name, default)
    if not isinstance(value, str) or value not in known:
        raise ValueError(f"{path}{name}: one of {', '.join(known)}, not {str(value)[:40]!r}")
    return known[value]
