package disk

import (
	"errors"
	"os"
	"path/filepath"
	"testing"
)

// FuzzOpen opens a data folder with a damaged log and snapshot: it is read as far as it is whole, or
// refused by an error that names the file.
func FuzzOpen(f *testing.F) {
	f.Add([]byte(""), []byte(""))
	f.Add([]byte("\x08\x00\x00\x00\x00\x00\x00\x00\x01\x02\x03"), []byte("{}"))
	f.Add([]byte("\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff\xff"), []byte("\x00"))
	f.Fuzz(func(t *testing.T, log, snapshot []byte) {
		dir := t.TempDir()
		for name, data := range map[string][]byte{markName: []byte(markText), logPrefix + "1": log, snapshotPrefix + "1": snapshot} {
			if err := os.WriteFile(filepath.Join(dir, name), data, 0o600); err != nil {
				t.Fatal(err)
			}
		}
		s, err := Open(dir)
		var corrupt *CorruptError
		var file *FileError
		if err != nil && !errors.As(err, &corrupt) && !errors.As(err, &file) {
			t.Fatalf("error %v of type %T", err, err)
		}
		if err == nil {
			s.Saved()
		}
	})
}
