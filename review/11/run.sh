#!/usr/bin/env bash
# Case 11: the slot of a rank is killed just after its engine was armed. With TROUBLE=0 it is not killed.
# LAG is the age of an engine's report that another machine reads; 400ms if it is not set.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/dragonflydeal ] && [ -x target/rig-4 ] || { echo "build first: deploy/system.toml and review/build-3.sh" >&2; exit 2; }
exec target/rig-4 map review/11/record.txt
