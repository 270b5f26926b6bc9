# Draws a day from kinds.txt and closings.txt: awk -v number=N -f mix.awk
# kinds.txt closings.txt. The same number gives the same day everywhere, since
# the generator (Lehmer's, modulo 2^31 - 1) stays within exact numbers.

function draw(below) {
	state = (state * 16807) % 2147483647
	return int(state / 2147483647 * below)
}

function moment(from, to) {
	return from + draw((to - from) * 10) / 10
}

function add(at, section, fields) {
	entries[section] = entries[section] sprintf("  { at = %.1f, %s },\n", at, fields)
}

# Leaves out runners' and clients' troubles three times of four: these days aim
# at the controllers.
function fitting(name) {
	return name !~ /^(srv|scale|burst|release|retry|idle-race|model)/ || draw(4) == 0
}

/^#/ { next }
{
	fields = $0
}
NR == FNR {
	sub(/^[^ ]+ +[^ ]+ +/, "", fields)
	names[++kinds] = $1
	sections[kinds] = $2
	troubles[kinds] = fields
}
NR != FNR {
	sub(/^[^ ]+ +/, "", fields)
	closings[++endings] = fields
}

END {
	state = number * 7919 + 12345
	for (warm = 0; warm < 5; warm++) draw(2)
	wanted = 8 + draw(8)
	at = moment(-6, 2)
	while (wanted > 0) {
		kind = 1 + draw(kinds)
		if (!fitting(names[kind])) continue
		add(at, sections[kind], troubles[kind])
		if (draw(3) == 0) add(at, sections[kind], troubles[kind])
		# One entry of three falls into the second of the one before.
		if (draw(3) > 0) at += moment(0.3, 5)
		wanted--
	}
	add(moment(0, 6), "plan", sprintf("kind = \"config_storm\", count = %d, gap_s = %.2f", 20 + draw(180), 0.05 + draw(30) / 100))
	add(moment(3, 20), "plan", sprintf("kind = \"config_race\", count = %d, gap_s = %.1f", 2 + draw(12), 0.3 + draw(10) / 10))
	if (draw(2) == 0) add(moment(0, 15), "faults", "kind = \"ack_lost\", x = 0.8, for_s = 8.0")
	printf "name = \"mix-%d\"\nseed = %d\nlength_s = %d\n", number, number, (at > 24 ? at + 6 : 30)
	printf "closing = { %s }\n", closings[1 + draw(endings)]
	printf "plan = [\n%s]\nfaults = [\n%s]\n", entries["plan"], entries["faults"]
}
