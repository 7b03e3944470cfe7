# Pinned versions of the tools that "make tools" installs in .tools.
GOFUMPT_VERSION := v0.12.0
REVIVE_VERSION := v1.9.0
TOOLS := $(CURDIR)/.tools

SEED ?= 1
SEEDS ?= 10
# Nodes of a soak; 22 and more use relays.
NODES ?= 4
# Steps per random schedule; some faults show only after hundreds of steps.
STEPS ?= 2000
CHECKS ?= 10

# Tests that fail for a fault that is listed in KNOWN-RED.txt; make test passes over them.
KNOWN_RED := ^(TestPartIsQuarantinedThoughEachOfItsRequestsIs|TestRollingRestartsLoseNothing|TestRestartedNodeRefusesWhatCrashedTargetsBefore)$$

.DEFAULT_GOAL := help

.PHONY: help
help: ## List every target
	@grep -hE '^[a-z-]+:.*## ' $(MAKEFILE_LIST) | sed -E 's/:.*## /\t/' | expand -t 16

.PHONY: build
build: ## Build the programs into bin/
	go build -o bin/ ./cmd/...

.PHONY: tools
tools: ## Install the pinned formatter and linter
	@test -x $(TOOLS)/gofumpt || GOBIN=$(TOOLS) go install mvdan.cc/gofumpt@$(GOFUMPT_VERSION)
	@test -x $(TOOLS)/revive || GOBIN=$(TOOLS) go install github.com/mgechev/revive@$(REVIVE_VERSION)

.PHONY: format
format: tools ## Format the code
	$(TOOLS)/gofumpt -w .

.PHONY: lint
lint: tools ## Check format, vet and lint
	@unformatted=$$($(TOOLS)/gofumpt -l .); test -z "$$unformatted" || { echo "not formatted: $$unformatted"; exit 1; }
	go vet ./...
	$(TOOLS)/revive -config revive.toml -set_exit_status ./...

.PHONY: test
test: lint ## Check format, lint and run all tests with fixed seeds but those of KNOWN-RED.txt
	go test ./... -skip '$(KNOWN_RED)'

.PHONY: soak
soak: ## Soak the fleet core with random schedules: make soak SEED=N STEPS=N CHECKS=N
	go test ./internal/fleet -run TestSoak -count=1 -timeout 0 -rapid.seed=$(SEED) -rapid.steps=$(STEPS) -rapid.checks=$(CHECKS)

.PHONY: soak-nodes
soak-nodes: ## Soak entry nodes as processes under random faults: make soak-nodes SEED=N SEEDS=N NODES=N
	go test ./internal/soak -count=1 -timeout 0 -v -soak.seed=$(SEED) -soak.seeds=$(SEEDS) -soak.time=10s -soak.nodes=$(NODES)

.PHONY: demo
demo: build ## Start the stand-in (a simulated platform) and three nodes, send one request of each kind, stop all
	scripts/cluster.sh 3 -- bin/load --nodes 3 demo

.PHONY: soak-placement
soak-placement: ## Soak placement with random schedules: make soak-placement SEED=N STEPS=N CHECKS=N
	go test ./internal/placement -run TestSoak -count=1 -timeout 0 -rapid.seed=$(SEED) -rapid.steps=$(STEPS) -rapid.checks=$(CHECKS)

.PHONY: mutations
mutations: ## Check that the tests fail without the mechanisms that they cover
	scripts/mutations.sh

.PHONY: promises
promises: ## Check every promise in docs/PROMISES.md
	scripts/promises.sh

.PHONY: bench
bench: build ## Run the measurements of docs/MEASUREMENTS.md
	scripts/bench.sh
