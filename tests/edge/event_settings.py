"""Settings of the state machine of events: two sets of classes and plans, between which it reloads."""

from __future__ import annotations

from rushweir import interface
from tests.edge.conftest import CLASSES, SETTINGS

UNSAFE = interface.RequestClass("pay", 800.0, 2000.0, 3.0, effect=interface.Effect.UNSAFE)
SHORT = interface.RequestClass("hold", 900.0, 2500.0, 2.0, effect=interface.Effect.KEYED, window_ms=300.0)
PLANS = (
    interface.Plan("wide", rate=1000.0, burst=1000.0), interface.Plan("tight", rate=2.0, burst=2.0, over_cost=0.5),
    interface.Plan("places", max_in_flight=2),
    interface.Plan("capped", rate=50.0, burst=20.0, ceiling_rate=60.0, ceiling_burst=30.0),
)  # fmt: skip
MADE = interface.Settings(
    gateway=0, gateways=1, zone="a", classes=(*CLASSES, UNSAFE, SHORT), plans=PLANS, rules=SETTINGS.rules,
    limits=interface.Limits(
        max_attempts=4, cancel=True, retry_after=True, max_retry_after_ms=500.0, dial_timeout_ms=250.0,
    ),
)  # fmt: skip
OTHER = interface.Settings(
    gateway=0, gateways=1, zone="b", classes=(
        UNSAFE, interface.RequestClass("position", 500.0, 1500.0, effect=interface.Effect.KEYED, window_ms=900.0),
    ),
    plans=PLANS[:1], rules=SETTINGS.rules, limits=MADE.limits,
)  # fmt: skip
