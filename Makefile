# Sets up a fresh machine, runs the demonstration, the tests and checks.
VENV ?= .venv
PYTHON ?= python3
BIN := $(VENV)/bin
PACKAGES := core documents config daemon gateway cli standins lab
empty :=
space := $(empty) $(empty)
SOURCES := $(foreach name,$(PACKAGES),$(CURDIR)/packages/$(name)/src)
export PYTHONPATH := $(subst $(space),:,$(SOURCES) $(CURDIR)/platform)
DEPLOYMENT ?= sabarmati
SEED ?= 1
STEPS ?= 60
SECONDS ?= 45
SCENARIO ?=
STAMP := $(VENV)/.installed

.PHONY: setup demo test bench fuzz load capacity soak check format lint types \
	contract

setup: $(STAMP)

$(STAMP): requirements.txt $(wildcard packages/*/pyproject.toml)
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --requirement requirements.txt
	$(BIN)/python -m pip install --quiet --no-deps --no-build-isolation \
		$(foreach name,$(PACKAGES),--editable packages/$(name))
	touch $(STAMP)

demo: setup
	$(BIN)/python -m zinnialead_lab demo \
		--deployment $(DEPLOYMENT) --seed $(SEED)

test: setup
	$(BIN)/python -m pytest

bench: setup
	$(BIN)/python -m zinnialead_lab bench --seed $(SEED)

fuzz: setup
	$(BIN)/python -m zinnialead_lab fuzz --seed $(SEED) --steps $(STEPS)

soak: setup
	PYTHONPATH=$(PYTHONPATH):$(CURDIR)/tests $(BIN)/python -m soak \
		--seed $(SEED) --seconds $(SECONDS)

load: setup
	$(BIN)/python -m zinnialead_lab load --scenario "$(SCENARIO)" \
		--seed $(SEED)

capacity: setup
	$(BIN)/python -m zinnialead_lab capacity

format: setup
	$(BIN)/ruff format --check packages platform tests

lint: setup
	$(BIN)/ruff check packages platform tests
	$(BIN)/flake8 packages platform tests

types: setup
	$(BIN)/mypy $(foreach name,$(PACKAGES),packages/$(name)/src) \
		platform/zinnialead_platform

contract: setup
	$(BIN)/lint-imports

check: format lint types contract
