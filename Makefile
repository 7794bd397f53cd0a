PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
STAMP := $(VENV)/.ready

.PHONY: setup run test lint format fuzz bench binary plots proto

setup: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt pyproject.toml
	$(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet -r requirements-dev.txt
	$(BIN)/pip install --quiet --no-deps --no-build-isolation -e .
	touch $(STAMP)

run: setup
	$(BIN)/mangotally demo

test: setup
	$(BIN)/python -m tests

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

fuzz: setup
	$(BIN)/python -m tests.fuzz

bench: setup
	$(BIN)/python -m benches

plots: setup
	$(BIN)/pip install --quiet -r requirements-plots.txt

binary: setup
	$(BIN)/python -m benches.binary dist/mangotally

proto: setup
	$(BIN)/python -m grpc_tools.protoc -I. --python_out=. \
	  --grpc_python_out=. mangotally/hosts/hosts.proto \
	  mangotally/entry/entry.proto
