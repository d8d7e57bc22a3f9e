#!/usr/bin/env bash
# Builds the stand-ins of the cases. The project itself is built as deploy/system.toml says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/stand
