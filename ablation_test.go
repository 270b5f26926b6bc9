package myrtlewinch

import (
	"os/exec"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// minAblationPatches is how many mechanisms have a patch that switches them off.
const minAblationPatches = 12

// Each patch that switches a mechanism off fits the sources that it stands beside.
func TestAblationPatchesApply(t *testing.T) {
	patches, err := filepath.Glob("testdata/ablation/*.patch")
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, len(patches) >= minAblationPatches, qt.IsTrue)
	for _, patch := range patches {
		output, err := exec.Command("git", "apply", "--check", patch).CombinedOutput()
		qt.Check(t, err, qt.IsNil, qt.Commentf("%s: %s", patch, output))
	}
}
