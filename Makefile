.PHONY: build demo demo-own test race lint proto

build:
	go build -o bin/ ./cmd/...

# Runs gentianhost with the platform stand-in on loopback under a mixed load, then
# stops both.
demo:
	bash bench/platform-demo.sh

# The same with gentiand, which serves the product's own API.
demo-own:
	bash bench/demo.sh

# The crowd specs measure memory and descriptors, so they run alone.
test:
	go test -count=1 -timeout 1800s $$(go list ./... | grep -v /test/crowd)
	go test -count=1 -timeout 600s ./test/crowd

race:
	go test -race -count=1 -timeout 1800s $$(go list ./... | grep -v /test/crowd)
	go test -race -count=1 -timeout 600s ./test/crowd

lint:
	test -z "$$(gofumpt -l .)"
	go vet ./...
	staticcheck ./...

# Requires protoc and protoc-gen-go; the generated code is committed.
proto:
	protoc --go_out=. --go_opt=module=github.com/gentianflow/gentianflow internal/wire/control.proto
