# The virtual environment can be shared between work trees: make VENV=... test
VENV ?= .venv
PYTHON ?= python3.11
BIN = $(VENV)/bin
DIST = dist
STAMP = $(VENV)/.requirements-installed

.PHONY: setup test lint format demo bench binary capacity clean

setup: $(STAMP)

$(STAMP): requirements.txt requirements-dev.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet -r requirements-dev.txt
	touch $(STAMP)

test: setup
	$(BIN)/python -m pytest

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

demo: setup
	sh demo/run.sh $(BIN)/python

bench: setup
	$(BIN)/python -m bench

capacity: setup
	$(BIN)/python -m bench.capacity

binary: setup
	rm -rf build $(DIST)/acacialatch
	mkdir -p $(DIST)
	$(BIN)/python -m shiv --quiet --reproducible --root /run/acacialatch \
	  --python "/usr/bin/env python3.11" --console-script acacialatch \
	  --output-file $(DIST)/acacialatch -r requirements.txt .

clean:
	rm -rf build dist *.egg-info
