#!/usr/bin/env bash
# Runs a small fleet on loopback under a seeded load of two workspaces and a batch job,
# takes one availability zone out of service and brings it back. Writes result.json
# and report.html to the output folder.
#
#   tools/experiments/zone_out.sh BUILD_FOLDER OUTPUT_FOLDER [SEED] [SECONDS] [RATE] [FLAG]...
#
# Each FLAG is passed to caraway-load.
set -u
build=$(cd "$1" && pwd)
mkdir -p "$2" && out=$(cd "$2" && pwd)
seed=${3:-1}
seconds=${4:-20}
rate=${5:-60}
data=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null; done
  sleep 0.5
  for pid in "${pids[@]}"; do kill -9 "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$data"
}
trap stop_all EXIT

base=0
for candidate in $(shuf -i 200-600 -n 50); do
  free=1
  for offset in 0 1 2 10 11 12 20 21 30 31 40 41 42 43 50 51 52 53 60 61 62 63; do
    (exec 3<>"/dev/tcp/127.0.0.1/$((candidate * 100 + offset))") 2>/dev/null && free=0 && break
  done
  [ "$free" = 1 ] && base=$((candidate * 100)) && break
done
[ "$base" = 0 ] && { echo "no free ports"; exit 1; }
port() { echo "127.0.0.1:$((base + $1))"; }
run() { "$@" >>"$data/processes.out" 2>&1 & pids+=($!); }

peers="$(port 0),$(port 1),$(port 2)"
zones=(vest-a vest-b vest-c)
printf 'operator-%s\n' "$RANDOM$RANDOM" >"$data/token"
for n in 0 1 2; do
  run "$build/caraway-control" --replica=$((n + 1)) --data="$data/control-$n" \
    --replicas="1=$(port 0),2=$(port 1),3=$(port 2)" --operator-token-file="$data/token" \
    --peer="$(port $n)" --http="$(port $((10 + n)))" --log-file="$data/control-$n.log"
done
for n in 0 1; do
  run "$build/caraway-entry" --instance=entry-$n --zone=${zones[$n]} --region=dk-vest \
    --control="$peers" --peer="$(port $((20 + n)))" --http="$(port $((30 + n)))" \
    --log-file="$data/entry-$n.log"
done
for n in 0 1 2 3; do
  run "$build/caraway-node" --instance=node-$n --zone=${zones[$((n % 3))]} --region=dk-vest \
    --control="$peers" --peer="$(port $((40 + n)))" --http="$(port $((50 + n)))" \
    --max-limit=64 --log-file="$data/node-$n.log"
done
for n in 0 1 2; do
  run "$build/caraway-standin-engine" --listen="$(port $((60 + n)))" --node="$(port $((50 + n)))" \
    --target=tekst-$n --model=tekst-model --step-us=2000 --cold-ms=1000 --seed=7
done
run "$build/caraway-standin-service" --listen="$(port 63)" --node="$(port 53)" \
  --target=lager --service=lager-app

export CARAWAY_CLI_CONTROL="http://$(port 10),http://$(port 11),http://$(port 12)"
export CARAWAY_CLI_TOKEN_FILE="$data/token"
caraway() { "$build/caraway" "$@"; }
until_true() { # SECONDS COMMAND...: polls until COMMAND succeeds, for at most SECONDS
  local end=$((SECONDS + $1)); shift
  until "$@" >/dev/null 2>&1; do [ $SECONDS -ge "$end" ] && return 1; sleep 0.1; done
}
members() { [ "$(caraway --json status | grep -o '"instance"' | wc -l)" -ge 6 ]; }
until_true 30 members || { echo "the fleet did not come up"; exit 1; }
caraway --wait route set stock --path=/stock/ --service=lager-app --method=POST >/dev/null
for workspace in large small; do
  caraway --wait contract set $workspace --rate=2000 --burst=2000 --models=tekst-model --routes=stock >/dev/null
  caraway --wait key create $workspace | grep -o 'ck_[0-9a-f]*_[0-9a-f]*' >"$data/$workspace"
done
for n in 30 31; do until_true 15 curl -sf "http://$(port $n)/readyz"; done
warm() {
  curl -sf -m 10 "http://$(port 30)/v1/completions" -H "Authorization: Bearer $(cat "$data/large")" \
    -H 'Content-Type: application/json' -d '{"model":"tekst-model","max_tokens":2,"prompt":"warm"}'
}
until_true 20 warm || { echo "no completion was answered"; exit 1; }

out_at=$((seconds / 3))
in_at=$((seconds * 2 / 3))
"$build/caraway-load" --entries="http://$(port 30),http://$(port 31)" \
  --workspaces="large:$data/large:4,small:$data/small" --seed="$seed" --rate="$rate" \
  --seconds="$seconds" --count=100000 --check-seed=7 --batch-items=2000 --batch-workspace=large \
  --mark="$((out_at * 1000)):zone vest-b out" --mark="$((in_at * 1000)):zone vest-b in" \
  --json="$out/result.json" --html="$out/report.html" "${@:6}" &
load=$!
pids+=("$load")
sleep "$out_at"
caraway --wait zone out vest-b >/dev/null
sleep $((in_at - out_at))
caraway --wait zone in vest-b >/dev/null
wait "$load"
code=$?
curl -s "http://$(port 63)/executions" | grep -o '"repeated":[0-9]*,"requests":[0-9]*'
exit $code
