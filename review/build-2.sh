#!/usr/bin/env bash
# Builds what the scripts of the cases from 6 on start, besides the gateway of the deploy file:
# the project's own stand-ins and the clients are within it.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-cases ./review/cases
