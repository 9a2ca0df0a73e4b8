.PHONY: build test lint doc run toy system check-system

build:
	cargo build --release --locked

test:
	cargo test --workspace --locked

lint:
	cargo fmt --all --check
	cargo clippy --workspace --all-targets --locked -- -D warnings

doc:
	RUSTDOCFLAGS="-D warnings" cargo doc --workspace --no-deps --locked

# Runs one gateway with the example configuration, or with another one: make run CONFIG=path
CONFIG ?= examples/gateway.json
run: build
	BALANCER_CONFIG=$(CONFIG) RUST_LOG=info target/release/kitepass

# Runs backends, discovery and the counter service for the gateway of `make run`
toy:
	python3 examples/toy.py

# Builds the control plane and data plane programs as in deploy/system.toml
BUILD_SYSTEM = cargo build --profile system --locked -p kitepass-data-plane -p kitepass-control-plane
PROGRAMS = $${CARGO_TARGET_DIR:-target}/system

# Runs a small system on loopback until Ctrl-C. ARGS sets its options: make system ARGS="--folder /tmp/kitepass"
system:
	$(BUILD_SYSTEM)
	@python3 examples/system/system.py --programs $(PROGRAMS) $(ARGS)

# Sends requests and operator commands to such a system; exits with 0 if all checks passed
check-system:
	$(BUILD_SYSTEM)
	@python3 examples/system/system.py --programs $(PROGRAMS) --check $(ARGS)
