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

# One gateway by the example's configuration, or another: make run CONFIG=path
CONFIG ?= examples/gateway.json
run: build
	BALANCER_CONFIG=$(CONFIG) RUST_LOG=info target/release/kitepass

# What the example's gateway needs around it
toy:
	python3 examples/toy.py

# The system's two programs, as deploy/system.toml has them built
SYSTEM = cargo build --profile system --locked -p kitepass-data-plane -p kitepass-control-plane
PROGRAMS = $${CARGO_TARGET_DIR:-target}/system

# A small system on loopback until Ctrl-C; its options: make system ARGS="--folder /tmp/kitepass"
system:
	$(SYSTEM)
	@python3 examples/system/system.py --programs $(PROGRAMS) $(ARGS)

# The same, with a handful of requests through it; ends with 0 if all is well
check-system:
	$(SYSTEM)
	@python3 examples/system/system.py --programs $(PROGRAMS) --check $(ARGS)
