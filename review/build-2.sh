#!/bin/sh
# Builds the stand-ins that the scripts of the second review start: one program, target/review-2.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-2 review/standins-2/*.go
