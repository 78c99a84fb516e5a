#!/usr/bin/env bash
# Exits with 1 if the rule is broken, 0 if it holds, 2 if the case could not run.
set -u
cd "$(dirname "$0")/../.."
exec target/review-stand avail review/5/record.txt
