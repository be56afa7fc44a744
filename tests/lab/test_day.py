"""Days over real processes: an honest fleet keeps the rules, and each sabotaged one is caught."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import pytest

from rushweir.lab.checker import check
from rushweir.lab.day import load
from rushweir.lab.records import read_all
from rushweir.lab.run import run_day
from rushweir.lab.sabotage import KINDS

DAY = Path(__file__).parent / "small.day"
BREAKS = {"lost": 1, "twice": 1, "repeat": 2, "drain": 3, "cold": 4, "ceiling": 5}


@pytest.fixture(scope="module")
def verdicts(tmp_path_factory):
    """One day with honest ingresses and one for each kind of sabotage, three at a time."""

    async def main() -> dict:
        gate, found = asyncio.Semaphore(3), {}

        async def one(kind: str) -> None:
            folder = tmp_path_factory.mktemp(kind)
            command = [sys.executable, "-m", "rushweir", "serve"]
            if kind != "honest":
                command = [sys.executable, "-m", "rushweir.lab.sabotage", kind, "serve"]
            async with gate:
                await run_day(load(DAY), folder, True, command)
            records = read_all(folder)
            found[kind] = (check(records), records)

        await asyncio.gather(*(one(k) for k in ("honest", *KINDS)))
        return found

    return asyncio.run(main())


def test_an_honest_fleet_keeps_all_rules(verdicts):
    verdict, records = verdicts["honest"]
    assert verdict.kept, "\n".join(verdict.lines())
    assert all(verdict.judged.values()), verdict.judged  # each rule had something to judge
    kinds = {r["kind"] for r in records if r["e"] == "answer"}
    assert {"served", "refused"} <= kinds


@pytest.mark.parametrize("kind", sorted(KINDS))
def test_each_sabotage_is_caught(verdicts, kind):
    verdict, _ = verdicts[kind]
    assert verdict.breaches[BREAKS[kind]], "\n".join(verdict.lines())


def test_every_kind_of_sabotage_has_its_rule():
    assert set(BREAKS) == set(KINDS) and set(BREAKS.values()) == {1, 2, 3, 4, 5}
