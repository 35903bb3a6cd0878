#!/usr/bin/env bash
# Plays the soak with many seeds: examples/soak.sh [SEEDS] [FIRST]
# Gateways run as processes of their own; the faults of each seed come from outside them.
set -euo pipefail
cd "$(dirname "$0")/.."
go test ./e2e/gateway -run TestSoak -timeout 0 -v -soak.seeds "${1:-50}" -soak.first "${2:-1}" -soak.gateways 5 -soak.clients 10 |
  grep -vE '^=== '
