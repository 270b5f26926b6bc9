package holdings

import "myrtlewinch/outlier"

// metMost bounds how many ends of requests a follower tells of a key at once.
const metMost = 32

// outlier is what a runner may be given. A follower, asked by routers of its own
// zone, goes by what those met as well: it may be ill for them alone.
func (r *runner) outlier(nowMs int64, active bool) outlier.State {
	state := r.met.State(nowMs)
	if !active {
		state = max(state, r.word)
	}
	return state
}

// meet takes what a router's requests met at runners. One router alone meets
// too little of each of many runners to tell.
func (k *Keeper) meet(nowMs int64, well, ill []string) {
	for _, id := range well {
		if r := k.runners[id]; r != nil {
			r.met.Meet(nowMs, false, &r.service.met)
		}
	}
	for _, id := range ill {
		if r := k.runners[id]; r != nil {
			r.met.Meet(nowMs, true, &r.service.met)
		}
	}
}
