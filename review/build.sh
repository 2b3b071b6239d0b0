#!/usr/bin/env bash
# Builds the stand-ins of the cases: one program, which plays the state service, the cloud, the
# workers and the users.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/standin ./review/standin
