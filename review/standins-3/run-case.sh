#!/usr/bin/env bash
# run-case.sh CASE FOLDER: plays a case and writes record.txt into its folder. Ends all processes that it started.
cd "$(dirname "$0")/../.." || exit 2
program=target/review-3/release/review-standins-3
for file in "$program" target/release/fescuelead-node; do
  [ -x "$file" ] || { echo "$file is missing: run the build of the deploy file and review/build-3.sh first"; exit 2; }
done
REVIEW_PIDS=$(mktemp) || exit 2
export REVIEW_PIDS
end() {
  kill "$player" 2>/dev/null
  while read -r pid; do kill -KILL "$pid" 2>/dev/null; done <"$REVIEW_PIDS"
  rm -f "$REVIEW_PIDS"
}
trap end EXIT
trap 'exit 2' INT TERM
timeout 110 "$program" "$1" "$2/record.txt" &
player=$!
wait "$player"
status=$?
# 124: the time limit of the case.
[ "$status" -le 2 ] || status=2
exit "$status"
