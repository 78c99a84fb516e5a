#!/usr/bin/env bash
# Builds the stand-ins and the plays of the third review's scripts into target/. They are the tests of
# a package that no other test run includes.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go test -c -tags review -o target/review-3 ./review/stand3
