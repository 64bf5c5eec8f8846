#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
case=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$case/../.." && pwd)
stage="$root/review/lib3/target/release/memory"
if [ ! -x "$stage" ] || [ ! -x "$root/target/release/tarragonseam-vm" ]; then
    echo "run the build of the deploy file and review/build-3.sh first" >&2
    exit 2
fi
cd "$root" || exit 2
exec "$stage" "$root" "$case"
