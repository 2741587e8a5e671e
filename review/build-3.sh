#!/usr/bin/env bash
# Builds the stand-ins of the third review. They use the standard library alone; the build of the
# deploy file comes first.
set -euo pipefail
cd "$(dirname "$0")/third/platform"
go build -buildvcs=false -o ../../../target/third .
