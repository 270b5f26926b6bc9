package process

import (
	"runtime"
	"runtime/metrics"

	"github.com/charmbracelet/log"

	"myrtlewinch/internal/memory"
)

const (
	// Peaks of the account are reported in steps of an eighth of its limit, from a half on, so
	// that a process writes a few lines at most in its life.
	peakSteps     = 8
	firstPeakStep = 4
	bytesPerMb    = 1 << 20
)

// memoryReporter logs what the memory of the process consists of when what others make it hold
// reaches a new peak. An operator can then tell why a process that is killed for its memory had
// so much of it.
type memoryReporter struct {
	account *memory.Account
	log     *log.Logger
	// reportedStep is the last step that was logged.
	reportedStep int64
}

// reportPeak logs a line if the peak has reached a further step.
func (m *memoryReporter) reportPeak() {
	peak := m.account.Peak()
	step := peak.Total * peakSteps / m.account.Limit()
	if step < firstPeakStep || step <= m.reportedStep {
		return
	}
	m.reportedStep = step
	fields := []any{"account_mb", toMb(peak.Total), "limit_mb", toMb(m.account.Limit())}
	for class, bytes := range peak.ByClass {
		fields = append(fields, memory.Class(class).String()+"_mb", toMb(bytes))
	}
	m.log.Info("what others make this process hold reached a new peak", append(fields, runtimeFields()...)...)
}

func toMb(bytes int64) int64 { return bytes / bytesPerMb }

// runtimeFields returns the parts of the Go runtime's memory, as key-value pairs. resident_mb is
// what the runtime has not returned to the system.
func runtimeFields() []any {
	samples := []metrics.Sample{
		{Name: "/memory/classes/total:bytes"},
		{Name: "/memory/classes/heap/released:bytes"},
		{Name: "/memory/classes/heap/objects:bytes"},
		{Name: "/memory/classes/heap/stacks:bytes"},
		{Name: "/sched/goroutines:goroutines"},
	}
	metrics.Read(samples)
	mb := func(sample metrics.Sample) uint64 { return sample.Value.Uint64() / bytesPerMb }
	return []any{
		"resident_mb", mb(samples[0]) - mb(samples[1]), "heap_mb", mb(samples[2]), "stacks_mb", mb(samples[3]),
		"goroutines", samples[4].Value.Uint64(), "threads", runtime.GOMAXPROCS(0), "arch", runtime.GOARCH,
	}
}
