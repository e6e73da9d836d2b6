package disk

import "path/filepath"

// WriteFile replaces a file so that it is whole and synced once it has its name.
// It returns a FileError.
func WriteFile(path string, data []byte) error {
	return osFileOps().create(filepath.Dir(path), path, data)
}
