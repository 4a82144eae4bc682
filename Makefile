# What a developer does here. CI runs .ci/run, which is `lint` and `test` on a clean checkout.
START ?= deploy/start.example.json

.PHONY: build test lint run

build:
	cargo build --release

test:
	.ci/tools
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	RELAY_CONFIG=$(START) target/release/lilacgate
