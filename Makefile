# Two commands do everything on a fresh machine: `make demo` and `make test`.
# Both install into .venv, which the bench's adapter uses too; either may come first.
.PHONY: demo test lint clean rollout-days

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
	$(BIN)/lint-imports --no-cache

test: lint
	$(BIN)/python -m pytest -q

# 500 seeded days of control processes on virtual clocks: some minutes on one core.
rollout-days: .venv/.dev
	$(BIN)/python -m rushweir.lab.sim.control_days 500

clean:
	rm -rf .venv
