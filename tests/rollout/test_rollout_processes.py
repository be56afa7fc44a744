"""Settings from three control processes to ingresses, all of them processes."""

from __future__ import annotations

import shutil
import signal
from pathlib import Path

from tests.rollout.rollout_harness import Site, partner, play

DOORS = ("door-a", "door-b", "door-c")


def test_a_change_is_in_force_at_all_and_a_restart_needs_no_control_process(tmp_path: Path) -> None:
    async def body(s: Site) -> None:
        await s.up(*DOORS)
        await s.start(*DOORS)
        for name in DOORS:
            await s.line(name, "settings_awaited")
        number = await s.first()
        await s.serving(*DOORS)
        later = await s.change(("partner", "p1", None), ("partner", "new", partner(99)))
        assert later == number + 1
        await s.in_force(later, *DOORS)
        for name in DOORS:
            names = {row["path"][1] for row in await s.ask(name, "settings") if row["path"][0] == "partner"}
            assert names == {"p0", "p2", "new"}
        told = await s.seen(0, lambda rows: [rows[n]["acts"] for n in DOORS if n in rows] == [later] * 3)
        assert [(r["behind"], r["why"]) for r in told["ingresses"]] == [(0, "")] * 3
        for name in DOORS:  # and each is told that all do
            await s.line(name, "settings_everywhere", version=later)
            assert not [x for x in s.lines[name] if x["event"] == "rollout_failed"]

        for k in (0, 1, 2):
            await s.control.kill(k)
        await s.kill("door-a")
        await s.start("door-a")
        await s.serving("door-a")
        assert (await s.status("door-a"))["rollout"]["version"] == later
        assert (await s.line("door-a", "settings_kept", version=later))["objects"] == 6

    play(tmp_path, body)


def test_one_that_can_not_be_reached_is_named_and_gets_what_it_missed(tmp_path: Path) -> None:
    async def body(s: Site) -> None:
        await s.up(*DOORS)
        await s.start(*DOORS)
        await s.first()
        await s.serving(*DOORS)
        number = await s.change(("partner", "p0", partner(50)))
        await s.in_force(number, *DOORS)
        await s.seen(0, lambda rows: {r["acts"] for r in rows.values()} == {number} and len(rows) == 3)
        await s.kill("door-c")
        for n in range(3):
            number = await s.change(("partner", "p0", partner(60 + n)))
        await s.in_force(number, "door-a", "door-b")
        told = await s.seen(0, lambda rows: rows["door-c"]["why"].startswith("not heard"))
        (row,) = [r for r in told["ingresses"] if r["ingress"] == "door-c"]
        assert (row["acts"], row["behind"]) == (number - 3, 3)
        assert told["ingresses"][0] is not None and told["ingresses"][0]["ingress"] == "door-c"
        await s.start("door-c")
        await s.serving("door-c")
        await s.in_force(number, "door-c")
        counts = (await s.status("door-c"))["rollout"]["counts"]
        assert counts.get("mended", 0) == 0  # steps, not the whole
        await s.seen(0, lambda rows: {r["acts"] for r in rows.values()} == {number})

    play(tmp_path, body)


def test_a_change_that_fits_two_and_not_the_third_is_refused_whole_and_told_back(tmp_path: Path) -> None:
    async def body(s: Site) -> None:
        await s.up(*DOORS, numbers={"door-a": (0, 2), "door-b": (1, 2)})
        await s.start(*DOORS)
        first = await s.first()
        await s.serving(*DOORS)
        bad = await s.change(("partner", "p0", partner(70)), ("partner", "p1", partner(1, "through 1 1\n")))
        await s.in_force(bad, "door-a", "door-b")
        told = await s.seen(1, lambda rows: rows.get("door-c", {}).get("refused") == bad)
        (row,) = [r for r in told["ingresses"] if r["ingress"] == "door-c"]
        assert (row["acts"], row["behind"]) == (first, 1)
        assert row["why"].startswith("partner p1: through: ")
        mine = (await s.status("door-c"))["rollout"]
        assert mine["version"] == first and mine["refused"] == row["why"]
        rows = {tuple(r["path"]): r for r in await s.ask("door-c", "settings")}
        assert f"{70:064x}" not in str(rows["partner", "p0", "credential"])  # nothing of it
        good = await s.change(("partner", "p1", partner(1)))
        await s.in_force(good, *DOORS)
        rows = {tuple(r["path"]): r for r in await s.ask("door-c", "settings")}
        assert f"{70:064x}" in str(rows["partner", "p0", "credential"])  # with the step that mends it, all of it
        await s.seen(1, lambda rows: all(r["why"] == "" and r["acts"] == good for r in rows.values()))

    play(tmp_path, body)


def test_those_of_a_control_process_that_is_killed_move_on(tmp_path: Path) -> None:
    async def body(s: Site) -> None:
        await s.up(*DOORS)
        await s.start(*DOORS)
        await s.first()
        await s.serving(*DOORS)
        where = (await s.status("door-a"))["rollout"]["watches"]
        k = s.control.ports.index(int(where.rpartition(":")[2]))
        await s.control.kill(k)
        number = await s.change(("partner", "p0", partner(80)))
        await s.in_force(number, *DOORS)
        assert (await s.status("door-a"))["rollout"]["watches"] not in ("", where)

    play(tmp_path, body)


def test_a_restart_still_holds_down_who_has_other_doors_until_all_know_them(tmp_path: Path) -> None:
    async def body(s: Site) -> None:
        await s.up("door-a", "door-b", numbers={"door-a": (0, 2), "door-b": (1, 2)})
        await s.start("door-a", "door-b")
        await s.first()
        await s.serving("door-a", "door-b")
        capped = partner(0).replace(b"wide", b"capped")
        plan = b"rate 100/s\nburst 100\nceiling-rate 50/s\nceiling-burst 50\n"
        first = await s.change(("plan", "capped", plan), ("partner", "p0", capped))
        await s.in_force(first, "door-a", "door-b")
        await s.seen(0, lambda rows: {r["acts"] for r in rows.values()} == {first} and len(rows) == 2)
        # What was held down as both started with nothing is free, so that it is the move that is counted.
        await s.line("door-a", "settings_everywhere", version=first)
        assert (await s.status("door-a"))["rollout"]["held_down"] == 0
        await s.kill("door-b")
        moved = await s.change(("partner", "p0", capped + b"through 1 1\n"))
        await s.in_force(moved, "door-a")
        assert (await s.status("door-a"))["rollout"]["held_down"] == 1
        await s.seen(0, lambda rows: rows["door-a"]["acts"] == moved)  # on its disk
        await s.kill("door-a")
        await s.start("door-a")
        await s.serving("door-a")
        told = (await s.status("door-a"))["rollout"]
        assert (told["version"], told["held_down"]) == (moved, 1)
        await s.start("door-b")
        await s.serving("door-b")
        await s.line("door-a", "settings_everywhere", version=moved)
        assert (await s.status("door-a"))["rollout"]["held_down"] == 0

    play(tmp_path, body)


def test_who_starts_with_nothing_holds_down_only_who_changed_after_what_all_act_on(tmp_path: Path) -> None:
    async def body(s: Site) -> None:
        await s.up("door-a", "door-b", numbers={"door-a": (0, 2), "door-b": (1, 2)})
        await s.start("door-a", "door-b")
        first = await s.first()
        for name in ("door-a", "door-b"):
            await s.line(name, "settings_everywhere", version=first)
        await s.kill("door-b")
        s.processes["door-a"].send_signal(signal.SIGSTOP)  # it acts on the first, and is not told of the move
        moved = await s.change(("partner", "p0", partner(0, "through 1 1\n")))
        shutil.rmtree(s.folder / "run-door-b")
        await s.start("door-b")
        await s.serving("door-b")
        told = (await s.status("door-b"))["rollout"]
        assert (told["version"], told["least"], told["held_down"]) == (moved, first, 1)
        await s.seen(0, lambda rows: rows["door-b"]["acts"] == moved)  # on its disk
        await s.kill("door-b")
        await s.start("door-b")  # what it did not know at its start it does not know now
        await s.serving("door-b")
        assert (await s.status("door-b"))["rollout"]["held_down"] == 1
        s.processes["door-a"].send_signal(signal.SIGCONT)
        await s.line("door-b", "settings_everywhere", version=moved)
        assert (await s.status("door-b"))["rollout"]["held_down"] == 0

    play(tmp_path, body)


def test_a_change_costs_an_ingress_the_same_bytes_whatever_the_settings_size(tmp_path: Path) -> None:
    async def body(s: Site) -> None:
        await s.up("door-a")
        await s.start("door-a")
        await s.first()
        await s.serving("door-a")
        cost = []
        for size in (10, 3_000):
            number = await s.change(*(("partner", f"p{n}", partner(n)) for n in range(size)))
            await s.in_force(number, "door-a")
            each = []
            for n in range(5):
                before = (await s.status("door-a"))["rollout"]
                number = await s.change(("partner", "p7", partner(100_000 + size + n)))
                await s.in_force(number, "door-a")
                after = (await s.status("door-a"))["rollout"]
                each.append(after["received_bytes"] - before["received_bytes"])
            cost.append(min(each))  # a beat may come beside it
        assert abs(cost[0] - cost[1]) < 16 and max(cost) < 600

    play(tmp_path, body)


def test_a_torn_or_altered_kept_state_is_refused_and_named(tmp_path: Path) -> None:
    async def body(s: Site) -> None:
        await s.up("door-a")
        await s.start("door-a")
        await s.first()
        await s.serving("door-a")
        number = await s.change(("partner", "p0", partner(90)))
        await s.in_force(number, "door-a")
        await s.seen(0, lambda rows: rows.get("door-a", {}).get("acts") == number)  # on its disk
        await s.kill("door-a")
        book = tmp_path / "run-door-a" / "rollout.book"
        data = bytearray(book.read_bytes())
        data[-3] ^= 1
        book.write_bytes(data)
        await s.start("door-a")
        told = await s.line("door-a", "kept_settings_refused")
        assert "stored settings: object store torn or altered at byte" in told["why"]
        await s.serving("door-a")
        await s.in_force(number, "door-a")

    play(tmp_path, body)
