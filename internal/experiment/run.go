package experiment

import (
	"context"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"
)

// Run builds the trees of a plan and runs the plays that have no record yet, at most
// jobs at a time. It saves each record when its play ends. Plays that fail don't stop
// the others; their errors are returned together.
func Run(ctx context.Context, bench Bench, plan Plan, records *RecordFile, jobs int) error {
	for _, tree := range plan.Trees {
		if err := bench.Build(ctx, tree); err != nil {
			return err
		}
	}
	plays := plan.Plays()
	failures := make([]error, len(plays))
	var group errgroup.Group
	group.SetLimit(jobs)
	for i, play := range plays {
		if records.Has(play) {
			continue
		}
		group.Go(func() error {
			record, err := bench.Play(ctx, play)
			if err == nil {
				err = records.Add(record)
			}
			failures[i] = err
			return nil
		})
	}
	_ = group.Wait()
	return errors.Join(failures...)
}
