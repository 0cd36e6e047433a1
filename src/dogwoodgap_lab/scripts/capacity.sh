#!/usr/bin/env bash
# Runs all measurements of docs/CAPACITY.md and writes the tables into docs/results.
#
# usage: capacity.sh FOLDER [BASE_PORT]
#
# Takes about eleven minutes. Each table of programs is measured in a new process, since memory that
# an earlier table freed would be reused. At most three measurements run concurrently.
set -euo pipefail
folder=$1
port=${2:-27500}
here=$(dirname "$0")
measures=$folder/measures.jsonl
mkdir -p "$folder"
rm -f "$measures"

lab() { dogwoodgap-lab capacity "$@"; }

table() { lab programs "$@" --output "$measures"; }

processes() {
    local name=$1 nodes=$2 runners=$3 part=$4
    shift 4
    lab layout "$folder/$name" "$nodes" "$runners" --part "$part" --base-port "$port" "$@"
    bash "$here/fleet.sh" "$folder/$name" dogwoodgap-lab capacity watch "$folder/$name" \
        --output "$measures"
}

tables() {
    lab decisions --output "$measures"
    for count in 100 1000 5000 28000; do table "$count"; done
    for turns in 1 10 51; do table 1000 --turns "$turns" --size turns; done
    for characters in 500 2000 8000 40000; do
        table 200 --characters "$characters" --size characters
    done
}

in_process() {
    for count in 5 10 15 20 25 30 40; do
        lab nodes "$count" --base-port $((port + 1500)) --output "$measures"
    done
}

in_process &
nodes_job=$!
tables &
tables_job=$!
for count in 0 10 40 160 620; do
    processes "runners$count" 1 "$count" "processes, 1 node (runners)" --no-spread
done
processes seven 7 620 "processes, 7 nodes in 1 data centre (runners)" --no-spread
for count in 5 10 20; do processes "nodes$count" "$count" 10 "processes, 10 runners (nodes)"; done
for count in 1 5 10 20; do processes "bare$count" "$count" 0 "processes without runners (nodes)"; done
wait "$nodes_job"
wait "$tables_job"
dogwoodgap-lab capacity report --output "$measures"
