#!/usr/bin/env bash
# Builds the stand-ins that the scripts of review/11 and the later cases start.
set -eu
cd "$(dirname "$0")/.."
go build -o target/rig-4 ./review/rig-4
