# Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

GO ?= go
LINT_VERSION := v2.15.0
MODULES := . core standin

# Property tests draw the same cases each time.
RAPID := -rapid.seed=1 -rapid.checks=60

.PHONY: all build test race lint fmt demo clean

all: build

build:
	$(GO) build -o bin/yardhalld ./yardhalld
	$(GO) build -o bin/yardhall ./yardhall

# All tests under the race detector.
test:
	cd core && $(GO) test -race -count=1 ./...
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
