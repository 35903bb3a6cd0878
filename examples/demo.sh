#!/usr/bin/env bash
# Brings up a platform stand-in, the targets of a deployment and three boxes as
# plain processes on loopback, submits the example services, and sends real
# requests. Usage: examples/demo.sh [studio|loblolly]
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=${1:-studio}
work=$(mktemp -d)
pids=()
stop() {
  kill "${pids[@]}" 2>/dev/null || true
  wait "${pids[@]}" 2>/dev/null || true
  rm -rf "$work"
}
trap stop EXIT

echo "== building"
go build -o "$work" ./cmd/...
export PATH="$work:$PATH"
start() { "$@" >>"$work/log" 2>&1 & pids+=($!); }
until_ok() { for _ in $(seq 100); do "$@" >/dev/null 2>&1 && return; sleep 0.1; done; cat "$work/log"; return 1; }

echo "== starting the platform stand-in, targets and boxes"
start sprucecrank-standin platform --listen 127.0.0.1:7000
until_ok sprucecrank service list
for address in $(grep -ho '127\.0\.0\.1:90[0-9]*' examples/"$deployment"/*.service.json); do
  start sprucecrank-standin target --listen "$address" --work 40ms
done
halls=(silom sathorn rama-nine) # as in the boxes' settings
for i in 1 2 3; do
  start sprucecrank-box --settings "examples/boxes/box-$i.json"
  sprucecrank-standin member --id "box-$i" --address "127.0.0.1:810$i" --admin "127.0.0.1:820$i" --hall "${halls[i - 1]}"
done
for i in 1 2 3; do until_ok sprucecrank status --admin "127.0.0.1:820$i"; done

echo "== submitting services and policies"
for file in examples/"$deployment"/*.service.json; do sprucecrank service submit "$file"; done
for file in examples/"$deployment"/*.policy.json; do sprucecrank policy submit "$file"; done
sleep 1

boxes=(--to 127.0.0.1:8001 --to 127.0.0.1:8002 --to 127.0.0.1:8003)
if [ "$deployment" = studio ]; then
  kinds=(--kind live:GET:/preview/live/7:4 --kind approve:POST:/approval/bill/7:1:once --kind browse:GET:/archive/browse:3)
  once_path=/approval/bill/42
  once_service=approval
else
  kinds=(--kind mill:GET:/estimates/tract-9:4 --kind book:POST:/haul/book/9:1:once --kind cruise:GET:/records/cruise/3:3)
  once_path=/haul/book/42
  once_service=haul
fi
echo "== 600 requests through three boxes"
sprucecrank-standin load "${boxes[@]}" "${kinds[@]}" --rate 150 --requests 600

echo "== one operation, asked for twice with the same key at two boxes: it runs once"
key=$(sprucecrank-standin key)
for port in 8001 8002; do
  curl -s -D - -o /dev/null -X POST -H "Idempotency-Key: $key" "http://127.0.0.1:$port$once_path" | grep -iE 'HTTP|sprucecrank'
done
sprucecrank once show --service "$once_service" "$key"

echo "== one target asks for back-off and another leaves: requests go to others"
read -r resting leaving < <(grep -ho '127\.0\.0\.1:90[0-9]*' examples/"$deployment"/*.service.json | sort -u | head -2 | xargs)
fault() { curl -s -X PUT -H 'Content-Type: application/json' -d "$2" "http://$1/control/faults"; }
fault "$resting" '{"back_off_s":30}'
fault "$leaving" '{"leaving":true}'
sprucecrank-standin load "${boxes[@]}" "${kinds[@]}" --rate 150 --requests 300
sprucecrank status | grep -E "TARGET|$resting|$leaving"

echo "== a refusal: no service has this path"
curl -s "http://127.0.0.1:8001/nowhere"

echo "== status"
sprucecrank status
