package experiment

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/benchjournal"
)

// The measures of a record beside the parts and prices that the bench names.
const (
	// Score is the day's score between its marks.
	Score = "score"
	// Served is the share of the worth owed that was earned.
	Served = "served"
	// AllPrices is the sum of all prices.
	AllPrices = "all prices"
	// pricePrefix begins the names of single prices, partPrefix of parts.
	pricePrefix = "price: "
	partPrefix  = "part: "
)

// Record is what came of one play. Records are kept as lines of JSON.
type Record struct {
	Tree string `json:"tree"`
	Site string `json:"site"`
	Day  string `json:"day"`
	Seed uint64 `json:"seed"`
	// Entry is the id of the journal entry.
	Entry string `json:"entry"`
	// Rules counts the violations of each rule.
	Rules map[string]int `json:"rules,omitempty"`
	// Measures has the score where the day has marks, the share served, all parts
	// of the worth, and all prices.
	Measures map[string]float64 `json:"measures"`
}

// key identifies a play by what two records of the same play share.
type key struct {
	tree, site, day string
	seed            uint64
}

func (r Record) key() key { return key{r.Tree, r.Site, r.Day, r.Seed} }

func (p Play) key() key { return key{p.Tree.Name, siteName(p.Site), dayName(p.Day), p.Seed} }

func newRecord(play Play, entry benchjournal.Entry) Record {
	day := entry.Days[0]
	id := play.key()
	record := Record{
		Tree: id.tree, Site: id.site, Day: id.day, Seed: id.seed,
		Entry: entry.ID, Rules: day.Rules, Measures: map[string]float64{Served: day.Served},
	}
	if day.Score != nil {
		record.Measures[Score] = *day.Score
	}
	for _, part := range day.Parts {
		record.Measures[partPrefix+part.Name] = part.Value
	}
	for _, price := range day.Prices {
		record.Measures[pricePrefix+price.Name] = price.Worth
		record.Measures[AllPrices] += price.Worth
	}
	return record
}

// Log is the file of the records of an experiment. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	file    *os.File
	records []Record
}

// OpenLog opens the file of records, and reads those that it has already.
func OpenLog(path string) (*Log, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "file of records")
	}
	records := &Log{file: file}
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		var record Record
		if err := json.Unmarshal(scanner.Bytes(), &record); err != nil {
			return nil, errors.Wrapf(err, "file of records %s", path)
		}
		records.records = append(records.records, record)
	}
	return records, errors.Wrap(scanner.Err(), "file of records")
}

// Has says whether a play has a record already.
func (l *Log) Has(play Play) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, record := range l.records {
		if record.key() == play.key() {
			return true
		}
	}
	return false
}

// Add keeps a record.
func (l *Log) Add(record Record) error {
	line, err := json.Marshal(record)
	if err != nil {
		return errors.WithStack(err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, record)
	_, err = l.file.Write(append(line, '\n'))
	return errors.Wrap(err, "file of records")
}

// Records returns all records.
func (l *Log) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Record(nil), l.records...)
}

// Close closes the file.
func (l *Log) Close() error { return errors.WithStack(l.file.Close()) }
