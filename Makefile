GOLANGCI = go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
GOPLS = go run golang.org/x/tools/gopls@v0.22.0
SEED ?= 1
STEPS ?= 120
CHECKS ?= 500

.PHONY: build run test lint fmt rename path prove soak soak-seeds bench slopes generate

build:
	@mkdir -p bin
	go build -o bin/ ./cmd/...

# run starts an instance on 127.0.0.1:8080, with stand-ins for the endpoints and
# the platform in the same process.
run: build
	@exec bin/baobabtally serve

# test checks the formatting, runs the linter, go vet and all tests, and fails for
# every failure that KNOWN-RED.txt does not list.
test:
	@GOLANGCI="$(GOLANGCI)" bash scripts/test.sh

lint:
	$(GOLANGCI) fmt --diff
	$(GOLANGCI) run ./...

fmt:
	$(GOLANGCI) fmt

# rename renames an identifier and all its uses:
# make rename AT=FILE:LINE:COLUMN TO=NAME
rename:
	$(GOPLS) rename -w $(AT) $(TO)

# path runs the end-to-end test with separate processes on loopback.
path: build
	bash scripts/path.sh

# prove simulates whole instances under random failures: CHECKS runs of about
# STEPS operations each, generated from SEED.
prove:
	STEPS=$(STEPS) go test -count=1 -timeout 0 ./internal/proof -run Promises -v -rapid.seed=$(SEED) -rapid.checks=$(CHECKS)

# soak injects random faults, generated from SEED, for SECONDS into NODES processes
# of the program that forward to ENDS endpoints. A run that fails an invariant check
# keeps its logs in LOGS.
SECONDS ?= 60
NODES ?= 3
ENDS ?= 6
CALLERS ?= 16
LOGS ?= $(CURDIR)/out/soak
soak:
	SOAK_SEED=$(SEED) SOAK_SECONDS=$(SECONDS) SOAK_NODES=$(NODES) SOAK_ENDS=$(ENDS) SOAK_CALLERS=$(CALLERS) SOAK_LOGS=$(LOGS) \
		go test -count=1 -timeout 0 ./platform -run 'TestSoak$$' -v

# soak-seeds repeats the soak runs whose seeds failed before.
soak-seeds:
	SOAK_SEEDS=1 SOAK_LOGS=$(LOGS) go test -count=1 -timeout 0 ./platform -run 'TestSoakSeeds$$' -v

# bench simulates the users' workloads with five seeds, prints tables of medians and
# writes the plots flood.png and herd.png to PLOTS. OUTPUT=json prints JSON.
PLOTS ?= out
bench:
	@mkdir -p out
	@OUT=$(CURDIR)/out/bench OUTPUT=$(OUTPUT) PLOTS=$(CURDIR)/$(PLOTS) go test -count=1 -timeout 0 -tags bench ./internal/report -run 'TestReport|TestPlots'
	@cat out/bench

# slopes measures the costs that docs/CAPACITY.md is based on and writes them to
# docs/SLOPES.md.
slopes: build
	bin/slopes --commit "$$(git rev-parse --short HEAD)" | tee docs/SLOPES.md

# generate regenerates the code of internal/rpcapi from api.proto. The code is
# committed, so a build does not need it.
generate:
	go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
	go install github.com/twitchtv/twirp/protoc-gen-twirp@v8.1.3+incompatible
	protoc --proto_path=. --go_out=. --go_opt=module=github.com/baobabtally/baobabtally --twirp_out=. --twirp_opt=module=github.com/baobabtally/baobabtally internal/rpcapi/api.proto
