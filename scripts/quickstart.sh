#!/usr/bin/env bash
# Starts a complete installation on loopback and applies a declaration. Sends a
# streamed chat request through each router and one booking through both, prints
# the last log line of each process, and stops everything. On a failure it prints
# the step that failed and exits with a non-zero status.
#
#   KEEP=1        keep the installation running and print its addresses
#   BASE_PORT=N   first port to use (default 17400)
set -euo pipefail
cd "$(dirname "$0")/.."

BASE_PORT=${BASE_PORT:-17400}
KEEP=${KEEP:-}
work=$(mktemp -d)
step="start"
pids=()
names=()

port() { echo "127.0.0.1:$((BASE_PORT + $1))"; }

stop_all() {
	for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
	for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}

finish() {
	status=$?
	if [ "$status" -ne 0 ]; then
		echo "quickstart failed at step: $step" >&2
		for log in "$work"/*.log; do
			echo "--- last lines of $(basename "$log")" >&2
			tail -n 5 "$log" >&2
		done
		stop_all
		rm -rf "$work"
	fi
	exit "$status"
}
trap finish EXIT

# start NAME COMMAND... runs a process in the background.
start() {
	local name=$1
	shift
	"$@" >"$work/$name.log" 2>&1 &
	pids+=($!)
	names+=("$name")
}

# wait_for SECONDS COMMAND... retries the command until it succeeds or the time is up.
wait_for() {
	local end=$((SECONDS + $1))
	shift
	until "$@" >/dev/null 2>&1; do
		if [ "$SECONDS" -ge "$end" ]; then return 1; fi
		sleep 0.1
	done
}

http_ok() { curl -fsS --max-time 2 "$1"; }

controls="$(port 0),$(port 1),$(port 2)"
operators="$(port 40),$(port 41),$(port 42)"
export PARSLEYPULLEY_LOG_LEVEL=${PARSLEYPULLEY_LOG_LEVEL:-info}
export PARSLEYPULLEY_OPERATOR_KEY=quickstart-operator-key
operator_digest="sha256:$(printf %s "$PARSLEYPULLEY_OPERATOR_KEY" | sha256sum | cut -d' ' -f1)"
domains=(punjab-a punjab-b punjab-c punjab-d)

step="build"
make --no-print-directory build

step="start control replicas"
for i in 0 1 2; do
	start "control-$i" bin/parsleypulleyd control --name "control-$i" --domain "${domains[$i]}" \
		--link "$(port "$i")" --admin "$(port $((20 + i)))" --control "$controls" --data "$work/control-$i" \
		--operator "$(port $((40 + i)))" --operator-key-digest "$operator_digest"
done
for i in 0 1 2; do wait_for 10 http_ok "http://$(port $((20 + i)))/healthz"; done

step="bootstrap the control replicas"
bin/parsleypulley --control "$(port 40)" control bootstrap
for i in 0 1 2; do wait_for 15 http_ok "http://$(port $((20 + i)))/readyz"; done

step="start stand-in backend servers"
for i in 0 1 2; do
	start "engine-$i" bin/standin --listen "$(port $((60 + i)))" --model assessor:1
done
for i in 0 1; do
	start "farmdesk-$i" bin/standin --listen "$(port $((65 + i)))" --kind service
done
for i in 0 1 2; do wait_for 10 http_ok "http://$(port $((60 + i)))/health"; done
for i in 0 1; do wait_for 10 http_ok "http://$(port $((65 + i)))/health"; done

step="start agents"
for i in 0 1 2; do
	start "agent-engine-$i" bin/parsleypulleyd agent --name "runner-$i" --domain "${domains[$i]}" \
		--link "$(port $((10 + i)))" --admin "$(port $((30 + i)))" --control "$controls" --backend "http://$(port $((60 + i)))"
done
for i in 0 1; do
	start "agent-farmdesk-$i" bin/parsleypulleyd agent --name "farmdesk-$i" --domain "${domains[$i]}" \
		--link "$(port $((15 + i)))" --admin "$(port $((35 + i)))" --control "$controls" \
		--backend "http://$(port $((65 + i)))" --service farmdesk
done

step="start routers"
for i in 0 1; do
	start "router-$i" bin/parsleypulleyd router --name "router-$i" --domain "${domains[$i]}" \
		--link "$(port $((5 + i)))" --admin "$(port $((25 + i)))" --control "$controls" \
		--peers "$(port $((6 - i)))" --listen "$(port $((50 + i)))"
done

step="apply examples/quickstart.yaml"
bin/parsleypulley --control "$operators" apply examples/quickstart.yaml
for i in 0 1; do wait_for 10 http_ok "http://$(port $((25 + i)))/readyz"; done

step="wait for the backend servers to join"
all_joined() { [ "$(bin/parsleypulley --control "$operators" backend list --output json | grep -c '"ready"')" -ge 5 ]; }
wait_for 15 all_joined
# Each router gets the view milliseconds after the control replicas; wait until it
# contains all backend servers.
router_knows_all() { http_ok "http://$(port "$1")/debug/vars" | grep -q '"view_members": 5'; }
for i in 0 1; do wait_for 15 router_knows_all $((25 + i)); done
bin/parsleypulley --control "$operators" backend list

chat='{"model":"assessor","stream":true,"max_tokens":8,"messages":[{"role":"system","content":"Judge the silage."},{"role":"user","content":"Is clamp 7 fit to feed?"}]}'
for i in 0 1; do
	step="streamed chat through router-$i"
	answer=$(curl -fsSN --max-time 20 "http://$(port $((50 + i)))/v1/chat/completions" \
		-H "Authorization: Bearer demo-key-indus" -H "Content-Type: application/json" -d "$chat")
	echo "router-$i streamed $(grep -c '^data: {' <<<"$answer") chunks"
	grep -q '^data: \[DONE\]' <<<"$answer"
done

book() {
	curl -fsS --max-time 20 -D "$work/headers" -o "$work/body" -X POST "http://$(port "$1")/services/farmdesk/bookings" \
		-H "Authorization: Bearer demo-key-indus" -H "Idempotency-Key: quickstart-booking" \
		-H "Content-Type: application/json" -d '{"lab":"north","sample":7}'
}
step="booking through router-0"
book 50
cp "$work/body" "$work/first"
step="the same booking through router-1 is answered from the record"
book 51
cmp "$work/first" "$work/body"
grep -qi '^idempotent-replayed: true' "$work/headers"
step="the booking ran once"
count=0
for i in 0 1; do
	runs=$(curl -fsS "http://$(port $((65 + i)))/counts" | grep -o 'quickstart-booking[^,}]*' | grep -o '[0-9]*$' | head -n 1 || true)
	count=$((count + ${runs:-0}))
done
echo "booked once, answered twice (runs at the plain service: $count)"
[ "$count" -eq 1 ]

step="status"
bin/parsleypulley --control "$operators" status
echo
for name in "${names[@]}"; do
	printf '%-16s %s\n' "$name" "$(grep -vi debug "$work/$name.log" | tail -n 1 | cut -c1-150)"
done
for i in 0 1; do
	printf 'router-%s counters: ' "$i"
	curl -fsS "http://$(port $((25 + i)))/debug/vars" | grep -o '"router_[a-z_]*_total": [0-9]*' | tr '\n' ' '
	echo
done

if [ -n "$KEEP" ]; then
	echo
	echo "routers:  http://$(port 50) http://$(port 51)"
	echo "operators: --control $operators, key in PARSLEYPULLEY_OPERATOR_KEY=$PARSLEYPULLEY_OPERATOR_KEY"
	echo "logs and data: $work; process IDs: ${pids[*]}"
	echo "try: curl -N http://$(port 50)/v1/chat/completions -H 'Authorization: Bearer demo-key-indus' -d '$chat'"
	trap - EXIT
	exit 0
fi

step="planned stop"
stop_all
rm -rf "$work"
echo "quickstart passed"
