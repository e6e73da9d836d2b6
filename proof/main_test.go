package proof

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	_ "dogwoodrock.example/dogwoodrock/daemon" // built below; the import invalidates cached test results when the daemon changes
)

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "dogwoodrock-proof-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	daemonPath = filepath.Join(dir, "dogwoodrockd")
	build := exec.Command("go", "build", "-o", daemonPath, "../cmd/dogwoodrockd")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "building the daemon failed:", err)
		return 1
	}
	return m.Run()
}
