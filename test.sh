#!/usr/bin/env bash
# Format check, vet, linter (staticcheck, all checks), build by the deploy file's line, and all tests.
set -euo pipefail
cd "$(dirname "$0")"
unformatted=$(gofmt -l cmd internal)
if [ -n "$unformatted" ]; then
	echo "not formatted: $unformatted" >&2
	exit 1
fi
go vet ./...
go tool staticcheck -checks all ./...
bash -c "$(sed -n 's/^build = "\(.*\)"$/\1/p' deploy/service.toml)"
go test -race ./...
