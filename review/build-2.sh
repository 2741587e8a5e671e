#!/usr/bin/env bash
# Builds the stand-ins of the second review. The deploy file's build comes first.
set -euo pipefail
cd "$(dirname "$0")/second/platform"
go build -o ../../../target/second .
