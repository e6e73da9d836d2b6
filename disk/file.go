package disk

import "path/filepath"

// WriteFile replaces a file atomically: it writes and syncs a temporary file, renames
// it and syncs the folder. Its error is a FileError.
func WriteFile(path string, data []byte) error {
	return osFileOps().create(filepath.Dir(path), path, data)
}
