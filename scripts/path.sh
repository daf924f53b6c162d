#!/usr/bin/env bash
# End-to-end test: runs stand-ins and three instances as separate processes on
# loopback, and checks them with bin/probe.
set -euo pipefail
cd "$(dirname "$0")/.."
bin=$PWD/bin
dir=$(mktemp -d)
pids=()
stop() {
	for p in "${pids[@]}"; do kill -TERM "$p" 2>/dev/null || true; done
	wait 2>/dev/null || true
	rm -rf "$dir"
}
trap stop EXIT

base=${BAOBABTALLY_PORT:-18100}
at() { echo "127.0.0.1:$((base + $1))"; }
start() { # NAME COMMAND...
	local name=$1
	shift
	"$@" >"$dir/$name.log" 2>&1 &
	pids+=($!)
	last=$!
}

export BAOBABTALLY_SECRET=path-secret-path-secret
start table "$bin/standin" table --listen "$(at 0)"
start object "$bin/standin" object --listen "$(at 1)"
start list "$bin/standin" list --listen "$(at 2)"
start e1 "$bin/standin" engine --listen "$(at 3)"
e1=$last
start e2 "$bin/standin" engine --listen "$(at 4)"
start b1 "$bin/standin" service --listen "$(at 5)"
for port in 0 1 2 3 4 5; do
	for _ in $(seq 100); do
		(exec 3<>"/dev/tcp/127.0.0.1/$((base + port))") 2>/dev/null && break
		sleep 0.05
	done
done

# node registers a node with the list stand-in.
node() { # NAME ROLE ADDR DOMAIN MODELS
	curl -sf -X PUT "http://$(at 2)/stand/nodes/$1" \
		-d "{\"role\":\"$2\",\"addr\":\"$3\",\"domain\":\"$4\",\"models\":[$5]}"
}
node e1 engine "$(at 3)" a '"small"'
node e2 engine "$(at 4)" b '"small"'
node b1 service "$(at 5)" a '"billing"'
hash=$(printf %s demo-key | sha256sum | cut -d' ' -f1)
for i in 1 2 3; do
	node "i$i" instance "$(at $((10 + i)))" a ''
	cat >"$dir/i$i.toml" <<EOF
name = "i$i"
domain = "a"
listen = "$(at $((10 + i)))"
table = "http://$(at 0)"
object = "http://$(at 1)"
list = "http://$(at 2)"
linger = "500ms"
first = "2s"
[secret]
env = "BAOBABTALLY_SECRET"
[[caller]]
hash = "$hash"
team = "loom"
EOF
	start "i$i" "$bin/baobabtally" serve --settings "$dir/i$i.toml"
	eval "i$i=$last"
done
probe() {
	"$bin/probe" --engine "$(at 3)" --engine "$(at 4)" --service "$(at 5)" "$@" || { tail -n 20 "$dir"/i*.log; exit 1; }
}
version() { "$bin/baobabtally" --server "$1" get | sed -n 's/^# version //p'; }
now() { date +%s%3N; }

cat >"$dir/one.toml" <<EOF
[[policy]]
name = "usual"
cover = ""
floor = 0.2
EOF
for i in 1 2 3; do
	for _ in $(seq 100); do
		curl -sf "http://$(at $((10 + i)))/readyz" >/dev/null && break
		sleep 0.05
	done
done
"$bin/baobabtally" --server "$(at 11)" apply "$dir/one.toml" --base 0 --author path >/dev/null

all=(--at "$(at 11)" --at "$(at 12)" --at "$(at 13)")
probe stream "${all[@]}"
probe prefix "${all[@]}"
probe charge "${all[@]}"
probe cross "${all[@]}"

kill -KILL "$i3"
wait "$i3" 2>/dev/null || true
start i3 "$bin/baobabtally" serve --settings "$dir/i3.toml"
probe ready --at "$(at 13)"

sed 's/floor = 0.2/floor = 0.3/' "$dir/one.toml" >"$dir/two.toml"
begin=$(now)
"$bin/baobabtally" --server "$(at 12)" apply "$dir/two.toml" --base 1 --author path >"$dir/apply.out" || { cat "$dir/apply.out"; exit 1; }
took=$(($(now) - begin))
for i in 1 2 3; do
	v=$(version "$(at $((10 + i)))")
	[ "$v" = 2 ] || { echo "FAIL policy: i$i holds version $v, not 2"; exit 1; }
done
echo "ok   policy: applied at one instance, in force at all three when accepted after ${took} ms"

kill -STOP "$e1"
probe frozen "${all[@]}"
kill -CONT "$e1"

begin=$(now)
kill -TERM "$i1"
wait "$i1" || { echo "FAIL stop: i1 exited with $?"; exit 1; }
echo "ok   stop: an instance stopped gracefully in $(($(now) - begin)) ms"
