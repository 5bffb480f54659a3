#!/bin/sh
# Builds the stand-ins that the cases' scripts start.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-cases review/standins/*.go
