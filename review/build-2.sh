#!/usr/bin/env bash
# Builds the stand-ins of the cases in review/6 to review/10.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
go build -o target/review-2/stand2 ./review/stand2
