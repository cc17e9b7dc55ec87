package guavabatch

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"golang.org/x/sync/errgroup"

	"guavaridge/core/guavajob"
)

const (
	// chunkItems and chunkBytes are the maximum size of a chunk. The limit in bytes bounds the memory of an owner.
	chunkItems = 500
	chunkBytes = 4 << 20
	// MaxLines is the maximum number of lines of an input file.
	MaxLines = 590_000
	// MaxLineBytes is the maximum length of a line.
	MaxLineBytes = 1 << 20
	// splitWrites is the maximum number of concurrent writes of chunks to the object store.
	splitWrites = 4
	// maxRowInvalidLines is the maximum number of invalid lines stored in the job's row.
	maxRowInvalidLines = 100
	// byteOrderMark is the mark that some editors write at the start of a UTF-8 file.
	byteOrderMark = "\ufeff"
)

// splitResult is the result of reading an input file.
type splitResult struct {
	models       []string
	chunkModels  strings.Builder
	items        int
	invalid      []guavajob.InvalidLine
	invalidCount int
}

// splitter splits an input file into chunks of one model each.
type splitter struct {
	store     store
	job       string
	path      string
	known     func(model string) bool
	out       splitResult
	open      map[string]*bytes.Buffer
	count     map[string]int
	customIDs customIDs
	group     *errgroup.Group
	ctx       context.Context
	invalid   *json.Encoder
}

// splitFile reads lines from r and writes chunks and the list of invalid lines. Memory is bounded by one open
// chunk per model, the chunks being written and one line.
func splitFile(ctx context.Context, s store, job, path string, known func(string) bool, r io.Reader) (*splitResult, error) {
	group, gctx := errgroup.WithContext(ctx)
	group.SetLimit(splitWrites + 1)
	pr, pw := io.Pipe()
	p := &splitter{
		store: s, job: job, path: path, known: known, group: group, ctx: gctx, invalid: json.NewEncoder(pw),
		open: make(map[string]*bytes.Buffer), count: make(map[string]int),
	}
	group.Go(func() error {
		err := s.objects.Put(gctx, invalidLinesKey(job), pr)
		pr.CloseWithError(errors.New("writer of invalid lines ended"))
		if err != nil {
			return errors.Newf("put invalid lines: %w", err)
		}
		return nil
	})
	err := p.run(r)
	pw.CloseWithError(err)
	if werr := group.Wait(); werr != nil {
		return nil, werr
	}
	if err != nil {
		return nil, err
	}
	return &p.out, nil
}

func (p *splitter) run(r io.Reader) error {
	in := bufio.NewReaderSize(r, 64<<10)
	if mark, err := in.Peek(len(byteOrderMark)); err == nil && string(mark) == byteOrderMark {
		if _, err := in.Discard(len(mark)); err != nil {
			return errors.Newf("read byte order mark: %w", err)
		}
	}
	for number := 1; ; number++ {
		line, long, err := readLine(in)
		if err != nil && !errors.Is(err, io.EOF) {
			return errors.Newf("read line %d: %w", number, err)
		}
		end := err != nil
		if text := bytes.TrimSpace(line); len(text) > 0 || long {
			if err := p.line(number, text, long); err != nil {
				return err
			}
		}
		if end {
			break
		}
	}
	for _, m := range p.out.models {
		p.flush(m)
	}
	if err := p.customIDs.findDuplicate(); err != nil {
		return err
	}
	return p.ctx.Err()
}

// line adds one line to the chunk of its model, or to the invalid lines.
func (p *splitter) line(number int, text []byte, long bool) error {
	if err := p.ctx.Err(); err != nil {
		return errors.Newf("split file: %w", err)
	}
	var e guavajob.InputItem
	var invalid *guavajob.InvalidLine
	switch {
	case p.out.items+p.out.invalidCount >= MaxLines:
		return errors.Newf("line %d: %w", number, errTooManyLines)
	case long:
		invalid = &guavajob.InvalidLine{Line: number, Code: guavajob.CodeTooLong, Reason: "line is longer than 1 MiB"}
	default:
		e, invalid = guavajob.ParseLine(number, text, p.path, p.known)
	}
	if invalid == nil && p.open[e.Model] == nil && len(p.open) == guavajob.MaxModels {
		invalid = &guavajob.InvalidLine{Line: number, ID: e.ID, Code: guavajob.CodeModel, Reason: "too many models in one job"}
	}
	if invalid != nil {
		p.out.invalidCount++
		if len(p.out.invalid) < maxRowInvalidLines {
			p.out.invalid = append(p.out.invalid, *invalid)
		}
		if err := p.invalid.Encode(invalid); err != nil {
			return errors.Newf("write invalid line: %w", err)
		}
		return nil
	}
	b := p.open[e.Model]
	if b == nil {
		b = new(bytes.Buffer)
		p.open[e.Model] = b
		p.out.models = append(p.out.models, e.Model)
	}
	p.customIDs.add(number, e.ID)
	data := marshal(e)
	if p.count[e.Model] == chunkItems || (b.Len() > 0 && b.Len()+len(data) > chunkBytes) {
		p.flush(e.Model)
		b = p.open[e.Model]
	}
	b.Write(data)
	b.WriteByte('\n')
	p.count[e.Model]++
	p.out.items++
	return nil
}

// flush writes the open chunk of a model.
func (p *splitter) flush(model string) {
	b := p.open[model]
	if b.Len() == 0 {
		return
	}
	n := p.out.chunkModels.Len()
	for i, m := range p.out.models {
		if m == model {
			p.out.chunkModels.WriteByte(byte('a' + i))
		}
	}
	p.open[model], p.count[model] = new(bytes.Buffer), 0
	p.group.Go(func() error { return p.store.put(p.ctx, itemsKey(p.job, n), b.Bytes()) })
}

// errTooManyLines means that the file has more than MaxLines lines.
var errTooManyLines = errors.Newf("the file has more than %d lines", MaxLines)

// readLine reads one line including its line feed. A line longer than MaxLineBytes is skipped and reported as long.
func readLine(r *bufio.Reader) (line []byte, long bool, err error) {
	for {
		part, err := r.ReadSlice('\n')
		if !long {
			if len(line)+len(part) > MaxLineBytes {
				line, long = nil, true
			} else {
				line = append(line, part...)
			}
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return line, long, err
		}
	}
}

// items reads the items of a chunk.
func (s store) items(ctx context.Context, job string, n int) ([]guavajob.InputItem, error) {
	r, err := s.get(ctx, itemsKey(job, n))
	if err != nil {
		return nil, err
	}
	defer r.Close()
	d := json.NewDecoder(r)
	entries := make([]guavajob.InputItem, 0, chunkItems)
	for {
		var e guavajob.InputItem
		if err := d.Decode(&e); errors.Is(err, io.EOF) {
			return entries, nil
		} else if err != nil {
			return nil, errors.Newf("decode items of chunk %d: %w", n, err)
		}
		entries = append(entries, e)
	}
}
