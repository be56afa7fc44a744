"""A policy that raises: each request still gets its answer, over real sockets."""

from __future__ import annotations

from rushweir import interface
from rushweir.lab.standins.client import kind, why


class FaultyPolicy:
    """A policy that raises at the events that ``when`` selects."""

    def __init__(self, real, when):
        self.real = real
        self.when = when
        self.raised = 0

    def start(self):
        return self.real.start()

    def handle(self, now, event):
        if self.when(event):
            self.raised += 1
            raise RuntimeError("injected")
        return self.real.handle(now, event)


def inject_faults(harness, when):
    """Makes the harness's policy raise at the events that ``when`` selects."""
    from rushweir.ingress.shell import Clock
    from rushweir.policy import Policy

    harness.policy = FaultyPolicy(Policy(harness.settings, 7, Clock()()), when)


def test_policy_fault_at_a_request_refuses_it(run_scenario):
    async def body(harness):
        inject_faults(harness, lambda e: isinstance(e, interface.Request) and e.class_name == "pay")
        await harness.add_nodes(2)
        await harness.start()
        client = await harness.client()
        reply = await client.ask("pay", {"data": {"work": 1}})
        assert kind(reply) == "refused" and why(reply) == "fault"  # nothing was sent, so a retry does no harm
        assert kind(await client.ask("position", {"data": {"work": 1}})) == "served"
        assert harness.core.engine.faults == 1 and harness.core.engine.ledger.unanswered == 0

    run_scenario(body)


def test_policy_fault_at_an_outcome_fails_the_request(run_scenario):
    async def body(harness):
        inject_faults(harness, lambda e: isinstance(e, interface.Outcome) and e.result is not interface.Result.OK)
        await harness.add_nodes(1)
        harness.node_fleet.nodes[0].fault("errors", 1.0)
        await harness.start()
        client = await harness.client()
        assert kind(await client.ask("pay", {"data": {"work": 1}})) == "failed"  # it may have run
        assert harness.core.engine.faults == 1 and harness.core.engine.ledger.unanswered == 0

    run_scenario(body)


def test_policy_timer_that_raises_is_repeated(run_scenario):
    async def body(harness):
        raised = []
        inject_faults(
            harness,
            lambda e: isinstance(e, interface.Timer) and e.ref == 0 and len(raised) < 2 and not raised.append(1),
        )
        await harness.add_nodes(1)
        await harness.start()
        await harness.wait_until(lambda: harness.core.engine.faults == 2)
        client = await harness.client()
        assert kind(await client.ask("position", {"data": {"work": 1}})) == "served"
        seen = []
        harness.policy.when = lambda e: isinstance(e, interface.Timer) and e.ref == 0 and bool(seen.append(1))
        await harness.wait_until(lambda: len(seen) >= 2)  # its periodic timer goes on

    run_scenario(body)
