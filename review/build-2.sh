#!/bin/bash
# Builds the stand-ins of the second review into target/. The system's own programs are built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
go build -o ../target/review-2 ./standins-2
