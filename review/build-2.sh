#!/bin/sh
# Builds the stand-ins of the second review's scripts to target/review-2. It needs no network.
set -e
root=$(cd "$(dirname "$0")/.." && pwd)
cd "$root/review/stand2"
GOFLAGS=-mod=mod GOPROXY=off go build -o "$root/target/review-2" .
