#!/usr/bin/env bash
# Builds the stand-ins of the third review, beside the programs of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/cases3
