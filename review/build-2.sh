#!/usr/bin/env bash
# Builds the stand-ins of the second review, those of its first and of its later sitting. The deploy file's
# build comes first.
set -euo pipefail
cd "$(dirname "$0")/second/platform"
go build -o ../../../target/second .
cd ../later/platform
go build -o ../../../../target/second-later .
