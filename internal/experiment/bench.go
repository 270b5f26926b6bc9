package experiment

import (
	"bytes"
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/benchjournal"
)

const (
	// entryPrefix begins the line in which the bench prints the id of its journal entry.
	entryPrefix = "snapshot "
	// journalFolder is the folder below a tree's root to which the bench writes entries.
	journalFolder = "journal"
	// maxQuotedOutput is how many bytes at the end of the bench's output an error quotes.
	maxQuotedOutput = 400
)

// Bench runs the platform's bench.
type Bench struct {
	// Path is the absolute path of the program.
	Path string
	// Why is the reason that is noted in its journal.
	Why string
	// NoCPU tells the bench not to count the daemons' CPU time.
	NoCPU bool
}

// Check returns an error if the bench, or a tree or site of the plan, does not exist.
func (b Bench) Check(plan Plan) error {
	if info, err := os.Stat(b.Path); err != nil || info.IsDir() {
		return errors.Newf("no such bench: %s", b.Path)
	}
	for _, tree := range plan.Trees {
		if _, err := os.Stat(filepath.Join(tree.Folder, "go.mod")); err != nil {
			return errors.Newf("no such tree: %s has no go.mod", tree.Folder)
		}
	}
	for _, site := range plan.Sites {
		if _, err := os.Stat(site); err != nil {
			return errors.Newf("no such site: %s", site)
		}
	}
	return nil
}

// Build builds a tree, so that the plays on this tree need not build it.
func (b Bench) Build(ctx context.Context, tree Tree) error {
	output, err := b.run(ctx, tree, "build")
	if err != nil {
		return errors.Wrapf(err, "tree %s does not build: %s", tree.Name, endOf(output))
	}
	return nil
}

// Play plays one day and returns its record. A play that leaves no entry in the
// journal is an error.
func (b Bench) Play(ctx context.Context, play Play) (Record, error) {
	arguments := []string{"run", play.Site, play.Day, "--jobs", "1", "--seed", strconv.FormatUint(play.Seed, 10), "--why", b.Why}
	if b.NoCPU {
		arguments = append(arguments, "--no-cpu")
	}
	output, runErr := b.run(ctx, play.Tree, arguments...)
	id := entryID(output)
	if id == "" {
		return Record{}, errors.Newf("%s: the bench printed no journal entry id (%v): %s", play.label(), runErr, endOf(output))
	}
	entry, err := readEntry(play.Tree, id)
	if err != nil {
		return Record{}, errors.Wrap(err, play.label())
	}
	if !entry.Finished || len(entry.Days) != 1 {
		return Record{}, errors.Newf("%s: journal entry %s is unfinished or does not have exactly one day", play.label(), id)
	}
	return newRecord(play, entry), nil
}

// run runs the bench in a tree and returns what it printed.
func (b Bench) run(ctx context.Context, tree Tree, arguments ...string) (string, error) {
	command := exec.CommandContext(ctx, b.Path, arguments...)
	command.Dir = tree.Folder
	output, err := command.CombinedOutput()
	return string(output), err
}

// entryID returns the id of the journal entry that the bench names, or "".
func entryID(output string) string {
	for line := range strings.Lines(output) {
		if id, found := strings.CutPrefix(strings.TrimSpace(line), entryPrefix); found {
			return id
		}
	}
	return ""
}

// readEntry reads an entry of a tree's journal.
func readEntry(tree Tree, id string) (benchjournal.Entry, error) {
	files, err := filepath.Glob(filepath.Join(tree.Folder, journalFolder, "*-"+id+".json"))
	if err != nil || len(files) != 1 {
		return benchjournal.Entry{}, errors.Newf("entry %s is not in the journal of %s", id, tree.Folder)
	}
	text, err := os.ReadFile(files[0])
	if err != nil {
		return benchjournal.Entry{}, errors.WithStack(err)
	}
	return benchjournal.Parse(bytes.TrimSpace(text))
}

// endOf returns the last maxQuotedOutput bytes of an output, joined to one line.
func endOf(output string) string {
	text := strings.Join(strings.Fields(output), " ")
	return text[max(0, len(text)-maxQuotedOutput):]
}

// label identifies a play in an error.
func (p Play) label() string {
	return p.Tree.Name + ", " + siteName(p.Site) + " " + dayName(p.Day) + ", seed " + strconv.FormatUint(p.Seed, 10)
}

// siteName returns the name of a site from the path of its file.
func siteName(path string) string { return strings.TrimSuffix(filepath.Base(path), ".toml") }

// dayName returns the name of a day, which may be given as the path of a file.
func dayName(day string) string { return strings.TrimSuffix(filepath.Base(day), ".toml") }
