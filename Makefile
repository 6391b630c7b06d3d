# CONFIG is what LB_CONFIG names: a mixer's config file.
CONFIG ?= config.json

.PHONY: build test lint run

build:
	mkdir -p bin && CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/ ./cmd/...

test:
	go test -race -count=1 ./...

lint:
	test -z "$$(gofmt -l .)" && go vet ./...
	go tool -modfile=tools/go.mod golangci-lint run --allow-parallel-runners ./...

run: build
	LB_CONFIG=$(CONFIG) bin/puffinlink
