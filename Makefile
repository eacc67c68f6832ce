# The main targets are demo and test. They need Go, and test also gcc; Go
# downloads the modules.
GO ?= go
MODULES := decide serve platform standin operate cmd
BIN := bin

.PHONY: all build demo test fast lint format vet portable staticcheck tidy bench fuzz clean

all: build

build:
	$(GO) build -o $(BIN)/ ./cmd/...

# Runs a whole deployment on loopback and drains a region during the run.
demo: build
	$(BIN)/azurethread demo --deployment statikos --for 45s --load 0.4 --fault region-drain

# Tests and subtests (Test/sub) named at the beginning of a line of KNOWN-RED.txt are
# skipped; CI prints the file.
KNOWN_RED := $(shell sed -n 's/^\(Test[A-Za-z0-9_/]*\) .*/^\1$$/p' KNOWN-RED.txt 2>/dev/null | sed 's|/|$$/^|g' | paste -sd'|' -)
SKIP := $(if $(KNOWN_RED),-skip '$(KNOWN_RED)')

# The emulator's tests take up to 27 minutes with the race detector beside other load.
TEST_TIMEOUT := 40m

# Every test of every module, with the race detector.
test:
	@set -e; for m in $(MODULES); do (cd $$m && $(GO) test -race -timeout $(TEST_TIMEOUT) $(SKIP) ./...); done

# The same tests without the race detector, for use while editing.
fast:
	@set -e; for m in $(MODULES); do (cd $$m && $(GO) test $(SKIP) ./...); done

lint: format vet portable staticcheck

format:
	@out=$$(gofmt -l $(MODULES)); if [ -n "$$out" ]; then echo "gofmt would change:"; echo "$$out"; exit 1; fi

vet:
	@set -e; for m in $(MODULES); do (cd $$m && $(GO) vet ./...); done

# The programs build for both kinds of machine, and without a C compiler.
portable:
	@set -e; for a in amd64 arm64; do CGO_ENABLED=0 GOARCH=$$a $(GO) build ./cmd/...; done

$(BIN)/staticcheck: tools/go.mod
	cd tools && $(GO) build -o ../$(BIN)/staticcheck honnef.co/go/tools/cmd/staticcheck

staticcheck: $(BIN)/staticcheck
	@set -e; for m in $(MODULES); do (cd $$m && ../$(BIN)/staticcheck ./...); done

tidy:
	@set -e; for m in $(MODULES) tools; do (cd $$m && GOWORK=off $(GO) mod tidy); done

# Benchmarks of the decision packages and of the request path. Timings are
# measured here, not in tests.
bench:
	$(GO) test -run '^$$' -bench . -benchtime 1s ./decide/... ./operate/e2e

clean:
	rm -rf $(BIN)
