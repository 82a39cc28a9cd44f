# Two targets do all: `make demo` and `make test`.

GO ?= go
# Every run of the tests makes the same random choices.
RAPID_SEED ?= 20261202
RAPID_CHECKS ?= 100
TEST_TIMEOUT ?= 14m
# Without count=1 a soak, whose daemons are programs of their own, would be taken from the cache.
TEST_FLAGS ?= -race -count=1 -timeout $(TEST_TIMEOUT)

# The deployments of the regression runs, below SYSTEM: the large one has taken the
# place of the two oldest. JOBS days are played at a time; four of the large one take
# 10 GB, so that it is played alone.
BENCH ?= fleetbench
SYSTEM ?= .
JOBS ?= 4
WHY ?= regression
REGRESSION_SITES ?= large/punchline-lk-large further-grown/qazmotor-fleet-grown \
  further/qazmotor-fleet grown/punchline-lk-grown grown/bangxanh-hq-grown

.PHONY: all build demo test lint bench review generate regress clean

all: build

build:
	$(GO) build -o bin/lycheekeeld ./cmd/lycheekeeld
	$(GO) build -o bin/lycheekeel ./cmd/lycheekeel

demo: build
	bin/lycheekeel demo

# Property tests take their seed as a flag that other test programs would not
# know, so the two groups of packages run one after the other. Tests listed in
# KNOWN-RED.txt are printed and passed over.
test:
	GO='$(GO)' TEST_FLAGS='$(TEST_FLAGS)' RAPID_SEED=$(RAPID_SEED) RAPID_CHECKS=$(RAPID_CHECKS) bash .ci/test

lint:
	@unformatted=$$(git ls-files '*.go' | grep -v '\.pb\.go$$' | xargs gofmt -l); \
	if [ -n "$$unformatted" ]; then echo "gofmt: $$unformatted"; exit 1; fi
	$(GO) vet ./...
	$(GO) tool staticcheck ./...

# Plays the cases of review/REPORT.md, one after the other; 0: the rule held.
review:
	$(GO) build -ldflags=-linkmode=external -o target/ ./cmd/...
	review/build.sh
	@failed=0; for c in 1 2 3 4 5; do \
	  review/$$c/run.sh > target/review-$$c.log 2>&1; code=$$?; \
	  echo "review case $$c: exit $$code, log in target/review-$$c.log"; \
	  [ $$code -eq 0 ] || failed=1; \
	done; exit $$failed

bench:
	$(GO) test -run '^$$' -bench BenchmarkDecision -benchmem ./pool/

# Scores the deployments one after the other with the users' bench.
regress:
	@for s in $(REGRESSION_SITES); do \
	  $(BENCH) score $(SYSTEM)/$$s.toml --jobs $(JOBS) --why '$(WHY)' || exit 1; \
	done

# Needs protoc on the path; the generated code is committed.
generate:
	@for f in $$(git ls-files '*.proto'); do \
	  protoc --plugin=protoc-gen-go=$$($(GO) tool -n protoc-gen-go) --go_out=. --go_opt=paths=source_relative $$f || exit 1; \
	done

clean:
	rm -rf bin out
