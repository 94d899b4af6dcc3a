package disk

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
)

// Folder holds the file operations that the store needs. Tests replace it to inject write errors.
type Folder interface {
	// List returns the names of the files in ascending order.
	List() ([]string, error)
	// Read returns a whole file.
	Read(name string) ([]byte, error)
	// Append opens a file for appending and creates it if it does not exist.
	Append(name string) (File, error)
	// Replace writes a whole file atomically: after a crash it has either the old or the new content.
	Replace(name string, data []byte) error
	// Truncate shortens a file to the given size and syncs it.
	Truncate(name string, size int64) error
	// Remove deletes a file. The file may come back after a loss of power until the next Sync.
	Remove(name string) error
	// Sync makes removals durable.
	Sync() error
}

// File is a file that is open for appending.
type File interface {
	Write(p []byte) (int, error)
	Sync() error
	Close() error
}

const (
	folderMode = 0o750
	fileMode   = 0o640
)

// osFolder is a Folder on the file system at the given path.
type osFolder string

// OpenFolder returns the folder at path and creates it if it does not exist.
func OpenFolder(path string) (Folder, error) {
	if err := os.MkdirAll(path, folderMode); err != nil {
		return nil, fmt.Errorf("create data folder: %w", err)
	}
	return osFolder(path), nil
}

func (f osFolder) path(name string) string {
	return filepath.Join(string(f), name)
}

func (f osFolder) List() ([]string, error) {
	entries, err := os.ReadDir(string(f))
	if err != nil {
		return nil, fmt.Errorf("list data folder: %w", err)
	}
	var names []string
	for _, e := range entries {
		if !e.IsDir() {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

func (f osFolder) Read(name string) ([]byte, error) {
	data, err := os.ReadFile(f.path(name))
	if err != nil {
		return nil, fmt.Errorf("read %s: %w", name, err)
	}
	return data, nil
}

func (f osFolder) Append(name string) (File, error) {
	_, statErr := os.Stat(f.path(name))
	file, err := os.OpenFile(f.path(name), os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, fmt.Errorf("open %s: %w", name, err)
	}
	if errors.Is(statErr, os.ErrNotExist) {
		if err := f.Sync(); err != nil {
			return nil, errors.Join(err, file.Close())
		}
	}
	return file, nil
}

func (f osFolder) Replace(name string, data []byte) error {
	temporary := f.path(name + ".tmp")
	if err := writeSynced(temporary, data); err != nil {
		return fmt.Errorf("write %s: %w", name, err)
	}
	if err := os.Rename(temporary, f.path(name)); err != nil {
		return fmt.Errorf("rename %s: %w", name, err)
	}
	return f.Sync()
}

// writeSynced writes a file and syncs it before it is closed.
func writeSynced(path string, data []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_TRUNC, fileMode)
	if err != nil {
		return err
	}
	_, err = file.Write(data)
	if err == nil {
		err = file.Sync()
	}
	return errors.Join(err, file.Close())
}

func (f osFolder) Truncate(name string, size int64) error {
	file, err := os.OpenFile(f.path(name), os.O_WRONLY, fileMode)
	if err != nil {
		return fmt.Errorf("open %s: %w", name, err)
	}
	err = file.Truncate(size)
	if err == nil {
		err = file.Sync()
	}
	if err = errors.Join(err, file.Close()); err != nil {
		return fmt.Errorf("truncate %s: %w", name, err)
	}
	return nil
}

func (f osFolder) Remove(name string) error {
	if err := os.Remove(f.path(name)); err != nil {
		return fmt.Errorf("remove %s: %w", name, err)
	}
	return nil
}

// Sync syncs the folder itself, so that created, renamed and removed names survive a crash.
func (f osFolder) Sync() error {
	d, err := os.Open(string(f))
	if err != nil {
		return fmt.Errorf("open data folder: %w", err)
	}
	if err := errors.Join(d.Sync(), d.Close()); err != nil {
		return fmt.Errorf("sync data folder: %w", err)
	}
	return nil
}
