package guavaoperator

import (
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"

	"guavaridge/core/guavaconfig"
)

// LoadDirectory reads and merges the declarations in all *.json files of a directory, without subdirectories.
func LoadDirectory(dir string) (guavaconfig.Declarations, error) {
	names, err := filepath.Glob(filepath.Join(dir, "*.json"))
	if err != nil {
		return guavaconfig.Declarations{}, errors.Newf("list declarations: %w", err)
	}
	if len(names) == 0 {
		return guavaconfig.Declarations{}, errors.Newf("no *.json files in %s", dir)
	}
	files := make(map[string][]byte, len(names))
	for _, n := range names {
		if files[filepath.Base(n)], err = os.ReadFile(n); err != nil {
			return guavaconfig.Declarations{}, errors.Newf("read declarations: %w", err)
		}
	}
	return guavaconfig.Merge(files)
}

// CheckFile validates the declarations in a file or in the *.json files of a directory, without a VM. The error lists
// every invalid value with its path.
func CheckFile(path string) error {
	info, err := os.Stat(path)
	if err != nil {
		return errors.Newf("check: %w", err)
	}
	var d guavaconfig.Declarations
	if info.IsDir() {
		d, err = LoadDirectory(path)
	} else {
		var data []byte
		if data, err = os.ReadFile(path); err == nil {
			d, err = guavaconfig.Decode(data)
		}
	}
	if err == nil {
		err = guavaconfig.Validate(d)
	}
	var invalid guavaconfig.ValidationErrors
	switch {
	case err == nil:
		return nil
	case errors.As(err, &invalid):
		return invalid.WithFile(path)
	}
	return errors.Newf("%s: %w", path, err)
}
