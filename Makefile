# Targets for developers and CI. Every target installs missing packages first.
BUILD ?= build
JOBS ?= $(shell nproc)

.PHONY: all deps build test demo bench experiment fuzz format lint generate

all: build

deps:
	@tools/install-deps.sh

build: deps
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD) -j $(JOBS)

test: build
	ctest --test-dir $(BUILD) --output-on-failure -j 4

demo: build
	tools/demo.sh $(BUILD)

bench: build
	tools/bench.sh $(BUILD)

experiment: build
	tools/experiment.sh $(BUILD)

# make fuzz SEED=1 RUNS=1000
fuzz: build
	tools/fuzz.sh $(BUILD) "$(SEED)" "$(RUNS)"

format:
	tools/format.sh --fix

lint: build
	tools/lint.sh $(BUILD)

generate: deps
	tools/generate.sh
