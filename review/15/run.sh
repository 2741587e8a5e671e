#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/quetzalstack ] || [ ! -x target/review-third ]; then
  echo "run the build of deploy/system.toml and review/build-3.sh first"
  exit 2
fi
exec target/review-third lost-regions review/15
