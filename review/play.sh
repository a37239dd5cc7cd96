#!/usr/bin/env bash
# Plays a case of the review with the controllers of the deploy file: play.sh CASE RECORD
set -u
root="$(cd "$(dirname "$0")/.." && pwd)"
record="$(cd "$(dirname "$2")" && pwd)/$(basename "$2")"
cd "$root" || exit 2
run="$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/service.toml)"
if [ ! -x target/shalestage ] || [ ! -x target/review-stand ]; then
	echo "build the program by the deploy file and the stand-ins by review/build.sh first" >&2
	exit 2
fi
dir="$(mktemp -d)" || exit 2
target/review-stand -case "$1" -dir "$dir" -record "$record" -run "$run" &
pid=$!
trap 'kill -TERM "$pid" 2>/dev/null' TERM INT
wait "$pid"
status=$?
if kill -0 "$pid" 2>/dev/null; then # a signal has ended the wait
	wait "$pid"
	status=2
fi
rm -rf "$dir"
exit "$status"
