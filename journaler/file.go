package journaler

import (
	"errors"
	"os"
	"path/filepath"
)

// WriteFile stores the content durably under the path, in the format of a journal that holds only a snapshot. After a
// crash, the file is the former or the new one. The path must not be that of a file in the folder of a journal. Calls
// for the same path must not overlap.
func WriteFile(path string, content []byte) error {
	if len(content) > maxSnapshot {
		return &TooLargeError{
			Size: len(content),
			Max:  maxSnapshot,
		}
	}
	file, err := replaceFile(Config{}.withDefaults(), path+".new", path, fileHeader(content, true))
	if err != nil {
		return err
	}
	return file.Close()
}

// ReadFile returns the content that WriteFile has stored under the path. The error is a *CorruptionError if the file
// differs from what was written.
func ReadFile(path string) ([]byte, error) {
	data, err := os.ReadFile(filepath.Clean(path))
	if err != nil {
		return nil, err
	}
	recovery, end, err := scan(path, data)
	switch {
	case err != nil:
		return nil, err
	case recovery.Snapshot == nil || len(recovery.Records) > 0 || recovery.TornBytes > 0:
		return nil, &CorruptionError{
			Path:   path,
			Offset: end,
			Reason: "the file does not hold exactly one snapshot",
		}
	}
	return recovery.Snapshot, nil
}

// replaceFile replaces the file under the path by one with the data, which it first writes to newPath. The rename is
// atomic: a crash leaves either the old file or the complete new one. The file is open for appending.
func replaceFile(cfg Config, newPath, path string, data []byte) (*os.File, error) {
	file, err := os.OpenFile(filepath.Clean(newPath), os.O_WRONLY|os.O_CREATE|os.O_TRUNC|os.O_APPEND, filePerm)
	if err != nil {
		return nil, err
	}
	err = writeAll(cfg, file, data)
	if err == nil {
		err = cfg.Sync(file)
	}
	if err == nil {
		err = os.Rename(newPath, path)
	}
	// Without this sync, the old file may be back after a loss of power.
	if err == nil {
		err = syncFolder(cfg, filepath.Dir(path))
	}
	if err != nil {
		return nil, errors.Join(err, file.Close())
	}
	return file, nil
}

func syncFolder(cfg Config, dir string) error {
	folder, err := os.Open(filepath.Clean(dir))
	if err != nil {
		return err
	}
	defer func() { _ = folder.Close() }()
	return cfg.Sync(folder)
}
