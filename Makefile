# Every target works on a fresh Debian 12 instance; `deps` installs the missing packages.

BUILD ?= build
SEEDS ?= 1000
JOBS ?= 6
PACKAGES = g++ cmake ninja-build clang-format-14 clang-tidy-14 python3 \
	libboost1.81-all-dev libboost-json1.81-dev libzmq3-dev cppzmq-dev libprotobuf-dev protobuf-compiler \
	libgflags-dev catch2 librapidcheck-dev libssl-dev libxxhash-dev spin gcc

.PHONY: all deps build demo test bench slopes model soak soak-processes faults fuzz lint format clean

all: build

deps:
	@missing=$$(dpkg-query -W -f='$${Package} $${Status}\n' $(PACKAGES) 2>/dev/null | grep -c 'install ok installed'); \
	if [ "$$missing" -ne $(words $(PACKAGES)) ]; then \
		apt-get update -qq && DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $(PACKAGES) >/dev/null; \
	fi

build: deps
	@cmake -S . -B $(BUILD) -G Ninja >/dev/null
	@cmake --build $(BUILD) -j $(JOBS) >$(BUILD)/build.log 2>&1 || { cat $(BUILD)/build.log; exit 1; }
	@tail -n 1 $(BUILD)/build.log

demo: build
	python3 tools/demo.py
	python3 tools/platform_demo.py

test: build
	python3 tools/run_tests.py --build $(BUILD)

bench: build
	python3 benchmark/bench.py

model: deps
	python3 spec/check.py

soak: build
	$(BUILD)/tests/protocol_tests --soak $(SEEDS)

# Soak test with real processes under injected faults: PROCESS_SEEDS seeds, beginning with FIRST.
PROCESS_SEEDS ?= 10
FIRST ?= 1
soak-processes: build
	python3 tools/soak.py --seeds $(PROCESS_SEEDS) --first $(FIRST) --keep build/soak

faults: build
	python3 tools/faults.py

lint: build
	python3 tools/run_tests.py --build $(BUILD) --only lint

format:
	clang-format -i $$(git ls-files '*.cpp' '*.h' | grep -v '\.pb\.h$$')

clean:
	rm -rf $(BUILD)

# Runs libFuzzer on each decoder for FUZZ_SECONDS; needs clang and libclang-rt-14-dev.
FUZZ_SECONDS ?= 20
fuzz: deps
	@dpkg -s libclang-rt-14-dev >/dev/null 2>&1 || apt-get install -y -qq clang libclang-rt-14-dev >/dev/null
	@cmake -S . -B build-fuzz -G Ninja -DCUMINSCALE_FUZZ=ON -DCMAKE_CXX_COMPILER=clang++ >/dev/null
	@cmake --build build-fuzz -j $(JOBS) --target fuzz_peer_codec fuzz_caller_api fuzz_announcement fuzz_etcd_messages fuzz_settings fuzz_dispatch_codec fuzz_platform >build-fuzz/build.log 2>&1 \
		|| { cat build-fuzz/build.log; exit 1; }
	@failed=0; for f in build-fuzz/fuzz/fuzz_*[a-z]; do echo "$$f"; \
		$$f -max_total_time=$(FUZZ_SECONDS) -verbosity=0 -print_final_stats=1 >build-fuzz/fuzz.log 2>&1 || { failed=1; tail -n 30 build-fuzz/fuzz.log; }; \
		grep -E 'ERROR|number_of_executed' build-fuzz/fuzz.log; done; exit $$failed

slopes: build
	python3 benchmark/slopes.py
