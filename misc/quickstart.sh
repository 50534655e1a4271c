#!/usr/bin/env bash
# Builds everything, starts a deployment on loopback with its stand-ins, sends traffic through it, and
# shows a request, its owner, a table edit in force in all zones, and an explained refusal.
#   quickstart.sh [--deployment lechner|addis] [--keep]
set -euo pipefail
cd "$(dirname "$0")/.."
deployment=lechner keep=no
while [ $# -gt 0 ]; do
  case $1 in
    --deployment) deployment=$2 && shift 2 ;;
    --keep) keep=yes && shift ;;
    *) sed -n '2,4p' "$0" && exit 2 ;;
  esac
done
misc/install.sh
misc/build.sh | tail -n 1
dir=$(mktemp -d)
finish() { [ "$keep" = yes ] || { misc/site.sh stop "$dir" && rm -rf "$dir"; }; }
trap finish EXIT
misc/site.sh start "$dir" "$deployment" "${BASE_PORT:-17000}"
. "$dir/site.env"
ctl() { build/src/ctl/bamboogradectl --daemon="$OPERATOR" --key_file="$dir/operator.key" "$@"; }
service=$(echo "$SERVICES" | cut -d' ' -f1)
entry=$(echo "$ENTRIES" | cut -d, -f1)
table=examples/$deployment/table.csv
limited=$(awk -F, -v s="$service" '$2==s && $7>0 {print $1; exit}' "$table")

echo "== status: what is in force in each availability zone"
ctl status
echo "== a request through $entry"
curl -s -i -H "Bamboograde-Service: $service" -H 'Bamboograde-Key: example-1' \
  -H 'X-Request-ID: quickstart-1' "http://$entry/example" | tr -d '\r'
echo
echo "== its owner"
ctl owner example-1 --service="$service"
echo "== an edit of the table"
ctl table edit "$limited" weight=3 --who=quickstart --wait
echo "== real traffic for five seconds"
out=$(build/src/load/bamboograde_load --entries="$ENTRIES" --services="$(echo $SERVICES | tr ' ' ,)" \
  --classes="$CLASSES" --rate=800 --seconds=5 --bookings=0.2 --work_us=2000 --keys=zipf)
echo "$out"
id=$(echo "$out" | sed -n 's/^refused_id reason=limit id=//p' | head -n 1)
if [ -n "$id" ]; then
  echo "== why request $id was refused"
  ctl explain "$id"
fi
value() { echo "$out" | sed -n "s/^$1=//p"; }
if [ "$keep" = yes ]; then
  echo "left running in $dir; talk to it with:"
  echo "  build/src/ctl/bamboogradectl --daemon=$OPERATOR --key_file=$dir/operator.key status"
  echo "and stop it with: misc/site.sh stop $dir"
fi
echo "quickstart: served=$(value served) refused=$(value refused) wrong=$(value wrong)" \
  "unowned=$(value unowned) lost=$(value lost)"
