package guavaview

import "guavaridge/io/guavaplatform"

// blockSize is the length in bytes of the blocks by which equal parts of two values are found. It is shorter than
// typical unchanged parts of a job's row or a configuration, and longer than the encoding of a reference to such a
// part.
const blockSize = 16

// Patch is a change to a row, encoded as the difference from its previous value: most changes alter only a few bytes.
type Patch struct {
	Key      string
	Revision uint64
	Removed  bool
	// Base is the revision of the previous value, 0 if the pieces are the complete value.
	Base uint64
	// Pieces are the parts of the new value, in order.
	Pieces []Piece
}

// Piece is a part of a value: literal bytes, followed by Length bytes of the previous value starting at From.
type Piece struct {
	Bytes        []byte
	From, Length int
}

// NewPatch returns the patch for a change from base. A base of revision 0 means that there is no previous value.
func NewPatch(base guavaplatform.Row, c guavaplatform.RowChange) Patch {
	p := Patch{Key: c.Key, Revision: c.Revision, Removed: c.Removed}
	if c.Removed {
		return p
	}
	if base.Revision == 0 {
		p.Pieces = []Piece{{Bytes: c.Value}}
		return p
	}
	p.Base, p.Pieces = base.Revision, diff(base.Value, c.Value)
	return p
}

// Apply decodes the patch against the previous value. It returns false if base has another revision or is too short.
func (p Patch) Apply(base guavaplatform.Row) (guavaplatform.RowChange, bool) {
	c := guavaplatform.RowChange{Row: guavaplatform.Row{Key: p.Key, Revision: p.Revision}, Removed: p.Removed}
	if p.Removed {
		return c, true
	}
	if p.Base != 0 && p.Base != base.Revision {
		return c, false
	}
	for _, piece := range p.Pieces {
		c.Value = append(c.Value, piece.Bytes...)
		if piece.From < 0 || piece.Length < 0 || piece.From > len(base.Value)-piece.Length {
			return c, false
		}
		c.Value = append(c.Value, base.Value[piece.From:piece.From+piece.Length]...)
	}
	return c, true
}

// diff returns the pieces of value as a difference from base.
func diff(base, value []byte) []Piece {
	blocks := make(map[string][]int, len(base)/blockSize)
	for i := 0; i+blockSize <= len(base); i += blockSize {
		block := string(base[i : i+blockSize])
		blocks[block] = append(blocks[block], i)
	}
	var pieces []Piece
	encoded, at := 0, 0 // numbers of bytes of value in pieces, and searched for matches
	for at+blockSize <= len(value) {
		begin, from, length := longestMatch(base, value, blocks[string(value[at:at+blockSize])], encoded, at)
		if length == 0 {
			at++
			continue
		}
		pieces = append(pieces, Piece{Bytes: value[encoded:begin], From: from, Length: length})
		encoded = begin + length
		at = encoded
	}
	if encoded < len(value) {
		pieces = append(pieces, Piece{Bytes: value[encoded:]})
	}
	return pieces
}

// longestMatch extends the block at value[at:], which also occurs at each of the offsets in base, to the longest common
// part of value and base. It returns the offsets of this part in value and base, and its length. The part begins at
// minimum or later.
func longestMatch(base, value []byte, offsets []int, minimum, at int) (begin, from, length int) {
	for _, offset := range offsets {
		before := 0
		for at-before > minimum && offset-before > 0 && value[at-before-1] == base[offset-before-1] {
			before++
		}
		after := blockSize
		for at+after < len(value) && offset+after < len(base) && value[at+after] == base[offset+after] {
			after++
		}
		if before+after > length {
			begin, from, length = at-before, offset-before, before+after
		}
	}
	return begin, from, length
}
