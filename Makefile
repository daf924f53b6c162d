GOLANGCI = go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
GOPLS = go run golang.org/x/tools/gopls@v0.22.0
SEED ?= 1
STEPS ?= 120
CHECKS ?= 500

.PHONY: build run test lint fmt rename path prove soak soak-seeds bench slopes generate

build:
	@mkdir -p bin
	go build -o bin/ ./cmd/...

# run serves on 127.0.0.1:8080 with stand-ins in the same process.
run: build
	@exec bin/baobabtally serve

# test runs formatter, linter and all tests, and fails for what KNOWN-RED.txt
# does not list.
test:
	@GOLANGCI="$(GOLANGCI)" bash scripts/test.sh

lint:
	$(GOLANGCI) fmt --diff
	$(GOLANGCI) run ./...

fmt:
	$(GOLANGCI) fmt

# rename gives an identifier another name at all its uses:
# make rename AT=FILE:LINE:COLUMN TO=NAME
rename:
	$(GOPLS) rename -w $(AT) $(TO)

# path runs the whole path as separate processes on loopback.
path: build
	bash scripts/path.sh

# prove runs whole instances under random failures: CHECKS runs of about STEPS
# operations each, drawn from SEED.
prove:
	STEPS=$(STEPS) go test -count=1 -timeout 0 ./internal/proof -run Promises -v -rapid.seed=$(SEED) -rapid.checks=$(CHECKS)

# soak plays SECONDS of faults, drawn from SEED, against NODES processes of the
# program before ENDS endpoints. LOGS keeps what is seen where a promise breaks.
SECONDS ?= 60
NODES ?= 3
ENDS ?= 6
CALLERS ?= 16
LOGS ?= $(CURDIR)/out/soak
soak:
	SOAK_SEED=$(SEED) SOAK_SECONDS=$(SECONDS) SOAK_NODES=$(NODES) SOAK_ENDS=$(ENDS) SOAK_CALLERS=$(CALLERS) SOAK_LOGS=$(LOGS) \
		go test -count=1 -timeout 0 ./platform -run 'TestSoak$$' -v

# soak-seeds plays the seeds that failed once.
soak-seeds:
	SOAK_SEEDS=1 SOAK_LOGS=$(LOGS) go test -count=1 -timeout 0 ./platform -run 'TestSoakSeeds$$' -v

# bench plays the users' workloads with five seeds, prints tables of medians and
# draws flood.png and herd.png into PLOTS. OUTPUT=json prints JSON.
PLOTS ?= out
bench:
	@mkdir -p out
	@OUT=$(CURDIR)/out/bench OUTPUT=$(OUTPUT) PLOTS=$(CURDIR)/$(PLOTS) go test -count=1 -timeout 0 -tags bench ./internal/report -run 'TestReport|TestPlots'
	@cat out/bench

# slopes measures what docs/CAPACITY.md builds on and stores the table.
slopes: build
	bin/slopes --commit "$$(git rev-parse --short HEAD)" | tee docs/SLOPES.md

# generate makes the code of internal/rpcapi anew; a build does not need it.
generate:
	go install google.golang.org/protobuf/cmd/protoc-gen-go@v1.36.12
	go install github.com/twitchtv/twirp/protoc-gen-twirp@v8.1.3+incompatible
	protoc --proto_path=. --go_out=. --go_opt=module=github.com/baobabtally/baobabtally --twirp_out=. --twirp_opt=module=github.com/baobabtally/baobabtally internal/rpcapi/api.proto
