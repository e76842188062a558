#!/bin/bash
# Builds the stand-ins that the scripts of the cases start. It needs no network: they use the standard library only.
set -euo pipefail
cd "$(dirname "$0")"
go build -o ../target/review/ ./standins
