"""An ingress is restarted while a quarter of the backends begin to drain, and discovery is somewhat slow."""

import asyncio
import random
import signal
import sys
from pathlib import Path

from world import Backend, CannotRun, World, customer_id, play, say, settings_of_site, trouble_wanted

GRACE_MS = 250.0  # the deployment cairo-tolling-hq: drain_grace_ms
SLACK_S = 0.05  # every time limit is longer by 50 ms
ANSWER_DELAY_S = 0.4  # well below the time that the ingress waits for an answer
BACKENDS, RESTARTS = 12, 3  # a quarter of the backends drains at each restart, others each time
REQUESTS_PER_S = 40


async def case(world: World) -> list[str]:
    rng = random.Random(5)
    backends = [Backend(world, f"s-{n}", zone=f"room-{'abc'[n % 3]}") for n in range(BACKENDS)]
    await world.open(backends)
    if trouble_wanted():
        world.discovery.answer_delay_s = ANSWER_DELAY_S
    ingress = world.ingresses[0]
    known = world.discovery.page()
    await ingress.start(known=known)
    serving = True

    async def clients() -> None:
        while True:
            if serving:  # the front takes an ingress in once its health page has answered 200
                world.spawn(world.ask(0, "position", "kozep", customer_id(rng.randrange(1, 2000)), 2000))
            await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))

    world.spawn(clients())
    breaks, sent_on = [], 0
    for number in range(RESTARTS):
        await asyncio.sleep(3.0)
        known = world.discovery.page()  # what the ingress holds by now
        serving = False
        ingress.signal(signal.SIGTERM)
        status = await asyncio.wait_for(ingress.process.wait(), 6)
        world.pools.pop(0, None)
        if status != 0:
            raise CannotRun(f"the ingress ended with {status}")
        drained = backends[number * 3 : number * 3 + 3]
        for backend in drained:
            world.discovery.change(backend, state="Terminating")
        await asyncio.sleep(0.3)
        before = {backend.name: len(backend.arrivals) for backend in drained}
        started_at = world.record.now()
        await ingress.start(known=known)
        serving = True
        await asyncio.sleep(3.0)
        limit = started_at + GRACE_MS / 1000 + SLACK_S
        late = [a for b in drained for a in b.arrivals[before[b.name] :] if a.at > limit]
        sent_on += len(late)
        if late:
            last = max(a.at for a in late) - started_at
            breaks.append(f"drain: restart {number + 1}: {len(late)} requests reached backends that drained before the process "
                          f"began, the last {last:.2f} s after its start; {GRACE_MS / 1000 + SLACK_S:.2f} s are allowed")
    served = sum(sent.status == 200 for sent in world.sent)
    say(f"{len(world.sent)} sent, {served} served; {sent_on} requests to draining backends too late")
    return breaks


def settings() -> dict:
    """The settings of the small site, with the grace of the further deployment."""
    found = settings_of_site()
    found["guarantees"]["drainGraceMs"] = GRACE_MS
    return found


if __name__ == "__main__":
    sys.exit(play(Path(sys.argv[1]), settings(), 1, case))
