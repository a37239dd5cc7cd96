#!/usr/bin/env bash
# Builds the stand-ins of review/4 to review/8. The deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -tags review -o target/review/stand2 ./review/stand2
