#!/usr/bin/env bash
# Format check, vet, linters, build by the deploy file's line, and all tests.
# staticcheck stays beside golangci-lint, which runs the same checks, until .golangci.yml excludes no package.
set -euo pipefail
cd "$(dirname "$0")"
go tool -modfile=tools/go.mod golangci-lint fmt --diff # exits 1 on a difference
go vet ./...
go tool staticcheck -checks all ./...
go tool -modfile=tools/go.mod golangci-lint run
bash -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/service.toml)"
go test -race ./...
