"""Every benchmark can be imported from a checkout, and names the command that runs it."""

from __future__ import annotations

import importlib
from pathlib import Path

import pytest

FOLDER = Path(__file__).parents[1] / "benchmarks"


@pytest.mark.parametrize("name", sorted(file.stem for file in FOLDER.glob("*.py")))
def test_benchmark_names_the_command_that_runs_it(name):
    module = importlib.import_module(f"benchmarks.{name}")
    assert f".venv/bin/python -m benchmarks.{name}" in module.__doc__ and callable(module.main)


def test_all_benchmarks_are_found():
    assert len(list(FOLDER.glob("*.py"))) >= 9
