package soak

import (
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
)

// maxKeptBytes bounds what KeepLogs keeps of one run.
const maxKeptBytes = 64 << 20

// KeepLogs copies the journal of a run, and the log and the settings of each host, from the folder of the run to
// another one. Of files that would exceed maxKeptBytes together it copies the first and the last part: the
// first tells how a fault began, the last what was left of it.
func KeepLogs(from, to string) error {
	return keepLogs(from, to, maxKeptBytes)
}

func keepLogs(from, to string, maxBytes int64) error {
	files, err := logFiles(from)
	if err != nil {
		return err
	}
	for _, name := range files {
		relative, err := filepath.Rel(from, name)
		if err != nil {
			return err
		}
		if err := copyEnds(name, filepath.Join(to, relative), maxBytes/int64(len(files))); err != nil {
			return err
		}
	}
	return nil
}

// logFiles returns the files of a run that KeepLogs copies.
func logFiles(folder string) ([]string, error) {
	var all []string
	for _, pattern := range []string{"journal", "*/log", "*/boot.toml"} {
		found, err := filepath.Glob(filepath.Join(folder, pattern))
		if err != nil {
			return nil, err
		}
		all = append(all, found...)
	}
	return all, nil
}

// copyEnds copies a file of at most maxBytes. Of a longer one it copies the first and the last half of that, with
// a line between them that tells how many bytes are left out.
func copyEnds(from, to string, maxBytes int64) error {
	if err := os.MkdirAll(filepath.Dir(to), 0o700); err != nil {
		return err
	}
	in, err := os.Open(from)
	if err != nil {
		return err
	}
	defer func() { _ = in.Close() }()
	info, err := in.Stat()
	if err != nil {
		return err
	}
	out, err := os.Create(to)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	size := info.Size()
	if size <= maxBytes {
		_, err = io.Copy(out, io.LimitReader(in, maxBytes))
		return err
	}
	note := fmt.Sprintf("\n... %d bytes left out ...\n", size-maxBytes)
	half := (maxBytes - int64(len(note))) / 2
	first, last := io.NewSectionReader(in, 0, half), io.NewSectionReader(in, size-half, half)
	for _, part := range []io.Reader{first, strings.NewReader(note), last} {
		if _, err := io.Copy(out, part); err != nil {
			return err
		}
	}
	return nil
}
