package guavabatch

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"hash"
	"io"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"guavaridge/core/guavajob"
	"guavaridge/io/guavaplatform"
)

// purposeBatch is the required purpose of an input file.
const purposeBatch = "batch"

// File is the row of an uploaded file.
type File struct {
	ID      string `json:"id"`
	Account string `json:"account"`
	Name    string `json:"name"`
	Purpose string `json:"purpose"`
	Bytes   int64  `json:"bytes"`
	// Content is the SHA-256 of the content in hexadecimal.
	Content string `json:"content"`
	// Created is in milliseconds since 1970.
	Created   int64  `json:"created"`
	Operation string `json:"operation"`
}

// hashingReader counts and hashes the bytes read through it.
type hashingReader struct {
	r     io.Reader
	hash  hash.Hash
	bytes int64
}

func (m *hashingReader) Read(p []byte) (int, error) {
	n, err := m.r.Read(p)
	m.bytes += int64(n)
	_, _ = m.hash.Write(p[:n]) // never fails
	return n, err
}

// Upload implements Jobs.
func (s *Service) Upload(ctx context.Context, account, name, purpose string, r io.Reader) (File, error) {
	return s.upload(ctx, account, name, func() string { return purpose }, r)
}

// upload stores a file. purpose is called after the content was read, as that field may follow the content in a form.
func (s *Service) upload(ctx context.Context, account, name string, purpose func() string, r io.Reader) (File, error) {
	f := File{ID: newID("file-"), Account: account, Name: name, Created: time.Now().UnixMilli(), Operation: newID("")}
	m := &hashingReader{r: r, hash: sha256.New()}
	if err := s.store.objects.Put(ctx, fileKey(f.ID), m); err != nil {
		return f, errors.Newf("store file: %w", err)
	}
	f.Bytes, f.Content, f.Purpose = m.bytes, hex.EncodeToString(m.hash.Sum(nil)), purpose()
	if f.Purpose != purposeBatch || f.Bytes == 0 {
		_ = s.store.objects.Delete(ctx, fileKey(f.ID)) // an orphaned object only takes up space
		return f, errors.Newf("the file is empty or its purpose is not %q: %w", purposeBatch, ErrInvalid)
	}
	err := s.store.commit(ctx,
		[]guavaplatform.Check{{Key: fileKey(f.ID)}},
		[]guavaplatform.Write{
			{Key: fileKey(f.ID), Value: marshal(f)},
			{Key: listKey("files", account, f.Created, f.ID), Value: marshal(f.ID)},
		}, fileKey(f.ID), f.Operation)
	if err != nil {
		return f, errors.Newf("store file: %w", err)
	}
	return f, nil
}

// file returns a file of an account.
func (s *Service) file(ctx context.Context, account, id string) (File, error) {
	f, _, err := read[File](ctx, s.store.table, fileKey(id))
	if errors.Is(err, guavaplatform.ErrAbsent) || (err == nil && account != "" && f.Account != account) {
		return File{}, errors.Newf("file %s: %w", id, ErrAbsent)
	}
	return f, err
}

// files lists the files of an account, newest first.
func (s *Service) files(ctx context.Context, account, after string, limit int) ([]File, bool, error) {
	from := listPrefix("files", account)
	if after != "" {
		f, err := s.file(ctx, account, after)
		if err != nil {
			return nil, false, err
		}
		from = listKey("files", account, f.Created, f.ID)
	}
	rows, err := s.store.table.Scan(ctx, listPrefix("files", account), from, limit+1)
	if err != nil {
		return nil, false, errors.Newf("list files: %w", err)
	}
	list := make([]File, 0, len(rows))
	for _, r := range rows[:min(len(rows), limit)] {
		f, err := s.file(ctx, account, r.Key[strings.LastIndexByte(r.Key, '/')+1:])
		if errors.Is(err, ErrAbsent) {
			continue // deleted between the reads
		} else if err != nil {
			return nil, false, err
		}
		list = append(list, f)
	}
	return list, len(rows) > limit, nil
}

// remove deletes a file. Accepted jobs have their own copy of the items.
func (s *Service) remove(ctx context.Context, account, id string) error {
	f, err := s.file(ctx, account, id)
	if err != nil {
		return err
	}
	// A deletion is idempotent, so the caller retries after an unknown outcome.
	err = s.store.table.Commit(ctx, nil, []guavaplatform.Write{
		{Key: fileKey(id), Delete: true},
		{Key: listKey("files", f.Account, f.Created, id), Delete: true},
	})
	if err != nil {
		return errors.Newf("delete file: %w", err)
	}
	if err := s.store.objects.Delete(ctx, fileKey(id)); err != nil && !errors.Is(err, guavaplatform.ErrAbsent) {
		return errors.Newf("delete content: %w", err)
	}
	return nil
}

// ResultKind selects result lines or error lines.
type ResultKind string

// Kinds of result lines.
const (
	ResultLines ResultKind = "results"
	ErrorLines  ResultKind = "errors"
)

// resultFile returns the job and kind of a result file from its identifier.
func resultFile(id string) (job string, kind ResultKind, ok bool) {
	rest, ok := strings.CutPrefix(id, "file-batch_")
	if !ok {
		return "", "", false
	}
	for _, k := range []ResultKind{ResultLines, ErrorLines} {
		if job, ok := strings.CutSuffix(rest, "-"+string(k)); ok {
			return "batch_" + job, k, true
		}
	}
	return "", "", false
}

// ResultFile returns the identifier of a job's result file of the given kind.
func ResultFile(j guavajob.Job, kind ResultKind) string { return "file-" + j.ID + "-" + string(kind) }
