package nativesim

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Wall clocks may jump: nothing but the log may read one. The state machines
// read no clock at all, and the shells count monotonic time through Clock.
// Goroutines start in crew alone.
func TestNoWallClockAndNoStrayGoroutine(t *testing.T) {
	c := qt.New(t)
	machines := map[string]bool{"consensus": true, "router": true, "witness": true, "failuredetector": true, "ledger": true, "choice": true, "nativesim": true, "description": true, "faultsim": true, "placement": true, "planner": true, "runnerstate": true, "demand": true, "index": true, "weightstore": true, "config": true, "bounds": true, "eventqueue": true, "scalesim": true}
	shells := map[string]bool{"office.go": true, "gate.go": true}
	files := 0
	err := filepath.WalkDir("../../..", func(path string, entry fs.DirEntry, err error) error {
		if err != nil || entry.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		files++
		folder, name := filepath.Base(filepath.Dir(path)), filepath.Base(path)
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			return err
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if _, ok := n.(*ast.GoStmt); ok && folder != "threads" {
				t.Errorf("%s starts a goroutine", path)
			}
			call, ok := n.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			if from, ok := call.X.(*ast.Ident); ok && from.Name == "time" && machines[folder] && !shells[name] {
				t.Errorf("%s reads or waits for time: time.%s", path, call.Sel.Name)
			}
			// These would take the monotonic part off a time.
			if strings.HasPrefix(call.Sel.Name, "Unix") {
				t.Errorf("%s uses wall time: %s", path, call.Sel.Name)
			}
			return true
		})
		return nil
	})
	c.Assert(err, qt.IsNil)
	c.Assert(files > 50, qt.IsTrue)
}
