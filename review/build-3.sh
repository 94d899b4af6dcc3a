#!/bin/sh
# Builds the stand-ins of the scripts in review/11 and later.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -o target/review/stand3 ./review/stand3
