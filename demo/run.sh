#!/bin/sh
# Starts the stand-ins and five entry instances, sends queries while an availability
# zone leaves and returns, checks idempotency with one request, and prints a table.
# Takes less than a minute. All processes are started here, because processes of the
# product start no other processes.
# Usage: demo/run.sh [PYTHON]
set -u
PYTHON=${1:-python3.11}
TEXT=examples/fiji.toml
COUNT=5
RUN=$(mktemp -d)
export PYTHONPATH=.
# Permits are granted by a majority, which five of at most eight entry instances form.
sed 's/^entry_instances_max = .*/entry_instances_max = 8/' "$TEXT" > "$RUN/text.toml"
PIDS=""
finish() {
    # shellcheck disable=SC2086
    kill $PIDS 2> /dev/null
    wait
    rm -rf "$RUN"
}
trap finish EXIT
"$PYTHON" -m demo.prepare "$RUN" "$RUN/text.toml" "$COUNT" || exit 1
"$PYTHON" -m standins.platform --address 127.0.0.1:7600 --text "$RUN/text.toml" \
    > "$RUN/platform.out" 2>&1 &
PIDS="$PIDS $!"
"$PYTHON" -m standins.backend --text "$RUN/text.toml" --run_s 60 \
    > "$RUN/backend.out" 2>&1 &
PIDS="$PIDS $!"
number=1
while [ "$number" -le "$COUNT" ]; do
    "$PYTHON" -m acacialatch serve --settings "$RUN/entry-$number.toml" \
        > "$RUN/entry-$number.out" 2>&1 &
    PIDS="$PIDS $!"
    number=$((number + 1))
done
"$PYTHON" -m demo.client "$RUN/text.toml" "$COUNT"
status=$?
if [ "$status" -ne 0 ]; then
    tail -n 5 "$RUN"/*.out
fi
exit "$status"
