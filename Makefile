# Two commands do all the set-up on a fresh Debian machine: `make demo` and `make test`.
BUILD ?= build
.DEFAULT_GOAL := build

.PHONY: deps build test demo check bench clean

deps:
	scripts/install-deps.sh

build: deps
	cmake -S . -B $(BUILD) -G Ninja
	cmake --build $(BUILD)

test: build
	scripts/run-tests.sh $(BUILD)

demo: build
	scripts/demo.sh $(BUILD)

check: build
	cmake --build $(BUILD) --target check-format
	cmake --build $(BUILD) --target check-lint

bench: build
	scripts/bench.sh $(BUILD)

clean:
	rm -rf $(BUILD)
