#!/usr/bin/env bash
# Builds the program that runs the cases, with all its stand-ins. The system itself is built
# by the command of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/review-cases ./review/cases
