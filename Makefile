PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.installed

$(STAMP): requirements.txt pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -r requirements.txt
	$(BIN)/python -m pip install --quiet --disable-pip-version-check --no-deps --no-build-isolation -e .
	touch $(STAMP)

.PHONY: env test demo lint format docs prove matrix soak bench-start capacity

env: $(STAMP)

test: $(STAMP)
	$(BIN)/python -m tests

demo: $(STAMP)
	$(BIN)/python -m standins.demo

lint: $(STAMP)
	$(BIN)/ruff format --check .
	$(BIN)/flake8 cassialever standins bench soak tests
	$(BIN)/mypy

format: $(STAMP)
	$(BIN)/ruff format .

docs: $(STAMP)
	$(BIN)/python -m cassialever.tool.reference

SEED ?= 1
STEPS ?= 120
RUNS ?= 50

prove: $(STAMP)
	$(BIN)/python -m tests.prove --seed $(SEED) --steps $(STEPS) --runs $(RUNS)

matrix: $(STAMP)
	$(BIN)/python -m tests.matrix

bench-start: $(STAMP)
	@echo "program          CPU, s   memory, MB"
	@$(BIN)/python -m bench.start bare
	@$(BIN)/python -m bench.start daemon

capacity: $(STAMP)
	$(BIN)/python -m bench.capacity

SECONDS ?= 30

soak: $(STAMP)
	$(BIN)/python -m soak --seed $(SEED) --seconds $(SECONDS) --runs $(RUNS) $(if $(OTHER),--other $(OTHER))
