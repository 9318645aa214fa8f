#!/usr/bin/env bash
# Builds the programs of the cases, with the stand-ins in them, into target/review/.
set -eu
cd "$(dirname "$0")/.."
go build -tags review -o target/review/ ./review/...
