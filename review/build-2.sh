#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. The program itself is built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/stand-2 ./review/stand-2
