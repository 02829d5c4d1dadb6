GO ?= go
PACKAGES := ./...

.PHONY: build test check generate quickstart proofs bench faults fuzz

# Builds all commands into bin/.
build:
	$(GO) build -o bin/ ./cmd/...

# Runs all tests except those listed in KNOWN-RED.txt, and prints that list.
test:
	@scripts/test.sh

# Checks formatting and runs vet and staticcheck.
check:
	@out=$$(gofmt -l $$(git ls-files '*.go')); if [ -n "$$out" ]; then echo "not formatted: $$out"; exit 1; fi
	$(GO) vet $(PACKAGES)
	$(GO) tool staticcheck $(PACKAGES)

# Regenerates the Go code of internal/wire.
generate:
	$(GO) build -o bin/protoc-gen-go google.golang.org/protobuf/cmd/protoc-gen-go
	$(GO) run ./scripts/genproto bin/protoc-gen-go parsleypulley internal/wire/*.proto

# Starts an installation on loopback, sends requests through it and stops it.
quickstart:
	@scripts/quickstart.sh

# Runs exactly the tests and benchmarks that docs/PROOFS.md names.
proofs:
	@scripts/proofs.sh

# Runs the end-to-end tests, including those behind the build tag faults.
faults:
	$(GO) test -tags faults -count 1 -timeout 20m ./internal/e2e

# Runs each fuzz target for FUZZTIME, a number of executions such as 10000x or a
# duration such as 20s, starting with the committed seed inputs.
FUZZTIME ?= 10000x
fuzz:
	@scripts/fuzz.sh $(FUZZTIME)

# Runs all benchmarks.
bench:
	$(GO) test -run '^$$' -bench . -timeout 30m $(PACKAGES)
