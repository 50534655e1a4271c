#!/usr/bin/env bash
# Runs the named measurement and prints name=value lines. Without a name, lists the measurements.
set -uo pipefail
cd "$(dirname "$0")/.."
name=${1:-list}
[ $# -gt 0 ] && shift
seed=1
[ "${1:-}" = --seed ] && seed=$2

cpu_ticks() { awk '{print $14 + $15}' "/proc/$1/stat"; }
control_ticks() { # PID
  for t in /proc/"$1"/task/*; do
    [ "$(cat "$t/comm")" = control ] && awk '{print $14 + $15}' "$t/stat"
  done
}

path() {
  local conf=examples/bench-path
  dir=$(mktemp -d)
  mkdir -p $conf
  trap 'misc/site.sh stop "$dir"; rm -rf examples/bench-path' EXIT
  printf 'REGION=r\nZONES="z1 z2"\nSERVICES="routes"\nSLOTS=200\nCONNECTIONS=200\nCLASSES=driver\n' >$conf/deployment.conf
  printf 'row,service,class,key_from,key_to,weight,limit,prefers\nall,routes,*,,,1,0,\n' >$conf/table.csv
  for workers in 1 2; do
    rm -rf "$dir"
    WORKERS=$workers CHECKS_FENCES=false misc/site.sh start "$dir" bench-path 27000 || exit 1
    sleep 3
    local p1 p2 rate a1 a2 b1 b2 out
    p1=$(cat "$dir/routes-z1.daemon.pid") p2=$(cat "$dir/routes-z2.daemon.pid")
    for rate in 500 1333 2667; do
      out=$(build/src/load/bamboograde_load --entries=127.0.0.1:27005 --services=routes --rate=$rate \
        --seconds=4 --direct)
      echo "$out" | sed -n "s/^\(p50_us\|p99_us\)=/path_direct_w${workers}_r${rate}_\1=/p"
      a1=$(cpu_ticks "$p1") a2=$(cpu_ticks "$p2")
      out=$(build/src/load/bamboograde_load --entries=127.0.0.1:27000,127.0.0.1:27010 \
        --services=routes --rate=$rate --seconds=4)
      b1=$(cpu_ticks "$p1") b2=$(cpu_ticks "$p2")
      echo "$out" | sed -n "s/^\(p50_us\|p99_us\|lost\|served_per_s\)=/path_proxied_w${workers}_r${rate}_\1=/p"
      # A request costs CPU time at its entry daemon and at its owner. With two daemons, half of the
      # requests arrive at their owner directly.
      awk -v t=$((b1 - a1 + b2 - a2)) -v n=$((rate * 4)) -v w="$workers" -v r="$rate" 'BEGIN {
        printf "path_w%s_r%s_cpu_us_per_request=%.0f\n", w, r, t * 10000 / n }'
    done
    misc/site.sh stop "$dir"
  done
}

failover() {
  local cell dir
  for cell in daemon-killed vm-lost upstream-crashed upstream-frozen planned-stop zone-lost vm-lost+platform-outage; do
    dir=$(mktemp -d)
    misc/faults.sh $cell "$dir" 28000 "$seed" >"$dir.out" 2>&1
    sed -n "s/^\(unserved_[a-z0-9]*_*[a-z]*\)=/failover_${cell}_\1=/p" "$dir.out" | grep -v ' '
    rm -rf "$dir" "$dir.out"
  done
}

faults() {
  local singles pairs cell held=0 fell=0 dir
  singles=$(misc/faults.sh list x 0 0)
  pairs="vm-lost+platform-outage vm-lost+answers-lost planned-stop+answers-lost upstream-frozen+daemon-frozen
    zone-lost+platform-slow planned-stop+vm-frozen upstream-crashed+answers-lost"
  for cell in $singles $pairs; do
    dir=$(mktemp -d)
    if misc/faults.sh "$cell" "$dir" 28000 "$seed" >"$dir.out" 2>&1; then held=$((held + 1)); else fell=$((fell + 1)); fi
    tail -n 1 "$dir.out"
    rm -rf "$dir" "$dir.out"
  done
  echo "cells=$((held + fell)) held=$held fell=$fell"
}

slopes() {
  local pid before after
  build/src/load/bamboograde_slopes
  dir=$(mktemp -d)
  trap 'misc/site.sh stop "$dir"' EXIT
  misc/site.sh start "$dir" lechner 29000 || exit 1
  . "$dir/site.env"
  sleep 5
  pid=$(cat "$dir/routes-erding.daemon.pid")
  local operator=127.0.0.1:29013 key
  key=$(cat "$dir/operator.key")
  bytes() { curl -s -H "Authorization: Bearer $key" "http://$operator/metrics" |
    awk '/peer_bytes_(sent|received)_total/ {n += $2} END {print n + 0}'; }
  renewals() { curl -s -H "Authorization: Bearer $key" "http://$operator/metrics" |
    awk '/lease_renewals_sent_total/ {print $2}'; }
  local b0 b1 r0 r1
  b0=$(bytes) r0=$(renewals) before=$(control_ticks "$pid")
  sleep 20
  b1=$(bytes) r1=$(renewals) after=$(control_ticks "$pid")
  echo "slopes_idle_control_cpu_percent=$(awk -v t=$((after - before)) 'BEGIN {printf "%.2f", t / 20}')"
  echo "slopes_idle_peer_bytes_per_s=$(((b1 - b0) / 20))"
  echo "slopes_renewals_sent_per_s=$(awk -v n=$((r1 - r0)) 'BEGIN {printf "%.1f", n / 20}')"
  echo "slopes_daemon_rss_kb=$(awk '/VmRSS/ {print $2}' "/proc/$pid/status")"
  curl -s "http://$PLATFORM/counters" >"$dir/platform0"
  sleep 10
  curl -s "http://$PLATFORM/counters" >"$dir/platform1"
  total() { tr ',{}' '\n\n\n' <"$2" | awk -v k="$1" -F: '$1 ~ k {on=1; next} /"(reads|writes|objects)"/ {on=0} on {n += $2} END {print n + 0}'; }
  echo "slopes_idle_platform_writes_per_s=$((($(total writes "$dir/platform1") - $(total writes "$dir/platform0")) / 10))"
  echo "slopes_idle_platform_reads_per_s=$((($(total reads "$dir/platform1") - $(total reads "$dir/platform0")) / 10))"
}

case $name in
  path | failover | faults | slopes) $name ;;
  *) echo "path: proxied requests against the upstream called directly
failover: time during which keys are not served, per kind of loss
faults [--seed N]: the fault matrix, one line per cell
slopes: what state and messages cost, for docs/CAPACITY.md" ;;
esac
