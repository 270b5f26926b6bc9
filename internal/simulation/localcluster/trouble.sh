#!/bin/sh
# Pauses, resumes, kills and starts daemons of the site that run.sh runs here.
# BIN is the folder of the programs. Only processes that run.sh started are affected.
cd "$(dirname "$0")" || exit 1
BIN=${BIN:-../bin}
. ./names.sh
say() { echo "$(date +%T) $*"; }
signal() { kill -"$1" "$(cat "$2.pid")"; }
primary() { "$BIN"/operator status --controllers "$CONTROLLERS" 2>/dev/null | awk -F'"' '$2=="name"{n=$4} $2=="active"&&/true/{print n; exit}'; }
wait_exit() { n=0; while [ $n -lt 30 ] && kill -0 "$(cat "$1.pid")" 2>/dev/null; do sleep 0.1; n=$((n+1)); done; }
restart() { wait_exit "$2"; "$BIN"/"$1" --settings "$2.json" & echo $! > "$2.pid"; STARTED="$STARTED $!"; }
trap 'kill $STARTED 2>/dev/null' INT TERM
P=$(primary); say "pausing the primary, $P, for 6 s"
signal STOP "$P"; sleep 6; signal CONT "$P"; sleep 4
say "pausing edge-1 for 3 s"
signal STOP edge-1; sleep 3; signal CONT edge-1; sleep 2
P=$(primary); say "killing the primary, $P, and restarting it after 1 s"
signal KILL "$P"; sleep 1; restart controller "$P"; sleep 6
say "killing edge-2 and restarting it at once"
signal KILL edge-2; restart router edge-2; sleep 4
say "shutting edge-3 down gracefully and restarting it"
signal TERM edge-3; sleep 3; restart router edge-3; sleep 4
say "the primary is now $(primary); interrupt to stop the processes started here"
wait
