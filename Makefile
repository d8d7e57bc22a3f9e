.PHONY: build demo demo-own test race lint proto

build:
	go build -o bin/ ./cmd/...

# The system on the stand-in of the platform: starts everything on loopback,
# sends a mixed load, stops.
demo:
	bash bench/platform-demo.sh

# The same through the product's own interface (gentiand).
demo-own:
	bash bench/demo.sh

test:
	go test -count=1 -timeout 600s ./...

race:
	go test -race -count=1 -timeout 600s ./...

lint:
	test -z "$$(gofumpt -l .)"
	go vet ./...
	staticcheck ./...

# Needs protoc and protoc-gen-go; the result is committed.
proto:
	protoc --go_out=. --go_opt=module=github.com/gentianflow/gentianflow internal/wire/control.proto
