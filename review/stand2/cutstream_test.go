package stand2

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

// cutStreamRunners is how many runners there are. One of them crashes, a share of 0.17.
const cutStreamRunners = 6

// cutStream is case 6: streams without a length, and a runner that crashes within an event.
func cutStream(out *record) (broken bool, err error) {
	s, err := newSite(out, 3, 2)
	if err != nil {
		return false, err
	}
	runners, err := s.startRunners(cutStreamRunners, "RUNNER_UNFRAMED=1")
	if err != nil {
		return false, err
	}
	if err := s.startAll(configuration(5)); err != nil {
		return false, err
	}
	time.Sleep(2 * time.Second)
	const clients = 48
	outcomes := make([]outcome, clients)
	var group sync.WaitGroup
	for i := range clients {
		group.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			try := fmt.Sprintf("9c41d07be2a3%04x", i)
			front := s.routers[i%len(s.routers)]
			outcomes[i] = ask(fmt.Sprintf("%s:%d", front.ip, clientPort), streamPrefix+"2f", try, 15*time.Second, modelHeaders(try))
		})
	}
	if hasTrouble() {
		time.Sleep(1500 * time.Millisecond)
		busiest := s.busiestRunner(cutStreamRunners)
		runners[busiest].kill()
		out.printf("runner i-%d crashed (SIGKILL)", busiest)
	}
	group.Wait()
	s.copyRunnerLogs(cutStreamRunners)
	served := 0
	for _, o := range outcomes {
		fault := ""
		if o.status == 200 && o.err == nil {
			fault = checkStream(o.body)
			served++
		}
		out.note("client: try %s: status %d, stamp %s, %d bytes, error %v, %d ms; %s", o.try, o.status, o.seal, len(o.body), o.err, o.ms, fault)
		if fault != "" {
			out.printf("ORDER: try %s, stamp %s: %s", o.try, o.seal, fault)
			broken = true
		}
	}
	out.printf("%d of %d streams ended as complete", served, clients)
	if served < clients/2 {
		return false, fmt.Errorf("too few streams were served")
	}
	return broken, nil
}

// startRunners starts runners of the service with models.
func (s *site) startRunners(count int, env ...string) ([]*process, error) {
	var runners []*process
	for i := range count {
		id, address := fmt.Sprintf("i-%d", i), s.address(60+i, runnerPort)
		environment := append([]string{
			"REVIEW_ROLE=runner", "RUNNER_ID=" + id, "RUNNER_ADDRESS=" + address, "RUNNER_MODEL=" + modelName,
			"RUNNER_LOG=" + filepath.Join(s.folder, id+".runner"), "PATH=" + os.Getenv("PATH"),
		}, env...)
		p, err := startProcess(filepath.Join(s.folder, id+".log"), environment, os.Args[0])
		if err != nil {
			return nil, err
		}
		runners = append(runners, p)
		s.platform.add(entry{
			ID: id, Service: modelService, Address: address, Zone: s.zones[i%len(s.zones)], Version: "v1", Slots: 64, State: "ready",
			Phase: "both", Models: []heldModel{{Name: modelName, Version: 1, Adapters: []string{}}},
		})
	}
	return runners, nil
}

// copyRunnerLogs copies what the runners ran into the record.
func (s *site) copyRunnerLogs(count int) {
	for i := range count {
		text, _ := os.ReadFile(filepath.Join(s.folder, fmt.Sprintf("i-%d.runner", i)))
		s.out.note("runner i-%d ran:\n%s", i, text)
	}
}

// busiestRunner returns the runner that runs the most requests, by the runners' logs.
func (s *site) busiestRunner(count int) int {
	best, most := 0, -1
	for i := range count {
		text, _ := os.ReadFile(filepath.Join(s.folder, fmt.Sprintf("i-%d.runner", i)))
		running := strings.Count(string(text), " runs ") - strings.Count(string(text), " ends ")
		if running > most {
			best, most = i, running
		}
	}
	return best
}
