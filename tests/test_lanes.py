"""The lanes in which several workers run the tests."""

from __future__ import annotations

from pathlib import Path

from tests.lanes import LANE_OF, LANES, file_of, rank

ROOT = Path(__file__).parents[1]


def test_each_file_of_a_lane_exists_and_is_in_one_lane_only():
    named = [file for files in LANES.values() for file in files]
    assert len(named) == len(set(named)) and all((ROOT / file).is_file() for file in named)


def test_each_file_that_starts_processes_is_in_a_lane():
    """In parallel with others of its kind it would miss its times, or make them miss theirs."""
    marks = (
        "create_subprocess_exec(",
        "subprocess.Popen(",
        "run_day(",
        "    run_with_platform(",
        "    house(",
        "    place(",
        "Stage(",
        "ControlHarness(",
        "Site(",
    )
    found = {str(f.relative_to(ROOT)) for f in ROOT.glob("tests/**/test_*.py")
             if any(mark in f.read_text() for mark in marks) and f.name != "test_lanes.py"}  # fmt: skip
    assert found - set(LANE_OF) == set()
    assert len(found) > 10


def test_files_of_lanes_run_first_and_in_their_order():
    names = ["tests/test_lanes.py::one", *(f"{file}::two[a::b]" for file in reversed(LANE_OF))]
    assert sorted(names, key=rank)[-1] == names[0]
    assert [file_of(n) for n in sorted(names[1:], key=rank)] == list(LANE_OF)
