.PHONY: build test lint run ci measure demo fuzz

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked $(MORE)

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	BALANCER_CONFIG=deploy/example.json target/release/meadowrill

ci:
	bash .ci/run

# One area's figures beside their goals, as in `make measure AREA=turns`; exits 1 when one is missed.
measure: build
	target/release/measure $(AREA)

demo: build
	target/release/meadowrill demo

# Coverage-guided, for SECONDS; what it finds stays in fuzz/. The flags are what cargo-fuzz sets where it has no sanitizer.
SECONDS ?= 60
fuzz: export RUSTFLAGS = -Cpasses=sancov-module -Cllvm-args=-sanitizer-coverage-level=4 \
	-Cllvm-args=-sanitizer-coverage-inline-8bit-counters -Cllvm-args=-sanitizer-coverage-pc-table \
	-Cllvm-args=-sanitizer-coverage-trace-compares -Ccodegen-units=1
fuzz: TARGET = $(shell rustc -vV | sed -n 's/host: //p')
fuzz:
	cargo build --manifest-path fuzz/Cargo.toml --release --locked --target $(TARGET)
	set -e; for target in heard shared events; do \
	mkdir -p fuzz/corpus/$$target fuzz/artifacts; \
	fuzz/target/$(TARGET)/release/$$target fuzz/corpus/$$target -artifact_prefix=fuzz/artifacts/ \
	-max_total_time=$(SECONDS) -max_len=4096; done
