# Commands of the project; each one sets up what it needs.

PYTHON ?= python3
VENV ?= .venv
AREA ?= all
BIN := $(abspath $(VENV))/bin
PACKAGES := state coordination protocol platform transport daemon cli emulator
SOURCES := $(foreach name,$(PACKAGES),$(CURDIR)/packages/$(name)/src)
empty :=
space := $(empty) $(empty)
# Puts this checkout before the one that the environment was installed from.
export PYTHONPATH := $(subst $(space),:,$(SOURCES))
STAMP := $(VENV)/.installed

.PHONY: setup demo demo-platform soak test lint types unit fuzz behave bench bench-compare plots format example

setup: $(STAMP)

$(STAMP): requirements.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --require-hashes -r requirements.txt
	$(BIN)/python -m pip install --quiet --no-build-isolation --no-deps \
		$(foreach name,$(PACKAGES),-e packages/$(name))
	touch $(STAMP)

format: setup
	$(BIN)/ruff format packages features
	$(BIN)/ruff check --fix packages features

lint: setup
	$(BIN)/ruff format --check packages features
	$(BIN)/ruff check packages features
	$(BIN)/flake8 packages features
	$(BIN)/lint-imports

types: setup
	$(BIN)/mypy packages/*/src

# The stand-ins of the soak share its process, so it has one of its own.
SOAK_TESTS := packages/emulator/src/skylarktack/emulator/tests/test_soak.py

unit: setup
	$(BIN)/python -m pytest --ignore=$(SOAK_TESTS)
	$(BIN)/python -m pytest $(SOAK_TESTS)

# Tests that generate their examples, with many more and a fresh seed.
fuzz: setup
	$(BIN)/python -m pytest -m hypothesis --hypothesis-profile=long \
		--hypothesis-show-statistics

behave: setup
	$(BIN)/behave --format progress features

test: lint types behave unit

demo: setup
	$(BIN)/python -m skylarktack.emulator.demo

# The same on stand-ins of the users' platform.
demo-platform: setup
	$(BIN)/python -m skylarktack.emulator.demo.platform

# Fresh seeds of the fault soak; SEED=<n> repeats one.
MINUTES ?= 2
soak: setup
	$(BIN)/python -m skylarktack.emulator.soak --minutes=$(MINUTES) \
		$(if $(SEED),--seed=$(SEED) --minutes=0,)

bench: setup
	$(BIN)/python -m skylarktack.emulator.bench --area $(AREA)

# Runs the same benchmarks on an earlier commit and on this one.
bench-compare: setup
	test -n "$(BASE)" || { echo "give BASE=<commit>"; exit 2; }
	rm -rf build/base && git worktree prune
	git worktree add --quiet --detach build/base $(BASE)
	-$(MAKE) -C build/base -o $(abspath $(STAMP)) VENV=$(abspath $(VENV)) \
		AREA=$(AREA) bench \
		> build/base.jsonl
	git worktree remove --force build/base
	-$(MAKE) AREA=$(AREA) bench > build/now.jsonl
	$(BIN)/python -m skylarktack.emulator.bench.compare \
		build/base.jsonl build/now.jsonl

# Draws plots of the figures in FIGURES, by default of a new run.
FIGURES ?= build/now.jsonl
plots: setup
	mkdir -p build
	test -f $(FIGURES) || $(MAKE) -s bench > $(FIGURES)
	$(BIN)/python -m skylarktack.emulator.bench.plots $(FIGURES)

example: setup
	$(BIN)/python examples/embed_coordination.py
