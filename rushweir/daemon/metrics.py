"""Metrics in Prometheus's form, on prometheus_client. Counts are read when they are asked for, so that nothing is
paid for them on the way of a request; labels are classes, reasons, zones and results, never partners or nodes:
there may be thousands of those, and the console has them."""

from __future__ import annotations

from collections.abc import Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, HistogramMetricFamily
from prometheus_client.metrics_core import Metric

from rushweir.ingress.component_counts import counts_by_component
from rushweir.ingress.core import Core
from rushweir.watch.telemetry import BUCKETS_MS


class CoreCollector:
    """The figures of one ingress."""

    def __init__(self, core: Core) -> None:
        self.core = core

    def collect(self) -> Iterator[Metric]:
        core = self.core
        figures = counts_by_component(core)
        answers = CounterMetricFamily("rushweir_answers", "Requests by class and end.", labels=["class", "kind"])
        times = HistogramMetricFamily(
            "rushweir_served_seconds", "From taking a request to its good answer.", labels=["class"]
        )
        for name, counts in core.telemetry.classes.items():
            for kind, n in counts.kinds.items():
                answers.add_metric([name, kind], n)
            whole, buckets = 0, []
            for bound, n in zip((*BUCKETS_MS, None), counts.buckets, strict=True):
                whole += n
                buckets.append(("+Inf" if bound is None else str(bound / 1000), whole))
            times.add_metric([name], buckets, counts.sum_ms / 1000)
        yield answers
        yield times
        refusals = CounterMetricFamily("rushweir_refusals", "Refusals by reason.", labels=["reason"])
        for why, n in core.engine.refusals.items():
            refusals.add_metric([why], n)
        yield refusals
        attempts = CounterMetricFamily("rushweir_attempts", "Attempts by result.", labels=["result"])
        for name, n in core.engine.counts.items():
            if name.startswith("attempt_"):
                attempts.add_metric([name.removeprefix("attempt_")], n)
        yield attempts
        labels = ["part", "event"]
        parts = CounterMetricFamily("rushweir_part_events", "What parts of the ingress counted.", labels=labels)
        for part in ("core", "pool", "peers", "list", "counter"):
            for name, n in figures[part].items():
                parts.add_metric([part, name], n)
        yield parts
        nodes = GaugeMetricFamily("rushweir_nodes", "Nodes by zone and state.", labels=["zone", "state"])
        found: dict[tuple[str, str], int] = {}
        for s in core.nodes.effective.values():
            found[s.zone, s.state.value] = found.get((s.zone, s.state.value), 0) + 1
        for where, n in found.items():
            nodes.add_metric(where, n)
        yield nodes
        for name, text, value in (
            ("clients", "Connections of clients.", figures["clients"]),
            ("requests_open", "Requests that are owed an answer.", figures["owed"]),
            ("node_links", "Connections to nodes.", figures["links"]),
            ("timers", "Timers that are set.", figures["timers"]),
            ("loop_delay_seconds", "How late this process's turns come.", core.load_shedder.delay_ms / 1000),
            ("overload_level", "0: nothing is shed; 1: connections; 2: requests.", core.load_shedder.level),
        ):
            yield GaugeMetricFamily(f"rushweir_{name}", text, value=value)
        yield CounterMetricFamily("rushweir_policy_faults", "Faults of the decisions.", value=figures["faults"])


def exposition(core: Core) -> bytes:
    """The text that Prometheus scrapes."""
    registry = CollectorRegistry(auto_describe=False)
    registry.register(CoreCollector(core))
    return generate_latest(registry)
