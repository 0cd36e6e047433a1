#!/usr/bin/env bash
# Starts the processes listed in FOLDER/processes, runs one command against them, and stops them.
#
# usage: fleet.sh FOLDER COMMAND...
#
# A node that ends is restarted after one second unless FOLDER/NAME.gone exists. Process ids are
# written to FOLDER/NAME.pid, exit statuses to FOLDER/NAME.exit.
set -uo pipefail
folder=$1
shift
rm -f "$folder"/*.pid "$folder"/*.exit "$folder"/*.gone "$folder/stop"

run_once() {
    local name=$1
    shift
    "$@" >>"$folder/$name.log" 2>&1 &
    echo $! >"$folder/$name.pid"
    # Discards the shell's message about a killed process.
    wait $! 2>/dev/null
    echo "$?" >>"$folder/$name.exit"
    rm -f "$folder/$name.pid"
}

run_node() {
    local name=$1
    while [ ! -e "$folder/stop" ]; do
        run_once "$@"
        [ -e "$folder/$name.gone" ] && break
        sleep 1
    done
}

stop_all() {
    touch "$folder/stop"
    for file in "$folder"/*.pid; do
        [ -e "$file" ] || continue
        kill -CONT "$(cat "$file")" 2>/dev/null
        kill -KILL "$(cat "$file")" 2>/dev/null
    done
    wait
}
trap stop_all EXIT

while read -r name kind command; do
    # The command comes from a file that dogwoodgap-lab wrote, so splitting it is safe.
    if [ "$kind" = node ]; then
        # shellcheck disable=SC2086
        run_node "$name" $command &
    else
        # shellcheck disable=SC2086
        run_once "$name" $command &
    fi
done <"$folder/processes"

"$@"
