package pages

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"dogwoodrock.example/dogwoodrock/events"
)

// TestNames checks that the names on the pages exist: tests by package and name, files and folders by
// path, events by code and name.
func TestNames(t *testing.T) {
	var (
		test  = regexp.MustCompile("`([a-z]+)\\.((?:Test|Benchmark|Example)[A-Za-z]+)`")
		event = regexp.MustCompile(`\b(\d{3}) \(([A-Z][A-Za-z]+)\)`)
		path  = regexp.MustCompile("`((?:\\.ci|docs|wire|script|examples|cmd)/[A-Za-z0-9_./-]*)(?: [^`]*)?`")
	)
	tests := map[string]struct {
		name   *regexp.Regexp
		exists func(t *testing.T, m []string) bool
	}{
		"tests": {name: test, exists: func(t *testing.T, m []string) bool { return declares(t, m[1], m[2]) }},
		"events": {name: event, exists: func(_ *testing.T, m []string) bool {
			return slices.ContainsFunc(events.Catalogue(), func(e events.Event) bool {
				return fmt.Sprint(e.Code) == m[1] && e.Name == m[2]
			})
		}},
		"paths": {name: path, exists: func(_ *testing.T, m []string) bool { return pathExists(m[1]) }},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			n := 0
			for _, page := range allPages(t) {
				for _, m := range tt.name.FindAllStringSubmatch(readPage(t, page), -1) {
					n++
					if !tt.exists(t, m) {
						t.Errorf("%s names %s, which doesn't exist", page, m[0])
					}
				}
			}
			if n == 0 {
				t.Error("the pages contain no names of this kind")
			}
		})
	}
}

// allPages returns the paths of the pages in the repository.
func allPages(t *testing.T) []string {
	t.Helper()
	var pages []string
	for _, pattern := range []string{"*.md", "docs/*.md"} {
		paths, err := filepath.Glob(filepath.Join("..", pattern))
		if err != nil {
			t.Fatal(err)
		}
		for _, path := range paths {
			pages = append(pages, strings.TrimPrefix(path, "../"))
		}
	}
	return pages
}

func pathExists(path string) bool {
	_, err := os.Stat(filepath.Join("..", path))
	return err == nil
}

// declares reports whether a test file of the package declares the function.
func declares(t *testing.T, pkg, function string) bool {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", pkg, "*_test.go"))
	if err != nil {
		t.Fatal(err)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			t.Fatal(err)
		}
		if strings.Contains(string(text), "\nfunc "+function+"(") {
			return true
		}
	}
	return false
}
