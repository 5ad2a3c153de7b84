#!/bin/sh
# Builds the stand-ins and drivers of the review's scripts. It needs no network.
set -e
cd "$(dirname "$0")/stand"
GOFLAGS="-buildvcs=false -mod=mod" GOPROXY=off go build -o ../../target/review/reviewstand .
