# Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

GO ?= go
LINT_VERSION := v2.15.0
MODULES := . core standin

# Property tests draw the same cases each time; only packages with such tests
# know the flags.
RAPID_FLAGS := -rapid.seed=1 -rapid.checks=200
RAPID_CORE := $(shell cd core && grep -rl --include=*_test.go pgregory.net/rapid . | xargs -n1 dirname | sort -u)
OTHER_CORE = $(filter-out $(RAPID_CORE),$(shell cd core && $(GO) list -f '.{{slice .Dir (len .Module.Dir)}}' ./...))

.PHONY: all build test race lint fmt demo clean

all: build

build:
	$(GO) build -o bin/yardhalld ./yardhalld
	$(GO) build -o bin/yardhall ./yardhall

# All tests under the race detector.
test:
	cd core && $(GO) test -race -count=1 $(RAPID_CORE) $(RAPID_FLAGS)
	cd core && $(GO) test -race -count=1 $(OTHER_CORE)
	cd standin && $(GO) test -race -count=1 ./...
	$(GO) test -race -count=1 -timeout 20m ./...

demo: build
	./bin/yardhall demo

bin/golangci-lint-$(LINT_VERSION):
	mkdir -p bin/lint
	GOWORK=off GOBIN=$(CURDIR)/bin/lint $(GO) install github.com/golangci/golangci-lint/v2/cmd/golangci-lint@$(LINT_VERSION)
	mv bin/lint/golangci-lint $@

lint: bin/golangci-lint-$(LINT_VERSION)
	for m in $(MODULES); do (cd $$m && $(CURDIR)/$< run --config $(CURDIR)/.golangci.yml ./...) || exit 1; done

fmt: bin/golangci-lint-$(LINT_VERSION)
	for m in $(MODULES); do (cd $$m && $(CURDIR)/$< fmt --config $(CURDIR)/.golangci.yml ./...) || exit 1; done

clean:
	rm -rf bin
