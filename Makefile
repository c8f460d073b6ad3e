# The front door: make demo, make test.

PROGRAMS := entry sidecar gateway comfreyctl bench soak
MODULES := . $(addprefix cmd/,$(PROGRAMS))
GOFUMPT := mvdan.cc/gofumpt@v0.12.0
STATICCHECK := honnef.co/go/tools/cmd/staticcheck@v0.8.2
FUZZ_TIME ?= 20s
SEEDS ?= 1
SOAK_FLAGS ?= --seeds 2 --jobs 2 --length 6s

.PHONY: all build deploy demo demo-serve demo-processes test lint tidy format fuzz bench capacity soak soak-mutants clean standalone

all: build

build:
	@for p in $(PROGRAMS); do (cd cmd/$$p && go build -o ../../bin/$$p .) || exit 1; done

# Builds what deploy/system.toml builds, by its own words.
deploy:
	sh -c "$$(sed -nE 's/^build = "(.*)"$$/\1/p' deploy/system.toml)"

# Runs the whole system for some seconds and checks every answer.
demo: build
	./bin/bench demo

# Leaves the whole system up and prints lines to try.
demo-serve: build
	./bin/bench demo --serve

# Runs the demo with every entry and sidecar as a process of its own.
demo-processes: build
	./scripts/processes.sh

# Runs every test with the race detector. SKIP holds a pattern of tests that
# are known to fail; .ci/run fills it from KNOWN-RED.txt.
test:
	@for m in $(MODULES); do (cd $$m && go test -race -count=1 -timeout=300s $(if $(SKIP),-skip '$(SKIP)') ./...) || exit 1; done

lint:
	@out=$$(go run $(GOFUMPT) -l $$(git ls-files '*.go')); if [ -n "$$out" ]; then echo "not formatted:"; echo "$$out"; exit 1; fi
	@for m in $(MODULES); do (cd $$m && GOWORK=off go mod tidy -diff) || exit 1; done
	@for m in $(MODULES); do (cd $$m && go vet ./... && go run $(STATICCHECK) ./...) || exit 1; done

# Brings every module's list of libraries up to date.
tidy:
	@for m in $(MODULES); do (cd $$m && GOWORK=off go mod tidy) || exit 1; done

format:
	go run $(GOFUMPT) -w $$(git ls-files '*.go')

# Builds each module by itself, without the workspace.
standalone:
	@for m in $(MODULES); do (cd $$m && GOWORK=off go build -o /dev/null ./...) || exit 1; done

# Runs every fuzz target for a while.
fuzz:
	@grep -rlE '^func Fuzz' --include='*_test.go' internal | while read -r file; do \
		for target in $$(sed -nE 's/^func (Fuzz[A-Za-z0-9]+).*/\1/p' $$file); do \
			go test -run='^$$' -fuzz="^$$target$$" -fuzztime=$(FUZZ_TIME) ./$$(dirname $$file) || exit 1; \
		done; \
	done

# Runs gateways as processes, disturbs them by seed and checks every promise. The
# seeds that ever failed run first.
soak: build
	./bin/soak --program bin/gateway --regressions cmd/soak/regressions.txt --jobs 2
	./bin/soak --program bin/gateway $(SOAK_FLAGS)

# Shows that the soak notices gateways that are broken on purpose.
soak-mutants: build
	./bin/soak --mutants --seeds 12 --jobs 4

# Measures the decision alone, then all policies on the same traces: read the
# rows of one run against each other.
bench: build
	go test -run='^$$' -bench=. -benchmem ./internal/coordination/placement ./internal/coordination/claim
	./bin/bench compare --profile piedmont --rate 82 --length 25s --seeds $(SEEDS) --plots reports/piedmont
	./bin/bench compare --profile ramdeen --rate 170 --length 25s --seeds $(SEEDS) --plots reports/ramdeen

# Measures the slopes of docs/CAPACITY.md and prints its tables.
capacity: build
	./bin/bench capacity

clean:
	rm -rf bin reports
