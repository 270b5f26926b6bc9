package holdings
import ("testing";"fmt")
func TestDbg(t *testing.T) {
	s := newStand(t, 3, newMap(39, 42, 4.2), 12)
	s.fill(0, 1)
	k := s.keeper("one")
	k.Begin(s.nowMs, 1, s.nowMs)
	load := newTraffic(s, k)
	both := func(a, b string) func(ms int64) {
		return func(ms int64) {
			if s.poisson(47) { load.ask(a, "") }
			if s.poisson(17) { load.ask(b, "") }
			if s.poisson(7) { load.ask(s.engine.Models[5+s.rnd.IntN(34)].Name, "") }
			if ms%500 == 0 {
				for _, n := range []string{"m000","m001","m003","m004"} {
				m := k.services[llm].models[n]
				fmt.Printf("%s c%d+%d w%d r%.1f o%.1f v%.2f | ", n, m.copies, m.coming, m.wanted, m.rate, m.atOnce, k.planner.value(m, m.copies))
				}
				fmt.Println(ms, k.store.left(ms))
			}
		}
	}
	play(s, load, 10, both("m000", "m001"))
	play(s, load, 6, both("m003", "m004"))
}
func TestDbg2(t *testing.T) {
	s := newStand(t, 9, newMap(12, 8, 4.2), 8)
	s.fill(0, 1)
	k := s.keeper("one")
	k.Begin(s.nowMs, 1, s.nowMs)
	load := newTraffic(s, k)
	last := 0
	play(s, load, 28, func(ms int64) {
		if s.poisson(30) {
			load.ask("m000", "")
		}
		if s.poisson(5) {
			load.ask("m000", fmt.Sprintf("a%d", 1+s.rnd.IntN(8)))
		}
		if s.poisson(6) {
			load.ask(fmt.Sprintf("m%03d", 1+s.rnd.IntN(11)), "")
		}
		if s.orders != last { last = s.orders
			fmt.Print(ms, " ")
			for _, r := range k.sorted { if r.order != nil { fmt.Print(r.entry.Id, *r.order, " ") } }
			fmt.Println()
		}
	})
}
