.PHONY: build test lint run ci

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	BALANCER_CONFIG=deploy/example.json target/release/meadowrill

ci:
	bash .ci/run
