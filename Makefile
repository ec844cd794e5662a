# Needs Python 3.11 and make. Everything else comes by pip into .venv-dev.
PYTHON ?= python3
VENV := .venv-dev
RUN := $(VENV)/bin/python -m lifthead.cli
OUT ?= .lifthead/day
SEED ?= 1
# Test files side by side; tests/conftest.py says which run one after the other.
WORKERS ?= 4

.PHONY: setup test demo bad-day bench clean

$(VENV)/.done: pyproject.toml
	test -x $(VENV)/bin/python || $(PYTHON) -m venv $(VENV)
	$(VENV)/bin/pip -q install -e '.[dev]'
	touch $@

setup: $(VENV)/.done

test: setup
	$(VENV)/bin/ruff check lifthead tests benchmarks
	$(VENV)/bin/ruff format --check -q lifthead tests benchmarks
	$(VENV)/bin/python -m compileall -q lifthead  # tests start hundreds of processes
	$(VENV)/bin/python -m pytest -q -n $(WORKERS) --dist loadgroup

demo: setup
	$(RUN) day examples/quiet.star --seed $(SEED) --out $(OUT)
	$(RUN) verify $(OUT)

bad-day: setup
	$(RUN) day examples/bad-day.star --seed $(SEED) --out $(OUT)

bench: setup
	$(VENV)/bin/python -m benchmarks.router

clean:
	rm -rf .lifthead
