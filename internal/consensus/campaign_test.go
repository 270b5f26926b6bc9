package consensus

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

const (
	// campaignCatchUpMs is the time after which a member that returned counts as
	// lost no longer, so that the next may be lost.
	campaignCatchUpMs = 4000
	// campaignLeaveMs is how long a member that leaves may take.
	campaignLeaveMs = 4000
	// campaignServesMs is the time within which the site serves again once
	// nothing more is lost.
	campaignServesMs = 12_000
)

// campaign is a run of losses on a few controllers, never more at once than
// the site is to bear: kills, empty disks, planned stops with and without a
// return, machines replaced at another address, cuts, slow disks, messages that
// come late and out of order.
type campaign struct {
	*core
	random *rand.Rand
	losses int
	// backMs says since when each member is whole again, lost who is not.
	backMs map[string]int64
	lost   map[string]bool
	// acked is the last row that was acknowledged, sent the last handed over.
	acked, sent int
	added       int
	trace       []string
}

func newCampaign(c *qt.C, losses, count int, seed uint64) *campaign {
	r := &campaign{
		core: newCore(c, losses, count), random: rand.New(rand.NewPCG(seed, 11)), losses: losses,
		backMs: map[string]int64{}, lost: map[string]bool{}, acked: -1, sent: -1,
	}
	r.core.delay = r.delay
	return r
}

// delay is how long a message is on its way: now and then one that a cut or a
// full link held up comes after many later ones.
func (r *campaign) delay() int64 {
	switch r.random.IntN(60) {
	case 0:
		return 1 + r.random.Int64N(2500)
	case 1, 2:
		return 1 + r.random.Int64N(60)
	}
	return 1 + r.random.Int64N(3)
}

func (r *campaign) note(format string, args ...any) {
	r.trace = append(r.trace, fmt.Sprintf("%7d ", r.nowMs-3_600_000)+fmt.Sprintf(format, args...))
}

// countLost counts the members that are lost now.
func (r *campaign) countLost() int {
	count := 0
	for name, n := range r.nodes {
		if n.gone {
			continue
		}
		if n.down || r.lost[name] || r.nowMs-r.backMs[name] < campaignCatchUpMs {
			count++
		}
	}
	return count
}

// whole lists the members that may be lost next.
func (r *campaign) whole() []string {
	var names []string
	for _, name := range slices.Sorted(maps.Keys(r.nodes)) {
		n := r.nodes[name]
		if !n.gone && !n.down && !r.lost[name] && r.nowMs-r.backMs[name] >= campaignCatchUpMs {
			names = append(names, name)
		}
	}
	return names
}

// pick draws a member, in half of the cases the primary.
func (r *campaign) pick() string {
	whole := r.whole()
	if len(whole) == 0 {
		return ""
	}
	if name := r.primary(); r.random.IntN(2) == 0 && slices.Contains(whole, name) {
		return name
	}
	return whole[r.random.IntN(len(whole))]
}

// strike loses one member in some way, where one more may be lost.
func (r *campaign) strike() {
	if r.countLost() >= r.losses {
		return
	}
	name := r.pick()
	if name == "" {
		return
	}
	backMs := 100 + r.random.Int64N(2500)
	switch r.random.IntN(7) {
	case 0, 1, 2:
		r.killAndWipe(name, backMs)
	case 3:
		r.killAndRestart(name, backMs)
	case 4:
		r.cutOff(name, backMs, r.random.IntN(3) == 0)
	case 5:
		r.slow(name, backMs)
	case 6:
		r.replace(name)
	}
}

// killAll kills every member at the same moment; they come back one after the
// other, as many of them with empty disks as may be lost.
func (r *campaign) killAll() {
	if r.countLost() > 0 {
		return
	}
	wiped := r.random.IntN(r.losses + 1)
	r.note("all are killed, %d lose their disks", wiped)
	whole := r.whole()
	r.random.Shuffle(len(whole), func(i, j int) { whole[i], whole[j] = whole[j], whole[i] })
	for i, name := range whole {
		r.kill(name)
		backMs := 100 + r.random.Int64N(900)
		if i < wiped {
			r.back(name, backMs, func() { r.wipe(name) })
		} else {
			r.back(name, backMs, func() { r.restart(name) })
		}
	}
}

func (r *campaign) killAndWipe(name string, backMs int64) {
	r.note("%s is killed and loses its disk, back in %d", name, backMs)
	r.kill(name)
	r.back(name, backMs, func() { r.wipe(name) })
}

func (r *campaign) killAndRestart(name string, backMs int64) {
	r.note("%s is killed, back in %d", name, backMs)
	r.kill(name)
	r.back(name, backMs, func() { r.restart(name) })
}

func (r *campaign) cutOff(name string, backMs int64, oneWay bool) {
	r.note("%s is cut off for %d, one way: %v", name, backMs, oneWay)
	r.lost[name] = true
	for other := range r.nodes {
		r.cut[other+">"+name] = true
		r.cut[name+">"+other] = !oneWay
	}
	r.back(name, backMs, func() {
		for other := range r.nodes {
			delete(r.cut, other+">"+name)
			delete(r.cut, name+">"+other)
		}
	})
}

func (r *campaign) slow(name string, backMs int64) {
	r.note("the disk of %s is slow for %d", name, backMs)
	n := r.nodes[name]
	r.lost[name] = true
	n.saveMs = 150
	r.back(name, backMs, func() { n.saveMs = 0 })
}

func (r *campaign) back(name string, inMs int64, do func()) {
	r.lost[name] = true
	r.after(inMs, func() {
		do()
		delete(r.lost, name)
		r.backMs[name] = r.nowMs
		r.note("%s is back", name)
	})
}

// replace starts a successor at another address and, once that has had its
// time, tells the member to stop for good; it goes when it says that it may,
// or when its time has run out. It counts as lost no longer from then on.
func (r *campaign) replace(name string) {
	r.added++
	successor := fmt.Sprintf("core-%d", 100+r.added)
	r.note("%s joins, to replace %s", successor, name)
	r.addNode(successor, fmt.Sprintf("10.0.1.%d:7", r.added), fmt.Sprintf("zone-%d", r.random.IntN(3)))
	r.backMs[successor] = r.nowMs
	// The member is not lost by anything else meanwhile.
	r.lost[name] = true
	r.after(campaignCatchUpMs+r.random.Int64N(200), func() {
		r.note("%s is told to stop for good", name)
		n := r.nodes[name]
		n.departed = func() { r.remove(name) }
		r.step(name, Leave{ID: 1})
		life := n.life
		r.after(campaignLeaveMs+300, func() {
			if n.life == life {
				r.remove(name)
			}
		})
	})
}

func (r *campaign) remove(name string) {
	n := r.nodes[name]
	if n.gone {
		return
	}
	r.note("%s is gone for good", name)
	n.gone = true
	r.kill(name)
	delete(r.lost, name)
}

// restartInTurn stops a member as planned and starts it again on its disk.
func (r *campaign) restartInTurn() {
	if r.countLost() >= r.losses {
		return
	}
	name := r.pick()
	if name == "" {
		return
	}
	r.note("%s is restarted as planned", name)
	n := r.nodes[name]
	life := n.life
	stop := func() {
		if n.life == life && !n.down {
			r.kill(name)
			r.back(name, 500, func() { r.restart(name) })
		}
	}
	r.lost[name] = true
	n.departed = func() { r.after(20, stop) }
	r.step(name, Leave{ID: 1})
	r.after(campaignLeaveMs+300, stop)
}

// write hands a row over at whoever is the primary.
func (r *campaign) write() {
	name := r.primary()
	if name == "" {
		return
	}
	r.sent++
	row := r.sent
	r.step(name, put{fmt.Sprint(row), func(ok bool) {
		if ok {
			r.acked = max(r.acked, row)
		}
	}})
}

// check looks whether what was acknowledged is at the primary.
func (r *campaign) check() {
	name := r.primary()
	if name == "" {
		return
	}
	got := -1
	_, _ = fmt.Sscan(r.nodes[name].tenant.row, &got)
	if got < r.acked {
		r.fail("%s serves %d after %d was acknowledged", name, got, r.acked)
	}
}

func (r *campaign) fail(format string, args ...any) {
	r.c.Helper()
	r.c.Fatalf("%s\n%s\n%s", fmt.Sprintf(format, args...), strings.Join(r.trace[max(0, len(r.trace)-60):], "\n"), strings.Join(r.history[max(0, len(r.history)-60):], "\n")+"\n"+strings.Join(r.states(), "\n"))
}

// settle lets all come back and looks whether the site serves again.
func (r *campaign) settle() {
	for waitedMs := int64(0); ; waitedMs += 100 {
		r.run(100)
		r.check()
		if r.countLost() == 0 && r.serves() {
			return
		}
		if waitedMs > campaignServesMs+campaignCatchUpMs+2*campaignLeaveMs {
			r.fail("it does not serve again; lost %d", r.countLost())
		}
	}
}

func (r *campaign) play(ms int64) {
	r.until(10_000, "bootstrap", r.serves)
	r.run(campaignCatchUpMs)
	for endMs := r.nowMs + ms; r.nowMs < endMs; {
		switch r.random.IntN(8) {
		case 0, 1:
			if r.random.IntN(10) == 0 {
				r.killAll()
			} else {
				r.strike()
			}
		case 2:
			r.restartInTurn()
		case 3, 4, 5:
			r.write()
		}
		r.run(50 * (1 + r.random.Int64N(3)))
		r.check()
	}
	r.settle()
	row := r.sent + 1
	r.write()
	r.run(1500)
	r.check()
	if r.acked < row {
		r.fail("a write is not acknowledged in the end")
	}
}

// playBootstrap disturbs the first seconds of a site by cuts and kills. No disk
// is lost: within the catch-up time of its start each member counts as lost.
func (r *campaign) playBootstrap() {
	r.sent, r.acked = 0, -1
	names := slices.Sorted(maps.Keys(r.nodes))
	for startMs := r.nowMs; r.nowMs < startMs+campaignCatchUpMs; {
		name := names[r.random.IntN(len(names))]
		switch n := r.nodes[name]; {
		case r.random.IntN(4) == 0:
			other := names[r.random.IntN(len(names))]
			r.cut[name+">"+other] = r.random.IntN(2) == 0
			r.cut[other+">"+name] = r.random.IntN(2) == 0
		case r.random.IntN(3) == 0 && !n.down:
			r.note("%s is killed", name)
			r.kill(name)
		case n.down:
			r.note("%s is back", name)
			r.restart(name)
		}
		r.run(50 * (1 + r.random.Int64N(6)))
		if r.random.IntN(3) == 0 {
			r.write()
		}
		r.check()
	}
	clear(r.cut)
	for _, name := range names {
		if r.nodes[name].down {
			r.restart(name)
		}
	}
	r.note("all are left alone")
	r.settle()
}

// campaignShapes are losses to be borne and numbers of core machines.
var campaignShapes = [][2]int{{1, 3}, {1, 4}, {1, 6}, {2, 5}, {2, 6}, {2, 9}}

// Whatever is lost, as many more may be lost once it has been back for the
// catch-up time; nothing acknowledged is ever taken back, no two serve at once.
func TestCampaignOfLosses(t *testing.T) {
	seeds := campaignSeeds(t)
	for _, shape := range campaignShapes {
		for seed := range seeds {
			t.Run(fmt.Sprintf("%d of %d, seed %d", shape[0], shape[1], seed), func(t *testing.T) {
				t.Parallel()
				newCampaign(qt.New(t), shape[0], shape[1], seed).play(60_000)
			})
		}
	}
}
