"""Processes that share ceilings under a fleet's faults, honest ones and some that do not return what was leased to
them. Judged by their logs and by what reached the nodes."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import pytest

from rushweir.lab.checker import check
from rushweir.lab.checker_parts import check_parts, read_parts
from rushweir.lab.day import load
from rushweir.lab.records import read_all
from rushweir.lab.run import run_day

DAY = Path(__file__).parent / "shared.day"


@pytest.fixture(scope="module")
def played(tmp_path_factory):
    """Plays the day with honest ingresses and with sabotaged ones at once."""

    async def main() -> dict:
        found = {}

        async def one(kind: str, command: list[str]) -> None:
            folder = tmp_path_factory.mktemp(kind)
            await run_day(load(DAY), folder, True, [sys.executable, "-m", *command, "serve", "--log", "json"])
            records = read_all(folder)
            facts = next(r for r in records if r["e"] == "facts")
            parts = read_parts(folder / "errors.txt", facts["wall_offset"])
            found[kind] = check(records), check_parts(parts, records, facts), parts, records, facts

        await asyncio.gather(one("honest", ["rushweir"]), one("sabotaged", ["rushweir.lab.sabotage", "parts"]))
        return found

    return asyncio.run(main())


def test_shares_of_all_processes_stay_within_total(played):
    verdict, parts, lines, records, _ = played["honest"]
    assert verdict.kept, "\n".join(verdict.lines())
    assert parts.kept and parts.changes > 100, "\n".join(parts.lines(0.0))
    assert parts.most > 0.8  # nearly all was leased
    assert verdict.judged[5] > 30 and len({r["process"] for r in lines}) >= 7
    assert {"killed", "paused", "joined", "retired"} <= {r["e"] for r in records}


def test_leases_that_never_expire_are_detected(played):
    _, parts, *_ = played["sabotaged"]
    assert not parts.kept


def test_checker_counts_leases_of_killed_process_until_they_expire(played):
    *_, facts = played["honest"]
    line = {
        "process": "a", "place": facts["places"][0], "partner": "capped-0", "rate": 5000, "burst": 8000, "t": 100.0,
        "lent_ms": 1000.0, "owned_rate": 2000, "owned_burst": 1000,
    }  # fmt: skip
    other = {**line, "process": "b", "place": facts["places"][1], "rate": 6000, "burst": 5000, "t": 1050.0}
    killed = [{"e": "killed", "ingress": 0, "t": 500.0}]
    assert not check_parts([line, other], [], facts).kept  # 5 and 6 of 8 a second
    assert not check_parts([line, other], killed, facts).kept  # its lease counts on, its minimum share does not
    assert check_parts([line, {**other, "t": 1101.0}], killed, facts).kept
    assert check_parts([line, {**other, "rate": 5000, "burst": 5000}], killed, facts).kept
