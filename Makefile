VENV ?= .venv
PYTHON ?= python3
PACKAGES := fulmarlever fulmarleverd fulmarlever_cli fulmarlever_standins
BIN := $(VENV)/bin

empty :=
space := $(empty) $(empty)
export PYTHONPATH := $(subst $(space),:,$(foreach p,$(PACKAGES),$(CURDIR)/packages/$(p)))
export PATH := $(abspath $(BIN)):$(PATH)

.PHONY: demo test lint format setup

demo: setup
	$(BIN)/python -m fulmarlever_standins demo examples/portland.yaml

test: setup
	$(BIN)/python tools/run_tests.py

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/python tools/check_tree.py

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

setup: $(VENV)/.installed

$(VENV)/.installed: requirements.txt $(foreach p,$(PACKAGES),packages/$(p)/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --require-hashes -r requirements.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation $(foreach p,$(PACKAGES),-e packages/$(p))
	touch $@
