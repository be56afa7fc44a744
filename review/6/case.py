"""Ten bad clients send what can't be read, and the same again as soon as it is turned away."""

import asyncio
import random
import sys
from pathlib import Path

from world import LOOPBACK, Backend, CannotRun, World, customer_id, play, say, settings_of_site, trouble_wanted

MEMORY_MB = 48  # the pages: 32 to 192 MB
SOCKETS = 512  # the pages: 256 to 1,024
BAD_CLIENTS = 10
NOISE_BYTES = 2000
QUIET_S, PLAYED_S = 4.0, 70.0
REQUESTS_PER_S = 20


async def bad_client(world: World, rng: random.Random, turned_away: list[float]) -> None:
    """Sends noise, reads what it is sent until the ingress closes, and begins again."""
    while True:
        writer = None
        try:
            reader, writer = await asyncio.open_connection(LOOPBACK, world.ingresses[0].port)
            writer.write(rng.randbytes(NOISE_BYTES))
            while await reader.read(65_536):
                pass
            turned_away.append(world.record.now())
        except OSError:
            await asyncio.sleep(0.01)
        finally:
            if writer is not None:
                writer.close()


async def case(world: World) -> list[str]:
    rng = random.Random(3)
    backends = [Backend(world, f"s-{n}", zone=f"room-{'abc'[n % 3]}") for n in range(6)]
    await world.open(backends)
    ingress = world.ingresses[0]
    ingress.limits = {"cores": 1.0, "memory_mb": MEMORY_MB, "sockets": SOCKETS}
    await ingress.start(known=world.discovery.page())

    async def clients() -> None:
        while True:
            world.spawn(world.ask(0, "position", "kozep", customer_id(rng.randrange(1, 200)), 2000))
            await asyncio.sleep(rng.expovariate(REQUESTS_PER_S))

    world.spawn(clients())
    await asyncio.sleep(QUIET_S)
    quiet_mb = ingress.memory_mb()
    turned_away: list[float] = []
    if trouble_wanted():
        for _ in range(BAD_CLIENTS):
            world.spawn(bad_client(world, rng, turned_away))
    began_at, peak_mb, next_line = world.record.now(), 0.0, 0.0
    while world.record.now() < began_at + PLAYED_S:
        await asyncio.sleep(0.1)
        if ingress.process is not None and ingress.process.returncode is not None:
            return [f"crash: the ingress ended by itself with {ingress.process.returncode}"]
        peak_mb = max(peak_mb, ingress.memory_mb())
        if world.record.now() >= next_line or peak_mb > MEMORY_MB:
            next_line = world.record.now() + 1.0
            world.record.add("memory", private_mb=round(ingress.memory_mb(), 1), turned_away=len(turned_away))
        if peak_mb > MEMORY_MB:
            open_now = sum(s.answered_at is None and not s.error for s in world.sent)
            after_s = world.record.now() - began_at
            await ingress.kill()  # the platform: "over `memory_mb` the ingress is killed"
            return [
                f"crash: {peak_mb:.0f} MB of private memory, {MEMORY_MB} are allowed, {after_s:.1f} s after "
                f"{BAD_CLIENTS} bad clients began ({len(turned_away)} connections turned away; {quiet_mb:.0f} MB "
                f"before); killed with {open_now} requests open"
            ]
    say(f"{quiet_mb:.1f} MB before, {peak_mb:.1f} MB at most; {len(turned_away)} connections turned away")
    if trouble_wanted() and len(turned_away) < 30_000:
        raise CannotRun("the bad clients came to few connections: the machine was too slow")
    return []


if __name__ == "__main__":
    sys.exit(play(Path(sys.argv[1]), settings_of_site(), 1, case))
