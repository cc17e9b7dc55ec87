package guavabatch

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
)

// customIDs holds a hash of the custom_id of each line of an input file, to find duplicates. It takes 16 bytes per
// line, 9 MB for MaxLines.
type customIDs []customID

type customID struct {
	hash uint64
	line int32
}

// errDuplicate means that two lines of a file have the same custom_id, which makes their results indistinguishable.
var errDuplicate = errors.New("custom_id is used twice")

func (list *customIDs) add(line int, id string) {
	*list = append(*list, customID{hash: xxhash.Sum64String(id), line: int32(line)}) //nolint:gosec // at most MaxLines
}

// findDuplicate returns an error that names the first line whose custom_id also occurs on an earlier line. Identifiers
// are compared by their 64-bit hash; the probability of a collision in the largest file is 1e-8.
func (list customIDs) findDuplicate() error {
	slices.SortFunc(list, func(a, b customID) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.line, b.line))
	})
	var first, second int32
	for i := 1; i < len(list); i++ {
		if list[i].hash == list[i-1].hash && (second == 0 || list[i].line < second) {
			first, second = list[i-1].line, list[i].line
		}
	}
	if second > 0 {
		return errors.Newf("lines %d and %d: %w", first, second, errDuplicate)
	}
	return nil
}
