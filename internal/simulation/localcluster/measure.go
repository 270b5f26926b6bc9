package localcluster

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/native/description"
)

const pairs = 400

// Measure prints what only real streams show: the cost of the way through a
// router as a ratio to a direct call, paired within one run, and how long the
// small service is away after every daemon was killed and started.
func (f *Fleet) Measure(out io.Writer) error {
	small, runner, err := f.small()
	if err != nil {
		return err
	}
	var direct, routed []float64
	for i := range pairs {
		body := []byte(fmt.Sprintf(`{"request":"direct-%d","service":%q,"revision":1,"incarnation":%q,"repeatable":true}`, i, small.Name, "first-"+runner.Name))
		tookMs, err := timed(runner.Address, "/run", body)
		if err != nil {
			return err
		}
		direct = append(direct, tookMs)
		edge := f.Routers[i%len(f.Routers)].Settings.HTTP
		if tookMs, err = timed(edge, "/services/"+small.Name, []byte(`{}`)); err != nil {
			return err
		}
		routed = append(routed, tookMs)
	}
	sort.Float64s(direct)
	sort.Float64s(routed)
	fmt.Fprintf(out, "routed to direct call, middle of %d pairs: %.2f\n", pairs, routed[pairs/2]/direct[pairs/2])
	fmt.Fprintf(out, "routed to direct call, 95 in 100: %.2f\n", routed[pairs*95/100]/direct[pairs*95/100])
	all := append(append([]*Part{}, f.Controllers...), f.Routers...)
	for _, part := range all {
		part.Kill()
	}
	from := time.Now()
	for _, part := range all {
		if err := f.Restart(part); err != nil {
			return err
		}
	}
	err = f.until(time.Minute, func() error {
		_, err := timed(f.Routers[0].Settings.HTTP, "/services/"+small.Name, []byte(`{}`))
		return err
	})
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "first answer after every daemon was killed and started, seen once: %.1f s\n", time.Since(from).Seconds())
	return nil
}

// small finds a repeatable service without models and a runner of its pool.
func (f *Fleet) small() (*description.Service, *RunnerPart, error) {
	for i := range f.Description.Services {
		s := &f.Description.Services[i]
		if !s.Repeatable || len(s.Models) > 0 {
			continue
		}
		for _, part := range f.Runners {
			if r, ok := f.Description.Runner(part.Name); ok && s.Uses(r.Pool) {
				return s, part, nil
			}
		}
	}
	return nil, nil, errors.New("no repeatable service without models is described; nothing was measured")
}

func timed(address, path string, body []byte) (float64, error) {
	from := time.Now()
	status, text, err := Ask(http.MethodPost, address, path, "", body)
	if err != nil {
		return 0, err
	}
	if status != http.StatusOK {
		return 0, errors.Newf("%s answered %d: %s", address, status, text)
	}
	return float64(time.Since(from).Microseconds()) / 1000, nil
}
