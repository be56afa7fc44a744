# Two commands do everything on a fresh machine: `make demo` and `make test`.
# Both install into .venv, which the bench's adapter uses too; either may come first.
.PHONY: demo test lint scale rollout-days distribution-days clean

PYTHON ?= python3
BIN = .venv/bin

.venv/bin/python:
	$(PYTHON) -m venv .venv

.venv/.run: requirements.txt requirements-edge.txt requirements-run.txt | .venv/bin/python
	$(BIN)/pip install -q --disable-pip-version-check -r requirements-run.txt
	touch $@

.venv/.dev: requirements-dev.txt .venv/.run
	$(BIN)/pip install -q --disable-pip-version-check -r requirements-dev.txt
	touch $@

demo: .venv/.run
	$(BIN)/python -m rushweir demo

lint: .venv/.dev
	$(BIN)/ruff check .
	$(BIN)/ruff format --check .
	$(BIN)/lint-imports --no-cache

# Four workers, by the lanes of tests/lanes.py; `pytest` alone runs all in one.
test: lint
	$(BIN)/python -m pytest -q -n 4

# What each role costs by size, into docs/capacity.json: 15 minutes at most on 8 cores that do nothing else.
scale: .venv/.run
	$(BIN)/python -m rushweir lab scale --json docs/capacity.json

# 500 seeded days of control processes on virtual clocks: some minutes on one core.
rollout-days: .venv/.dev
	$(BIN)/python -m rushweir.lab.sim.control_days 500

# 500 seeded days of settings on their way to ingresses, on two cores, then the hard day: 700 ingresses, 100 changes a
# second for a minute.
distribution-days: .venv/.dev
	$(BIN)/python -m rushweir.lab.sim.rollout_days --days 500 --jobs 2
	$(BIN)/python -m rushweir.lab.sim.rollout_days --days 1 --hard

clean:
	rm -rf .venv
