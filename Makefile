# Targets for developers; each makes the virtual environment on first use.
PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin
DEPTH ?= 4
PACKAGES := common daemon ctl
DEPLOYMENT ?= lahore
SECONDS ?= 60
DECLARED := constraints.txt $(wildcard packages/*/pyproject.toml) \
	$(wildcard platform/pyproject.toml platform/*/pyproject.toml)

.PHONY: test demo check format clean

test: $(VENV)/.made
	.ci/run

demo: $(VENV)/.made
	$(BIN)/python -m lacewing_bench.demo

.PHONY: load
load: $(VENV)/.made
	$(BIN)/python -m lacewing_bench.load run --deployment $(DEPLOYMENT) \
		--seconds $(SECONDS)

.PHONY: bench
bench: $(VENV)/.made
	$(BIN)/python -m lacewing_bench.bench $(if $(QUICK),--quick)

.PHONY: relay-cost
relay-cost: $(VENV)/.made
	$(BIN)/python -m lacewing_bench.relay_cost

.PHONY: decision-cost
decision-cost: $(VENV)/.made
	$(BIN)/python -m lacewing_bench.decision_cost

.PHONY: bundle-cost
bundle-cost: $(VENV)/.made
	$(BIN)/python -m lacewing_bench.bundle_cost

# make chaos SEED=3 [MINUTES=2], or make chaos SEEDS=20 [AT_ONCE=3]
CHAOS_ONE = one --seed=$(or $(SEED),1)
CHAOS_MANY = many --seeds=$(SEEDS) $(if $(AT_ONCE),--at-once=$(AT_ONCE))
.PHONY: chaos
chaos: $(VENV)/.made
	$(BIN)/python -m lacewing_bench.chaos \
		$(if $(SEEDS),$(CHAOS_MANY),$(CHAOS_ONE)) \
		$(if $(MINUTES),--minutes=$(MINUTES))

.PHONY: peers-cost
peers-cost: $(VENV)/.made
	$(BIN)/python -m lacewing_bench.peers_cost

.PHONY: rollout
rollout: $(VENV)/.made
	$(BIN)/python -m lacewing_bench.rollout

check: $(VENV)/.made
	PATH="$(CURDIR)/$(BIN):$$PATH" tools/check

format: $(VENV)/.made
	$(BIN)/ruff check -q --fix . ; $(BIN)/ruff format .

$(VENV)/.made: $(DECLARED)
	$(PYTHON) -m venv $(VENV)
	PIP_CONSTRAINT=constraints.txt $(BIN)/python -m pip install -q \
		$(PACKAGES:%=-e packages/%) -e 'packages/bench[checks]' \
		-e platform -e platform/testing
	touch $@

# All orders of faults in the protocols of claims and attempts.
.PHONY: explore
.PHONY: explore
explore: $(VENV)/.made
	$(BIN)/python -m lacewing_bench.explore --depth $(DEPTH)

# Latency, platform writes, bytes and CPU of claims.
.PHONY: claims-cost
claims-cost: $(VENV)/.made
	$(BIN)/python -m lacewing_bench.claims_cost

clean:
	rm -rf $(VENV) build

.PHONY: limits-error
limits-error: $(VENV)/.made
	$(BIN)/python -m lacewing_bench.limits_error

# Decisions on a model of engines: make experiment [ON=grown] [LOAD=1.5]
# [SWEEP=1 for other speeds, slots and counts of engines]
ON ?= lahore
LOAD ?= 1.0
SWEEP ?=
.PHONY: experiment
experiment: $(VENV)/.made
	$(BIN)/python -m lacewing_bench.experiment --deployment=$(ON) \
		--load=$(LOAD) $(if $(SWEEP),--sweep)

# Revisions and settings compared on days of the users' bench, paired by seed:
# make policy-trials BENCH=... SITES="..." DAYS="..." SEEDS=1-4 \
#     ARMS='base=2205b15 new=HEAD half=HEAD{"patience":0.5}' WHY="..."
.PHONY: policy-trials
policy-trials: $(VENV)/.made
	$(BIN)/python -m lacewing_bench.policy_trials --bench=$(BENCH) \
		--sites="$(SITES)" --days="$(DAYS)" --seeds=$(or $(SEEDS),1-3) \
		--arms='$(ARMS)' --why="$(WHY)"

# Crashing upstreams once more, against shutting others out.
.PHONY: crash-errors
crash-errors: $(VENV)/.made
	$(BIN)/python -m lacewing_bench.crash_errors

# Ways to name the part of prompts that crashes upstreams.
.PHONY: crash-parts
crash-parts: $(VENV)/.made
	$(BIN)/python -m lacewing_bench.crash_parts

.PHONY: capacity
capacity: $(VENV)/.made
	$(BIN)/python -m lacewing_bench.capacity

# Real routers under random faults:
# make soak [FIRST=1] [LAST=50] [LASTS=15] [ROUTERS=3] [THEME=limits]
.PHONY: soak
soak: $(VENV)/.made
	$(BIN)/python -m lacewing_platform_testing.soak \
		$(or $(FIRST),1) $(or $(LAST),50) \
		$(or $(LASTS),15) $(or $(ROUTERS),3) $(THEME)

# Ways by which routers learn at which software version a stream began.
.PHONY: origins-cost
origins-cost: $(VENV)/.made
	$(BIN)/python -m lacewing_bench.origins_cost

# What the exchange of loads between routers costs, and what it gains.
.PHONY: exchange-cost exchange-model
exchange-cost: $(VENV)/.made
	$(BIN)/python -m lacewing_bench.exchange cost

exchange-model: $(VENV)/.made
	$(BIN)/python -m lacewing_bench.exchange model --seconds=10

# Expected first events on engines of different speeds on shared machines.
.PHONY: engine-speeds
engine-speeds: $(VENV)/.made
	$(BIN)/python -m lacewing_bench.engine_speeds

# Expected against observed first events: make calibration LOGS="FILE FILE"
.PHONY: calibration
calibration: $(VENV)/.made
	$(BIN)/python -m lacewing_bench.calibration --logs="$(LOGS)"

# Where requests wait under overload, on a model of engines.
.PHONY: queueing
queueing: $(VENV)/.made
	$(BIN)/python -m lacewing_bench.queueing
