#!/bin/sh
# Runs the case. Writes what was sent, answered and run to record.txt in this folder. Exits with 1 if the rule was
# broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
record=$here/record.txt
: > "$record" || exit 2
cd "$here/../.." || exit 2
standin=target/review-2/release/review-standin-2
for program in target/release/jaystand-gateway "$standin"; do
    if [ ! -x "$program" ]; then
        echo "the case could not run: $program is not built" >> "$record"
        exit 2
    fi
done
exec "$standin" models "$record"
