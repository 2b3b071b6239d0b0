#!/bin/sh
# Builds the stand-in that the cases 4 to 8 start. The deploy build comes before it.
set -eu
cd "$(dirname "$0")/.."
go build -o target/standin2 ./review/standin2
