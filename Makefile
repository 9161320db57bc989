# The commands of the README. Each does all set-up that it needs.

.PHONY: deps build demo test bench format lint

deps:
	.ci/deps

build: deps
	cmake --preset release
	cmake --build --preset release

# The whole system on loopback, with load and a table of what came of it.
demo: build
	demo/run

test: build
	ctest --preset release

# Figures of the benchmarks beside their bounds and beside those committed.
bench: build
	bench/run

format:
	git ls-files '*.cc' '*.h' | grep -v generated | xargs clang-format -i

lint: build
	.ci/format
	.ci/lint
