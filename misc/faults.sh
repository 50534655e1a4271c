#!/usr/bin/env bash
# Runs one fault against a deployment under load and checks the histories.
#   faults.sh CELL DIR BASE_PORT SEED     prints name=value lines and "cell=CELL held=yes|no"
# Exit code 0 if no guarantee was violated. cells() lists the faults; "A+B" injects A and B together.
set -uo pipefail
cd "$(dirname "$0")/.."
cell=$1 dir=$2 base=$3 seed=$4
rate=${RATE:-400} seconds=${SECONDS_OF_LOAD:-8}
victim=routes-erding

cells() {
  echo "none daemon-killed vm-lost upstream-crashed upstream-frozen daemon-frozen vm-frozen planned-stop
    upstream-leaves zone-lost platform-outage platform-refuses platform-slow answers-lost"
}

fault() { curl -s -X POST -d "{\"mode\":\"$1\",\"latency_ms\":${2:-0}}" "http://$PLATFORM/faults" >/dev/null; }
sig() { misc/site.sh signal "$dir" "$1" "$2" 2>/dev/null; }

inject() { # ONE_FAULT
  case $1 in
    none) ;;
    daemon-killed) sig $victim.daemon KILL ;;
    vm-lost) sig $victim.daemon KILL; sig $victim.upstream KILL ;;
    upstream-crashed) sig $victim.upstream KILL; sleep 1; misc/site.sh upstream "$dir" $victim ;;
    upstream-frozen) sig $victim.upstream STOP; sleep 4; sig $victim.upstream CONT ;;
    daemon-frozen) sig $victim.daemon STOP; sleep 4; sig $victim.daemon CONT ;;
    vm-frozen) sig $victim.daemon STOP; sig $victim.upstream STOP; sleep 4
      sig $victim.upstream CONT; sig $victim.daemon CONT ;;
    planned-stop) sig $victim.daemon TERM ;;
    upstream-leaves) sig $victim.upstream TERM ;;
    zone-lost) for s in $SERVICES; do sig "$s-erding.daemon" KILL; sig "$s-erding.upstream" KILL; done ;;
    platform-outage) fault outage; sleep 4; fault none ;;
    platform-refuses) fault refuse; sleep 4; fault none ;;
    platform-slow) fault none 400; sleep 4; fault none ;;
    answers-lost) fault lose_answers; sleep 3; fault none ;;
    *) echo "unknown cell $1; known: $(cells)" >&2; exit 2 ;;
  esac
}

[ "$cell" = list ] && cells && exit 0
rm -rf "$dir"
misc/site.sh start "$dir" "${DEPLOYMENT:-lechner}" "$base" || exit 1
. "$dir/site.env"
sleep 2
# The load tool skips the daemons of the zone under fault; requests for their keys are forwarded by
# other daemons.
entries=$(grep -v -- "-erding " "$dir/vms" | awk '{printf "%s127.0.0.1:%s", (NR>1?",":""), $2}')
(
  sleep 2
  for one in ${cell//+/ }; do inject "$one" & done
  wait
) &
injector=$!
build/src/load/bamboograde_load --entries="$entries" --services="$(echo $SERVICES | tr ' ' ,)" \
  --classes=driver,packer --rate="$rate" --seconds="$seconds" --bookings=0.3 --work_us=3000 \
  --timeout_ms=6000 --keys=zipf --key_count=300 --seed="$seed" --history="$dir/outcomes" >"$dir/load.out"
wait $injector
sleep 0.5
held=yes
build/src/load/bamboograde_check --runs="$(ls "$dir"/*.history 2>/dev/null | paste -sd,)" \
  --outcomes="$dir/outcomes" >"$dir/check.out" || held=no
grep -q '^wrong=0$' "$dir/load.out" || held=no
case $cell in
  none | planned-stop | upstream-leaves)
    grep -q '^lost=0$' "$dir/load.out" && grep -q '^unowned=0$' "$dir/load.out" || held=no ;;
esac
limit=${UNSERVED_LIMIT_MS:-4000}
p100=$(sed -n 's/^unserved_p100_ms=//p' "$dir/check.out")
case $cell in *+*) ;; *) [ "$p100" -le $limit ] || held=no ;; esac
cat "$dir/check.out"
grep -E '^(sent|served|refused|wrong|unowned|lost|replayed)=|^refusal' "$dir/load.out"
misc/site.sh stop "$dir"
echo "cell=$cell seed=$seed held=$held unserved_p100_ms=$p100"
[ $held = yes ]
