# Two commands do all the set-up on a fresh Debian machine: `make demo` and `make test`.
BUILD ?= build
.DEFAULT_GOAL := build

.PHONY: deps configure build test demo check bench clean

deps:
	scripts/install-deps.sh

configure: deps
	cmake -S . -B $(BUILD) -G Ninja

build: configure
	cmake --build $(BUILD)

test: build
	scripts/run-tests.sh $(BUILD)

demo: configure
	cmake --build $(BUILD) --target gypsumdaled gypsumctl gypsumdale-standin
	scripts/demo.sh $(BUILD)

check: build
	cmake --build $(BUILD) --target check-format
	cmake --build $(BUILD) --target check-lint

bench: build
	scripts/bench.sh $(BUILD)

clean:
	rm -rf $(BUILD)
