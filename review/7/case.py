"""A backend drains while discovery is slow: each call is answered whole and in order, but ANSWER_DELAY_S late."""

import asyncio
import random
import sys
from pathlib import Path

from world import Backend, CannotRun, World, customer_id, play, say, settings_of_site, trouble_wanted

ANSWER_DELAY_S = 1.0  # the pages count what a call brings as told 2 s after its wait has ended
TOLD_AFTER_S = 6.0  # "at the latest 6 s after discovery had it and could be reached"
GRACE_S = 1.0  # guarantees.drainGraceMs
SLACK_S = 0.05  # every time limit is longer by 50 ms
QUIET_S, WATCHED_S = 4.0, 14.0
REQUESTS_PER_S = 20


async def case(world: World) -> list[str]:
    backends = [Backend(world, f"s-{n}", zone=f"room-{'abc'[n % 3]}") for n in range(6)]
    await world.open(backends)
    ingress = world.ingresses[0]
    await ingress.start(known=world.discovery.page())
    rng = random.Random(1)

    async def clients() -> None:
        while True:
            customer = customer_id(rng.randrange(1, 200))
            world.spawn(world.ask(0, rng.choice(["position", "fare-quote"]), "kozep", customer, 2000))
            await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))

    world.spawn(clients())
    await asyncio.sleep(QUIET_S)
    if trouble_wanted():
        world.discovery.answer_delay_s = ANSWER_DELAY_S
        world.record.add("discovery_slow", answer_delay_s=ANSWER_DELAY_S)
        await asyncio.sleep(3.0)
    drained = backends[0]
    before = len(drained.arrivals)
    if not before:
        raise CannotRun("the backend had no work before it drained")
    world.discovery.change(drained, state="Terminating")
    drained_at = world.record.now()
    await asyncio.sleep(WATCHED_S)
    limit = drained_at + TOLD_AFTER_S + GRACE_S + SLACK_S
    late = [arrival for arrival in drained.arrivals if arrival.at > limit]
    served = sum(sent.status == 200 for sent in world.sent)
    say(
        f"{len(world.sent)} sent, {served} served; the drained backend had {before} before, "
        f"{len(drained.arrivals) - before} after, of them {len(late)} later than "
        f"{TOLD_AFTER_S + GRACE_S + SLACK_S:.2f} s"
    )
    if not late:
        return []
    last = late[-1].at - drained_at
    return [
        f"drain: {len(late)} requests reached {drained.name} more than 7.05 s after it drained, "
        f"the last {last:.2f} s after"
    ]


if __name__ == "__main__":
    sys.exit(play(Path(sys.argv[1]), settings_of_site(), 1, case))
