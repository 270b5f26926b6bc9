package experiment

import (
	"bufio"
	"encoding/json"
	"os"
	"sync"

	"github.com/cockroachdb/errors"

	"myrtlewinch/internal/benchjournal"
)

// Names of a record's measures. That of a part or price is a prefix and its name in the
// bench.
const (
	// Score is the day's score, scaled between the reference values that the day defines.
	Score = "score"
	// Served is the value earned as a fraction of the value due.
	Served = "served"
	// AllPrices is the sum of all prices, which the bench deducts from the value.
	AllPrices = "all prices"
	// pricePrefix begins the name of each price, and partPrefix the name of each part.
	pricePrefix = "price: "
	partPrefix  = "part: "
)

// Record is the result of one play. Records are stored as lines of JSON.
type Record struct {
	Tree string `json:"tree"`
	Site string `json:"site"`
	Day  string `json:"day"`
	Seed uint64 `json:"seed"`
	// Entry is the id of the journal entry.
	Entry string `json:"entry"`
	// Rules counts the violations of each rule.
	Rules map[string]int `json:"rules,omitempty"`
	// Measures holds the value of each measure by name: the score if the day has one,
	// Served, each part of the value, each price, and the sum of the prices if there
	// are any.
	Measures map[string]float64 `json:"measures"`
}

// key identifies a play. Records of the same play have the same key.
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

// RecordFile is the file with the records of an experiment. It is safe for concurrent use.
type RecordFile struct {
	mu      sync.Mutex
	file    *os.File
	records []Record
}

// OpenRecordFile opens or creates the file, and reads the records that it has.
func OpenRecordFile(path string) (*RecordFile, error) {
	file, err := os.OpenFile(path, os.O_RDWR|os.O_CREATE|os.O_APPEND, 0o644)
	if err != nil {
		return nil, errors.Wrap(err, "opening the record file")
	}
	records := &RecordFile{file: file}
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		var record Record
		if err := json.Unmarshal(scanner.Bytes(), &record); err != nil {
			return nil, errors.Wrapf(err, "decoding a line of record file %s", path)
		}
		records.records = append(records.records, record)
	}
	return records, errors.Wrap(scanner.Err(), "reading the record file")
}

// Has reports whether a play has a record.
func (f *RecordFile) Has(play Play) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, record := range f.records {
		if record.key() == play.key() {
			return true
		}
	}
	return false
}

// Add appends a record to the file.
func (f *RecordFile) Add(record Record) error {
	line, err := json.Marshal(record)
	if err != nil {
		return errors.WithStack(err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.records = append(f.records, record)
	_, err = f.file.Write(append(line, '\n'))
	return errors.Wrap(err, "writing to the record file")
}

// Records returns all records.
func (f *RecordFile) Records() []Record {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Record(nil), f.records...)
}

// Close closes the file.
func (f *RecordFile) Close() error { return errors.WithStack(f.file.Close()) }
