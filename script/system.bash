# Functions that run a complete system on loopback addresses: 9 entry hosts in three
# data centres, three in each, or the number in the variable hosts if the script has
# set it. Sourced by the other scripts of this folder, from the root of the repository.

readonly ready_tries=300 # attempts, ready_pause apart
readonly ready_pause=0.1 # seconds
readonly hosts=${hosts:-9}
readonly hosts_per_dc=3

dcs=(changwon gimhae jinju)
for ((dc_number = 4; dc_number <= hosts / hosts_per_dc; dc_number++)); do
	dcs+=("dc$dc_number")
done
readonly dcs=("${dcs[@]:0:hosts/hosts_per_dc}")

# The first host of each of the first three data centres is a replica of the lists group.
lists_hosts=$(printf '%s-1, ' "${dcs[@]:0:3}")
readonly lists_hosts=${lists_hosts%, }

# Each run uses its own loopback IPs, so that several can run at the same time.
readonly net="127.$((1 + $$ / 250 % 250)).$((1 + $$ % 250))"

# front, peer and naive print the address of host NUMBER for callers, for other hosts and as a
# naive host.
front() { echo "$net.$((10 + $1)):8080"; }
peer() { echo "$net.$((10 + $1)):7080"; }
naive() { echo "$net.$((10 + $1)):9080"; }

work=$(mktemp -d)
pids=()

stop_all() {
	for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
		kill -TERM "${pids[i]}" 2>/dev/null || true
	done
	for pid in "${pids[@]}"; do
		wait "$pid" || true
	done
	rm -rf "$work"
}
trap stop_all EXIT

build() {
	mkdir "$work/bin"
	for name in dogwoodrockd dogwoodrock dogwoodrock-stand dogwoodrock-bench; do
		go build -o "$work/bin/$name" "./cmd/$name"
	done
}

# settings NAME DATA_CENTRE NUMBER FOLDER prints the settings of one host. FOLDER is the end of
# the line with the data folder, or empty.
settings() {
	echo "Host: {Name: $1, DataCentre: $2, Listen: '$(front "$3")'$4}"
	cat "$work/hosts.yaml"
	echo "Lists: {Hosts: [$lists_hosts]}"
}

write_settings() {
	local n=0 dc host folder
	echo "Hosts:" >"$work/hosts.yaml"
	for dc in "${dcs[@]}"; do
		for host in "$dc-1" "$dc-2" "$dc-3"; do
			echo "  - {Name: $host, DataCentre: $dc, Address: '$(peer $n)', Front: '$(front $n)'}"
			n=$((n + 1))
		done
	done >>"$work/hosts.yaml"
	n=0
	for dc in "${dcs[@]}"; do
		for host in "$dc-1" "$dc-2" "$dc-3"; do
			folder=""
			if [[ ", $lists_hosts," == *" $host,"* ]]; then
				mkdir "$work/$host.data"
				folder=", DataFolder: '$work/$host.data'"
			fi
			settings "$host" "$dc" "$n" "$folder" >"$work/$host.yaml"
			n=$((n + 1))
		done
	done
}

start_hosts() {
	local dc host
	for dc in "${dcs[@]}"; do
		for host in "$dc-1" "$dc-2" "$dc-3"; do
			"$work/bin/dogwoodrockd" --settings "$work/$host.yaml" 2>"$work/$host.log" &
			pids+=($!)
		done
	done
}

# retry COMMAND... repeats a command until it succeeds, at most ready_tries times.
retry() {
	local out
	for ((i = 0; i < ready_tries; i++)); do
		if out=$("$@" 2>&1); then
			echo "$out"
			return
		fi
		sleep "$ready_pause"
	done
	echo "gave up on: $*" >&2
	echo "$out" >&2
	grep -h '"Level":"error"' "$work"/*.log >&2 || true
	return 1
}

# client HOST_NUMBER COMMAND... runs the operators' command line against one host.
client() {
	"$work/bin/dogwoodrock" --operator "${USER:-operator}" --state "$work/state" --host "$(front "$1")" "${@:2}"
}

# put LIST VERSION replaces this version of a list with the file of the list's name.
put() {
	client 0 put --base "$2" "$1" "$work/$1.yaml"
}

# await_ready waits until every host is ready for requests.
await_ready() {
	for ((n = 0; n < hosts; n++)); do
		retry curl --silent --fail "http://$(front "$n")/readyz" >/dev/null
	done
}
