#!/usr/bin/env bash
# Builds the program that plays the cases, with all stand-ins that it starts.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-rig ./review/rig
