#!/bin/sh
# Plays the case. It exits with 1 if the rule was broken, 0 if it held and 2 if the case could
# not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
standin=$root/target/review-2/standin
if [ ! -x "$standin" ] || [ ! -x "$root/target/baobabtally" ]; then
	echo "build the program and the stand-ins first: the deploy file's build, review/build-2.sh" >&2
	exit 2
fi
exec timeout 119 "$standin" dark "$root" "$here/record.txt"
