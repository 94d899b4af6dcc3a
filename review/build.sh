#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. The build line of the deploy file must have run before.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review/stand ./review/stand
