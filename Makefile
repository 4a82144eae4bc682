# What a developer does here. CI runs .ci/run, which is `lint` and `test` on a clean checkout.
START ?= deploy/start.example.json

.PHONY: build test lint run demo soak sites measure-releases measure-timeline measure-scale

build:
	cargo build --release

test:
	.ci/tools
	.ci/test

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

run: build
	RELAY_CONFIG=$(START) target/release/lilacgate-agent

# A small fleet on loopback: three releases, told in plain words, in under a minute.
demo:
	cargo build --release -p lilacgate-agent -p lilacgate-test-bed -p lilacgate-ctl
	target/release/lilacgate-test-bed demo

# Runs of an agent with failing system calls, stepped clocks, signals, kills and crowds, some seven seconds each.
SEEDS ?= 50
soak:
	cargo build --release -p lilacgate-agent -p lilacgate-test-bed
	target/release/lilacgate-test-bed soak --seeds $(SEEDS)

# Lays the kit's companion files beside the made-up customers' site files, for the bench; they are not ours to keep.
sites:
	cp ../given/kit/sites/real.json ../given/kit/sites/wire.json ../given/kit/sites/unlock.txt deploy/sites/
	chmod u+w deploy/sites/*.json deploy/sites/unlock.txt

# Figures on loopback, in under a minute on four cores; the last line holds them all.
measure-releases:
	cargo build --release -p lilacgate-agent -p lilacgate-test-bed
	target/release/lilacgate-test-bed measure releases

measure-timeline:
	cargo build --release -p lilacgate-agent -p lilacgate-test-bed
	target/release/lilacgate-test-bed measure timeline

# What control costs at the size of deploy/capacity.xml, in virtual time.
measure-scale:
	cargo build --release -p lilacgate-scale
	target/release/lilacgate-scale measure --threads 4
