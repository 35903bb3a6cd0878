#!/usr/bin/env bash
# Measures what a box spends at a size: BOXES boxes, SERVICES services of
# TARGETS targets each, and RATE requests a second through all boxes together
# (0 for none). The targets of services other than the first are addresses that
# nothing listens on; only the first service gets requests.
# Usage: examples/capacity.sh BOXES SERVICES TARGETS RATE [SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."
boxes=$1 services=$2 targets=$3 rate=$4 seconds=${5:-20}
work=$(mktemp -d)
pids=()
stop() {
  kill -9 "${pids[@]}" 2>/dev/null || true
  wait "${pids[@]}" 2>/dev/null || true
  rm -rf "$work"
}
trap stop EXIT
go build -o "$work" ./cmd/...
export PATH="$work:$PATH" SPRUCECRANK_PLATFORM=127.0.0.1:20000
start() { "$@" >>"$work/log" 2>&1 & pids+=($!); }
start sprucecrank-standin platform --listen 127.0.0.1:20000
real=$((targets < 20 ? targets : 20))
if [ "$rate" -gt 0 ]; then
  for i in $(seq "$real"); do start sprucecrank-standin target --listen "127.0.0.1:$((20100 + i))" --work 5ms; done
fi
sleep 1
to=() admin=()
for i in $(seq "$boxes"); do
  cat >"$work/$i.json" <<JSON
{"id":"box-$i","hall":"hall-$((i % 8))","listen":"127.0.0.1:$((21000 + i))","peer_listen":"127.0.0.1:$((23000 + i))",
 "admin_listen":"127.0.0.1:$((25000 + i))","platform":"127.0.0.1:20000","max_boxes":$boxes,"log_level":"error"}
JSON
  start sprucecrank-box --settings "$work/$i.json"
  sprucecrank-standin member --platform 127.0.0.1:20000 --id "box-$i" --address "127.0.0.1:$((23000 + i))" \
    --admin "127.0.0.1:$((25000 + i))" --hall "hall-$((i % 8))"
  to+=(--to "127.0.0.1:$((21000 + i))")
  admin+=(--admin "127.0.0.1:$((25000 + i))")
done
submit() { # name, first port
  local list=""
  for i in $(seq "$targets"); do list+="{\"address\":\"127.0.0.1:$(($2 + (i - 1) % real + 1))\",\"hall\":\"hall-$((i % 8))\"},"; done
  if [ "$targets" -gt "$real" ]; then
    list=""
    for i in $(seq "$targets"); do list+="{\"address\":\"127.1.$((i / 250)).$((i % 250 + 1)):$2\",\"hall\":\"hall-$((i % 8))\"},"; done
  fi
  echo "{\"name\":\"$1\",\"prefix\":\"/$1\",\"probe\":{\"budget_ms_per_s\":0.001},\"targets\":[${list%,}]}" |
    sprucecrank service submit - --json >"$work/submitted" || { cat "$work/submitted"; return 1; }
}
for s in $(seq "$services"); do submit "s$s" $((s == 1 ? 20100 : 20200)); sleep 0.02; done
version=$(sed -n 's/.*"version": \([0-9]*\).*/\1/p' "$work/submitted")
sprucecrank-standin observe "${admin[@]}" --object "config/service/s$services" --version "$version" --for 60s
sleep 3
echo "services $services targets $targets rate $rate"
if [ "$rate" -gt 0 ]; then
  sprucecrank-standin load "${to[@]}" --kind "look:GET:/s1/1:1" --rate "$rate" --requests $((rate * (seconds + 2))) &
  load=$!
  sleep 1
fi
sprucecrank-standin observe "${admin[@]}" --for "${seconds}s"
if [ "$rate" -gt 0 ]; then wait "$load"; fi
