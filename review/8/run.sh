#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the
# disruption. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/release/tarragon-hosted ] || [ ! -x target/review-2/rig ]; then
    echo "run the build of deploy/system.toml and review/build-2.sh first"
    exit 2
fi
exec target/review-2/rig late review/8/record.txt
