# Daily commands. CMake, Ninja and ccache do the work.
SEED ?= 1
STEPS ?= 2000
TARGET ?= all
JOBS ?= $(shell nproc)

# Lets a clone in another folder use the objects that ccache holds.
export CCACHE_BASEDIR := $(CURDIR)
export CCACHE_NOHASHDIR := true

SOURCES = $(shell git ls-files -co --exclude-standard '*.cpp' '*.h')
CPPS = $(filter %.cpp,$(SOURCES))

SECONDS_OF_FAULTS ?= 10

.PHONY: all packages build build-asan test input-cost demo soak soak-rollouts fuzz bench capacity format format-check lint clean

all: build

packages:
	@bash .ci/install-packages

build: packages
	@cmake -S . -B build -G Ninja -DCMAKE_BUILD_TYPE=RelWithDebInfo >build.cmake.log 2>&1 || (cat build.cmake.log; exit 1)
	@rm -f build.cmake.log
	@cmake --build build -j $(JOBS)

# Unit tests run with the address and undefined-behaviour sanitizers.
build-asan: packages
	@cmake -S . -B build-asan -G Ninja -DCMAKE_BUILD_TYPE=Debug -DCARAWAY_SANITIZE=ON >build.cmake.log 2>&1 || (cat build.cmake.log; exit 1)
	@rm -f build.cmake.log
	@cmake --build build-asan -j $(JOBS)

test: build-asan
	@ctest --test-dir build-asan --output-on-failure -j $(JOBS)

# Instructions per byte of input, which must not grow with its size.
input-cost: build
	@bash tests/input_cost.sh build

demo: build
	@bash tools/demo.sh build

# Faults on the platform's processes, from outside.
soak: build
	@build/caraway-platform-soak --program=build/caraway-platform --seed=$(SEED) --seconds=$(SECONDS_OF_FAULTS)

soak-rollouts: build
	@build/caraway-platform-soak --program=build/caraway-platform --seed=$(SEED) --rollouts=4 --rollouts-only=1

fuzz: build
	@bash fuzz/run.sh build $(SEED) $(STEPS) $(TARGET)

bench: build
	@bash bench/run.sh build

capacity: build
	@bash bench/capacity.sh build

format:
	@clang-format -i $(SOURCES)

format-check:
	@clang-format --dry-run --Werror $(SOURCES)

lint: build
	@printf '%s\n' $(CPPS) | xargs -P $(JOBS) -n 1 bash tools/lint_file.sh build

clean:
	@rm -rf build build-asan
