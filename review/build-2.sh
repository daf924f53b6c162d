#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 into target/review-2. It needs no network.
set -eu
root=$(cd "$(dirname "$0")/.." && pwd)
dir=$(mktemp -d)
trap 'rm -rf "$dir"' EXIT
for file in "$root"/review/standin2/*.go.txt; do
	name=${file##*/}
	cp "$file" "$dir/${name%.txt}"
done
printf 'module standin\n\ngo 1.26\n' >"$dir/go.mod"
mkdir -p "$root/target/review-2"
cd "$dir"
GOWORK=off GOFLAGS=-mod=mod GOPROXY=off GOTOOLCHAIN=local go build -o "$root/target/review-2/standin" .
