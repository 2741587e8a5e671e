#!/usr/bin/env bash
# Plays the case; exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run.
# The build of the deploy file and review/build-2.sh come first. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/quetzalstack ] && [ -x target/second-later ] || exit 2
exec target/second-later planned-stop review/10
