#!/usr/bin/env bash
# Starts and stops a deployment on loopback with its stand-ins.
#   site.sh start DIR DEPLOYMENT [BASE_PORT]   writes settings to DIR, starts everything, sets the table
#   site.sh stop DIR                           stops everything that it started
#   site.sh vm DIR VM                          starts the daemon and the upstream of one VM
#   site.sh daemon DIR VM | upstream DIR VM | platform DIR   starts one process
#   site.sh signal DIR NAME SIGNAL             signals one process (VM.daemon, VM.upstream, platform)
# DIR/site.env lists addresses for other programs.
set -euo pipefail
root=$(cd "$(dirname "$0")/.." && pwd)
bin=${BAMBOOGRADE_BIN:-$root/build}
peer_key=loopback-peer-key-0001
operator_key=loopback-operator-key-0001

launch() { # DIR NAME COMMAND...
  local dir=$1 name=$2
  shift 2
  "$@" >>"$dir/$name.log" 2>&1 </dev/null &
  echo $! >"$dir/$name.pid"
  disown
}

start_platform() {
  . "$1/site.env"
  launch "$1" platform "$bin/tests/standins/platform/standin_platform" --listen="$PLATFORM"
}

port_of() { # DIR VM OFFSET
  local line
  line=$(grep "^$2 " "$1/vms")
  echo "127.0.0.1:$(($(echo "$line" | cut -d' ' -f2) + $3))"
}

start_daemon() { launch "$1" "$2.daemon" "$bin/src/process/bamboograded" --settings="$1/$2.yaml"; }

start_upstream() {
  . "$1/site.env"
  launch "$1" "$2.upstream" "$bin/tests/standins/upstream/standin_upstream" \
    --listen="$(port_of "$1" "$2" 5)" --daemon="$(port_of "$1" "$2" 4)" --slots="$SLOTS" \
    --log="$1/$2.history" --work_us="${WORK_US:-0}" --checks_fences="${CHECKS_FENCES:-true}"
}

write_settings() { # DIR VM ZONE SERVICE PORT
  cat >"$1/$2.yaml" <<YAML
vm: $2
region: $REGION
zone: $3
service: $4
listen:
  caller: 127.0.0.1:$5
  peer: 127.0.0.1:$(($5 + 1))
  control: 127.0.0.1:$(($5 + 2))
  operator: 127.0.0.1:$(($5 + 3))
  upstream: 127.0.0.1:$(($5 + 4))
platform: $PLATFORM
keys:
  peer: $peer_key
  operator: $operator_key
workers: ${WORKERS:-2}
slices: 64
limits:
  upstream_connections: $CONNECTIONS
YAML
}

ctl() { "$bin/src/ctl/bamboogradectl" --daemon="$OPERATOR" --key_file="$1/operator.key" "${@:2}"; }

wait_until_served() { # DIR: until the whole hash space of every service is owned under a valid lease
  local dir=$1 want state
  want="$((64 * $(echo "$SERVICES" | wc -w))) $(wc -l <"$dir/vms")"
  for _ in $(seq 1 300); do
    state=$(ctl "$dir" status 2>/dev/null | awk 'NR>1 && $5==$4 {n+=$6; d+=$4} END {print n+0, d+0}')
    [ "$state" = "$want" ] && return 0
    sleep 0.1
  done
  echo "the deployment did not come up; see the logs in $dir" >&2
  return 1
}

start() {
  local dir=$1 deployment=$2 base=${3:-17000} port vm zone service
  mkdir -p "$dir"
  . "$root/examples/$deployment/deployment.conf"
  PLATFORM=127.0.0.1:$((base - 1))
  port=$base
  : >"$dir/vms"
  entries="" operators=""
  for service in $SERVICES; do
    for zone in $ZONES; do
      vm=$service-$zone
      echo "$vm $port $zone $service" >>"$dir/vms"
      entries=$entries,127.0.0.1:$port
      operators=$operators,127.0.0.1:$((port + 3))
      write_settings "$dir" "$vm" "$zone" "$service" "$port"
      port=$((port + 10))
    done
  done
  OPERATOR=127.0.0.1:$((base + 3))
  echo "$operator_key" >"$dir/operator.key"
  cat >"$dir/site.env" <<ENV
PLATFORM=$PLATFORM
OPERATOR=$OPERATOR
ENTRIES=${entries#,}
OPERATORS=${operators#,}
SERVICES="$SERVICES"
CLASSES=$CLASSES
ZONES="$ZONES"
SLOTS=$SLOTS
ENV
  start_platform "$dir"
  while read -r vm _; do start_daemon "$dir" "$vm"; done <"$dir/vms"
  for _ in $(seq 1 100); do
    ctl "$dir" table set "$root/examples/$deployment/table.csv" --who=site >/dev/null 2>&1 && break
    sleep 0.1
  done
  while read -r vm _; do start_upstream "$dir" "$vm"; done <"$dir/vms"
  wait_until_served "$dir"
}

stop() {
  local pids=() file
  for file in "$1"/*.pid; do
    [ -e "$file" ] || continue
    pids+=("$(cat "$file")")
    rm -f "$file"
  done
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
}

case ${1:-} in
  start) start "${@:2}" ;;
  stop) stop "$2" ;;
  vm) start_daemon "$2" "$3" && start_upstream "$2" "$3" ;;
  daemon) start_daemon "$2" "$3" ;;
  upstream) start_upstream "$2" "$3" ;;
  platform) start_platform "$2" ;;
  signal) kill "-$4" "$(cat "$2/$3.pid")" ;;
  *) sed -n '2,9p' "$0" && exit 2 ;;
esac
