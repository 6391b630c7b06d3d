# CONFIG is what LB_CONFIG names: a mixer's config file.
CONFIG ?= config.json

.PHONY: build clean-build test lint run

build:
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

# An empty build cache, and in PATH nothing but Go and the programs of the packages that deploy/system.toml lists.
clean-build:
	scripts/clean-build

test:
	go test -race -count=1 ./...

lint:
	test -z "$$(gofmt -l .)" && go vet ./...
	go tool -modfile=tools/go.mod golangci-lint run --allow-parallel-runners ./...

run: build
	LB_CONFIG=$(CONFIG) bin/puffinlink
