#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases. It is run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/review-2 ./review/standins-2
