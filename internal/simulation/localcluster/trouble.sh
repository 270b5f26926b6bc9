#!/bin/sh
# Stops, continues, kills and starts daemons of the site that run.sh runs here.
# BIN is the folder of the programs. Only processes that run.sh started are hit.
cd "$(dirname "$0")" || exit 1
BIN=${BIN:-../bin}
. ./names.sh
say() { echo "$(date +%T) $*"; }
hit() { kill -"$1" "$(cat "$2.pid")"; }
primary() { "$BIN"/operator status --controllers "$CONTROLLERS" 2>/dev/null | awk -F'"' '$2=="name"{n=$4} $2=="active"&&/true/{print n; exit}'; }
gone() { n=0; while [ $n -lt 30 ] && kill -0 "$(cat "$1.pid")" 2>/dev/null; do sleep 0.1; n=$((n+1)); done; }
again() { gone "$2"; "$BIN"/"$1" --settings "$2.json" & echo $! > "$2.pid"; STARTED="$STARTED $!"; }
trap 'kill $STARTED 2>/dev/null' INT TERM
P=$(primary); say "stops the primary, $P, for 6 s"
hit STOP "$P"; sleep 6; hit CONT "$P"; sleep 4
say "stops edge-1 for 3 s"
hit STOP edge-1; sleep 3; hit CONT edge-1; sleep 2
P=$(primary); say "kills the primary, $P, and starts it a second later"
hit KILL "$P"; sleep 1; again controller "$P"; sleep 6
say "kills edge-2 and starts it at once"
hit KILL edge-2; again router edge-2; sleep 4
say "stops edge-3 as planned and starts it"
hit TERM edge-3; sleep 3; again router edge-3; sleep 4
say "the primary is now $(primary); interrupt to end what was started here"
wait
