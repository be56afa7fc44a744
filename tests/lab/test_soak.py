"""The soak of shutdowns: what a seed draws, short plays of both programs, and planted faults that it has to find."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import sys
from pathlib import Path

import orjson
import pytest

from rushweir.lab.checker import check
from rushweir.lab.sabotage import KINDS
from rushweir.lab.soak import bad_clients
from rushweir.lab.soak.bad_clients import LEFT_LIMIT_MS, BadClients
from rushweir.lab.soak.play import attribute_arrivals
from rushweir.lab.soak.runner import again, summary
from rushweir.lab.soak.scenario import PROGRAMS, RUN, SERVE, draw

RULE_OF = {"lost": 1, "twice": 1, "repeat": 2, "drain": 3, "cold": 4, "ceiling": 5}
# Seeds 3, 11 and 18 have clients that send much and leave, refused clients that come again, answers without a length.
HONEST_SEEDS = {RUN: (3, 6, 9, 11, 18), SERVE: (4, 15)}
# Scenarios in which the fault has an occasion: resets, a backend that drains, one that joins cold, many requests.
SABOTAGED_SEED = {"lost": 3, "twice": 3, "repeat": 1, "drain": 1, "cold": 12, "ceiling": 1}


async def play(folder: Path, program: str, seed: int, *command: str) -> dict:
    process = await asyncio.create_subprocess_exec(
        sys.executable, "-m", "rushweir.lab.soak.play", program, str(seed), str(folder), *command,
        stdout=asyncio.subprocess.PIPE, stderr=asyncio.subprocess.DEVNULL, start_new_session=True,
    )  # fmt: skip
    try:
        output, _ = await asyncio.wait_for(process.communicate(), 100)
    finally:  # and all that it started, should it not have ended that
        with contextlib.suppress(ProcessLookupError):
            os.killpg(process.pid, signal.SIGKILL)
    row = orjson.loads(output)
    assert process.returncode == bool(row["breaches"])
    return row


@pytest.fixture(scope="module")
def rows(tmp_path_factory):
    """The rows of all plays, two at a time."""

    async def main() -> dict:
        gate, found = asyncio.Semaphore(2), {}

        async def one(key: tuple, program: str, seed: int, *command: str) -> None:
            async with gate:
                found[key] = await play(tmp_path_factory.mktemp("soak"), program, seed, *command)

        plays = [one((p, seed), p, seed) for p in PROGRAMS for seed in HONEST_SEEDS[p]]
        plays += [
            one((kind,), RUN, SABOTAGED_SEED[kind], sys.executable, "-m", "rushweir.lab.sabotage", kind, "run")
            for kind in KINDS
        ]
        await asyncio.gather(*plays)
        return found

    return asyncio.run(main())


@pytest.mark.parametrize(("program", "seed"), [(p, seed) for p in PROGRAMS for seed in HONEST_SEEDS[p]])
def test_shutdowns_keep_all_rules(rows, program, seed):
    row = rows[program, seed]
    assert row["breaches"] == []
    assert row["judged"]["1"] > 100


@pytest.mark.parametrize("kind", sorted(KINDS))
def test_each_rule_finds_its_planted_fault(rows, kind):
    assert RULE_OF[kind] in {breach["rule"] for breach in rows[kind,]["breaches"]}


def test_a_seed_always_draws_the_same_scenario_and_seeds_differ():
    for program in PROGRAMS:
        drawn = [draw(program, seed) for seed in range(40)]
        assert drawn == [draw(program, seed) for seed in range(40)]
        assert len(set(map(repr, drawn))) == 40
        assert {s.ingresses for s in drawn} == {2, 3, 4, 5, 6} and any(s.crowd for s in drawn)
        assert all(shutdown.ingress < s.ingresses for s in drawn for shutdown in s.shutdowns)
        assert all(1_300.0 <= s.kill_after_ms <= 3_700.0 for s in drawn)


BASE = {
    "t": 0.0, "e": "facts", "plans": {}, "partners": {}, "second_copies": False,
    "classes": {"c": {"deadline": 1000.0, "repeat": "unsafe", "group": "all", "window": 0}},
    "rules": {"answer_slack": 0.0, "drain_grace": 1000.0},
}  # fmt: skip


def asked(t: float, client: int, ingress: int = 0) -> dict:
    return {
        "t": t,
        "e": "ask",
        "client": client,
        "ingress": ingress,
        "id": "r",
        "cls": "c",
        "within": 900,
        "tag": "r",
    }


def arrived(t: float, ingress: int = -1) -> dict:
    return {"t": t, "e": "arrive", "node": "b", "room": "", "ingress": ingress, "req": "r", "n": 1, "cls": "c",
            "partner": "p", "key": "", "work": 1.0, "units": 1, "within": 900, "tag": "r"}  # fmt: skip


CLOSED = {"t": 20.0, "e": "closed", "client": 1}
RESENT = {"t": 21.0, "e": "resent", "tag": "r"}
ANSWER = {"t": 40.0, "e": "answer", "client": 2, "id": "r", "kind": "served"}
END = {"t": 9_000.0, "e": "event", "text": "end"}


@pytest.mark.parametrize(
    ("records", "broken"),
    [
        ([asked(10, 1), CLOSED, RESENT, asked(22, 2), ANSWER], False),
        ([asked(10, 1), CLOSED], True),
        ([asked(10, 1), CLOSED, RESENT, asked(22, 2), {**CLOSED, "t": 30.0, "client": 2}], True),
        ([asked(10, 1), arrived(15), CLOSED, RESENT, asked(22, 2), ANSWER], True),
        ([asked(10, 1), CLOSED, {**RESENT, "e": "untaken"}], False),
        ([asked(10, 1), arrived(15), CLOSED, {**RESENT, "e": "untaken"}], True),
    ],
)
def test_request_on_a_resting_connection_that_ends_is_judged_by_its_second_sending(records, broken):
    assert bool(check([BASE, *records, END]).breaches[1]) is broken


def test_arrivals_belong_to_the_ingress_that_was_asked_last():
    records = [asked(10, 1, 4), arrived(15), asked(22, 2, 5), arrived(25)]
    attribute_arrivals(records)
    assert [r["ingress"] for r in records] == [4, 4, 5, 5]


def test_summary_names_broken_seeds_and_the_command_that_plays_them_again():
    rows = [{"program": RUN, "seed": 4, "judged": {"1": 7}, "killed": 1, "breaches": [{"rule": 1}]},
            {"program": RUN, "seed": 2, "judged": {"1": 5}, "killed": 0, "breaches": []}]  # fmt: skip
    assert summary(rows, 12.4) == [
        "run: 2 plays, 12 requests judged, 1 processes killed after their time, 1 broken (seeds 4)", "12 s",
    ]  # fmt: skip
    assert again(RUN, 4) == "python -m rushweir lab soak --program run --seeds 4-4"


def processes_of(folder: Path) -> list[str]:
    """Processes that name a folder in their command line or environment."""
    found = []
    for process in Path("/proc").glob("[0-9]*"):
        with contextlib.suppress(OSError):
            if str(folder).encode() in (process / "cmdline").read_bytes() + (process / "environ").read_bytes():
                found.append(process.name)
    return found


def test_interrupted_soak_ends_what_it_started(tmp_path):
    command = ["lab", "soak", "--program", "run", "--seeds", "1-1", "--keep", str(tmp_path)]

    async def main() -> tuple[int, str]:
        soak = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "rushweir", *command, stdout=asyncio.subprocess.PIPE
        )
        async with asyncio.timeout(60):
            while len(processes_of(tmp_path)) < 4:  # the soak, its play and the ingresses
                await asyncio.sleep(0.05)
            soak.send_signal(signal.SIGINT)
            output, _ = await soak.communicate()
        return soak.returncode, output.decode()

    assert asyncio.run(main()) == (130, "interrupted\n")
    assert processes_of(tmp_path) == []


def test_seeds_of_the_suite_draw_bad_clients_and_answers_without_a_length():
    drawn = [draw(RUN, seed) for seed in HONEST_SEEDS[RUN]]
    assert any(d.leaving_clients for d in drawn) and any(d.refused_clients for d in drawn)
    assert any(d.unsized_share and d.unsized_resets for d in drawn)
    assert not any(draw(SERVE, seed).leaving_clients for seed in range(40))


def test_attempt_for_a_client_that_has_left_is_found_but_not_by_the_laboratorys_own_delay(monkeypatch):
    now = 10_000.0
    monkeypatch.setattr(bad_clients, "clock", lambda: now)
    bad = BadClients(None, None, pause_ms=0.0)
    bad.left_at |= {"in time": now - LEFT_LIMIT_MS, "late": now - LEFT_LIMIT_MS - 1.0}
    for tag in ("in time", "late", "of one that stayed"):
        bad.attempt_arrived(tag)
    assert bad.late_attempts == [LEFT_LIMIT_MS + 1.0]
    bad.own_delays.append((now - 50.0, 5.0))
    bad.attempt_arrived("late")
    assert len(bad.late_attempts) == 1
