#!/usr/bin/env bash
# Builds the program and the stand-ins that the cases start.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/vanillaquay
go build -o target/review-stand ./review/stand
