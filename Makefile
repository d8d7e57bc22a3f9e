.PHONY: build demo test race lint proto

build:
	go build -o bin/ ./cmd/...

# Builds, starts everything on loopback, sends a mixed load, stops.
demo:
	bash bench/demo.sh

test:
	go test -count=1 -timeout 300s ./...

race:
	go test -race -count=1 -timeout 600s ./...

lint:
	test -z "$$(gofumpt -l .)"
	go vet ./...
	staticcheck ./...

# Needs protoc and protoc-gen-go; the result is committed.
proto:
	protoc --go_out=. --go_opt=module=github.com/gentianflow/gentianflow internal/wire/control.proto
