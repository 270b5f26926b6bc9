package nativesim

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// The table of proofs says nothing that is not in the code, and leaves no rule
// out: each rule, scenario, fault, variant and test that it names is there.
func TestProofsTableIsTrue(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile("../../../docs/proofs.md")
	c.Assert(err, qt.IsNil)
	tests := sources(c, func(name string) bool { return strings.HasSuffix(name, "_test.go") })
	book := sources(c, func(name string) bool {
		return filepath.Base(filepath.Dir(name)) == "invariants" && !strings.HasSuffix(name, "_test.go")
	})
	ruled := map[string]bool{}
	for _, match := range regexp.MustCompile(`(?:report\(|Violation\{)"([a-z ]+)"`).FindAllStringSubmatch(book, -1) {
		ruled[match[1]] = true
	}
	known := map[string]bool{}
	for name := range Scenarios {
		known[name] = true
	}
	for _, f := range faults {
		known[f.name] = true
	}
	named, rows := map[string]bool{}, 0
	for _, line := range strings.Split(string(page), "\n") {
		cells := strings.Split(line, "|")
		if len(cells) != 6 || strings.HasPrefix(cells[1], " ---") || strings.Contains(cells[1], "must never happen") {
			continue
		}
		rows++
		for _, match := range regexp.MustCompile("`([^`]+)`").FindAllStringSubmatch(cells[2], -1) {
			named[match[1]] = true
			c.Check(ruled[match[1]], qt.IsTrue, qt.Commentf("no rule is called %q", match[1]))
		}
		for _, match := range regexp.MustCompile(`"([^"]+)"`).FindAllStringSubmatch(cells[3], -1) {
			c.Check(known[match[1]], qt.IsTrue, qt.Commentf("no scenario or fault is called %q", match[1]))
		}
		for _, match := range regexp.MustCompile(`"([^"]+)"`).FindAllStringSubmatch(cells[4], -1) {
			c.Check(strings.Contains(tests, `{"`+match[1]+`", "`), qt.IsTrue, qt.Commentf("no variant is called %q", match[1]))
		}
		for _, match := range regexp.MustCompile("`(Test[^`]+)`").FindAllStringSubmatch(cells[3]+cells[4], -1) {
			c.Check(strings.Contains(tests, "func "+match[1]+"("), qt.IsTrue, qt.Commentf("no test is called %s", match[1]))
		}
		c.Check(strings.ContainsAny(cells[4], "\"`"), qt.IsTrue, qt.Commentf("nothing shows that the check of %q fires", cells[1]))
	}
	c.Assert(rows, qt.Equals, 12)
	for rule := range ruled {
		c.Check(named[rule], qt.IsTrue, qt.Commentf("the rule %q is in no row", rule))
	}
}

// sources gives the text of the project's files of a kind.
func sources(c *qt.C, of func(name string) bool) string {
	var all strings.Builder
	err := filepath.WalkDir("../../..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || !of(path) {
			return err
		}
		text, err := os.ReadFile(path)
		all.Write(text)
		return err
	})
	c.Assert(err, qt.IsNil)
	return all.String()
}
