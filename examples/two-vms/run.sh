#!/usr/bin/env bash
# Runs two VMs, their engines, a plain service and a platform stand-in as separate processes on loopback, kills one VM in
# the middle, and stops everything by process id. Needs curl. Usage: examples/two-vms/run.sh PROGRAM
set -euo pipefail
program=$(realpath "${1:?path of the guavaridge program}")
cd "$(dirname "$0")"
export GUAVARIDGE_TOKEN=walkthrough GUAVARIDGE_ADDRESS=127.0.0.1:7181
pids=()
trap 'kill "${pids[@]}" 2>/dev/null || true; wait' EXIT
start() { "$program" "$@" & pids+=($!); }

start standin platform --address 127.0.0.1:7000
start standin engine --address 127.0.0.1:7101 --model proof-7b
start standin engine --address 127.0.0.1:7201 --model proof-7b
start standin service --address 127.0.0.1:7102
sleep 0.5
"$program" check vm-a.json vm-b.json declarations
start serve --config vm-a.json
first=$!
start serve --config vm-b.json
second=$!
sleep 1

"$program" apply --reason "first declarations" declarations
key=$("$program" key issue --reason "walk-through" studio | grep -o 'gk_[0-9a-f_]*')
sleep 4

ask() { # callers' port, prompt, tokens, stream
	curl -sN "http://127.0.0.1:$1/v1/completions" -H "Authorization: Bearer $key" \
		-d "{\"model\":\"proof-7b\",\"prompt\":\"$2\",\"max_tokens\":$3,\"stream\":$4}"
}
ask 7180 hello 8 false; echo
ask 7280 hello 8 false; echo
ask 7280 "a long walk" 300 true > stream.out &
stream=$!
sleep 0.5
echo "killing vm-a"
kill -9 "$first"
ask 7280 after 8 false; echo
wait "$stream"
tail -n 2 stream.out
rm stream.out
sleep 9
GUAVARIDGE_ADDRESS=127.0.0.1:7281 "$program" status
kill "$second"
wait "$second" && echo "vm-b drained, exit code 0"
