#!/usr/bin/env bash
# Builds the stand-ins of the cases into target/. They use the standard library alone.
set -euo pipefail
cd "$(dirname "$0")/stand"
GOWORK=off GOTOOLCHAIN=local go build -o ../../target/review-stand .
