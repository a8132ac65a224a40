#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/cases2 ./review/cases2
