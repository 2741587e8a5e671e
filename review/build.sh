#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts into target/review. They use the standard library
# alone; the build of deploy/system.toml comes before.
set -euo pipefail
cd "$(dirname "$0")/platform"
mkdir -p ../../target/review
go build -buildvcs=false -o ../../target/review/standin .
