#!/usr/bin/env bash
# Builds what the scripts of the review start beside the project's own program: the driver, which plays
# the clients, the servers, the store and the platform.
set -euo pipefail
cd "$(dirname "$0")/.."
go test -c -tags review -o target/review-driver ./review/_driver
