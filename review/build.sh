#!/bin/sh
# Builds the stand-ins of the review cases, after the build of the deploy file. They need nothing but this module and the standard
# library.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin/review
go build -o bin/review/ ./review/standins/copyclose ./review/standins/keyedrefusal ./review/standins/slowdiscovery
