#!/usr/bin/env bash
# Builds the stand-ins and scripts of the third review. The program of the system is built as the deploy file says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/_standin3
