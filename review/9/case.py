"""A part of the answers over HTTP have no length: status 200, a whole body, then the end of the connection."""

import asyncio
import random
import sys
import uuid
from pathlib import Path

from world import (
    Arrival,
    Backend,
    CannotRun,
    World,
    customer_id,
    play,
    say,
    settings_of_site,
    trouble_wanted,
    usual_answer,
)

SHARE_WITHOUT_LENGTH = 0.4  # of the answers
REQUESTS_PER_S = 25
PLAYED_S = 16.0
FORWARDED_SHARE = 0.5  # "of the answers with no length that come whole, half at least are forwarded"


async def case(world: World) -> list[str]:
    rng = random.Random(2)
    without_length: list[Arrival] = []

    async def answer(backend: Backend, arrival: Arrival) -> None:
        if not trouble_wanted() or rng.random() >= SHARE_WITHOUT_LENGTH:
            await usual_answer(backend, arrival)
            return
        await asyncio.sleep(backend.work_s)
        world.record.add("ran", id=arrival.id, backend=backend.name, attempt=arrival.number, length=False)
        arrival.writer.write(b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n" + backend.body_for(arrival))
        await arrival.writer.drain()
        arrival.writer.close()  # the body is whole: it ends with the connection, by FIN, not by a reset
        without_length.append(arrival)

    backends = [Backend(world, f"s-{n}", zone=f"room-{'abc'[n % 3]}") for n in range(6)]
    for backend in backends:
        backend.answering = answer
    await world.open(backends)
    await world.ingresses[0].start(known=world.discovery.page())
    end = world.record.now() + PLAYED_S
    tasks = set()
    while world.record.now() < end:
        kind = rng.choice(["position", "fare-quote", "booking"])
        key = uuid.uuid4().hex if kind == "booking" else None
        customer = customer_id(rng.randrange(1, 400))
        ask = world.ask(0, kind, "kozep", customer, 3000, safe=kind != "booking", key=key)
        tasks.add(asyncio.ensure_future(ask))
        await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))
    await asyncio.wait(tasks, timeout=6)
    bodies = {sent.id: sent.body for sent in world.sent if sent.status == 200}
    forwarded = sum(
        bodies.get(arrival.id) == world.backends[arrival.backend].body_for(arrival) for arrival in without_length
    )
    answered = {arrival.id for arrival in without_length}
    not_served = [sent for sent in world.sent if sent.id in answered and sent.status != 200]
    say(
        f"{len(world.sent)} sent, {len(bodies)} served; {len(without_length)} answers without a length came whole, "
        f"{forwarded} of them were forwarded; {len(not_served)} requests with such an answer were told "
        f"{sorted({str(sent.status) for sent in not_served})}, "
        f"{sum(s.kind == 'booking' for s in not_served)} of them bookings"
    )
    if not trouble_wanted():
        return [] if len(bodies) > 0.9 * len(world.sent) else ["served too little without the disruption"]
    if len(without_length) < 20:
        raise CannotRun("too few answers without a length")
    if forwarded < FORWARDED_SHARE * len(without_length):
        return [
            f"lost: of {len(without_length)} answers without a length that came whole, {forwarded} were forwarded"
        ]
    return []


if __name__ == "__main__":
    sys.exit(play(Path(sys.argv[1]), settings_of_site(), 1, case))
