// Command mutate applies mutations to a copy of the source tree, one at a time, and shows whether the fault matrix
// detects each of them.
//
//	go run ./bench/mutate
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
)

// mutation replaces the line old of a source file by the faulty line new. cells is the -run pattern of the matrix cells
// that have to detect it.
type mutation struct {
	name, file, old, new, cells string
}

const linesPerMutation = 5

func main() {
	list := flag.String("list", "proof/mutations.txt", "file with the mutations")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	missed, err := run(ctx, *list)
	if err != nil {
		fmt.Fprintln(os.Stderr, "mutate:", err)
		os.Exit(1)
	}
	if missed > 0 {
		fmt.Printf("%d mutations were not noticed\n", missed)
		os.Exit(1)
	}
}

func run(ctx context.Context, list string) (missed int, err error) {
	mutations, err := read(list)
	if err != nil {
		return 0, err
	}
	dir, err := os.MkdirTemp("", "mutate")
	if err != nil {
		return 0, fmt.Errorf("create directory: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	if err := os.CopyFS(dir, os.DirFS(".")); err != nil {
		return 0, fmt.Errorf("copy source tree: %w", err)
	}
	for _, m := range mutations {
		detectedBy, err := m.test(ctx, dir)
		if err != nil {
			return missed, fmt.Errorf("%s: %w", m.name, err)
		}
		if detectedBy == "" {
			missed++
			detectedBy = "NOT NOTICED"
		}
		fmt.Printf("%-44s %s\n", m.name, detectedBy)
	}
	return missed, nil
}

// read parses blocks of linesPerMutation lines, separated by empty lines. A block that begins with # is a comment.
func read(list string) ([]mutation, error) {
	data, err := os.ReadFile(list)
	if err != nil {
		return nil, fmt.Errorf("read mutations: %w", err)
	}
	var mutations []mutation
	for block := range strings.SplitSeq(string(data), "\n\n") {
		block = strings.Trim(block, "\n")
		if block == "" || strings.HasPrefix(block, "#") {
			continue
		}
		lines := strings.Split(block, "\n")
		if len(lines) != linesPerMutation {
			return nil, fmt.Errorf("block %q has %d lines, want %d", lines[0], len(lines), linesPerMutation)
		}
		mutations = append(mutations, mutation{name: lines[0], file: lines[1], old: lines[2], new: lines[3], cells: lines[4]})
	}
	return mutations, nil
}

// test applies the mutation in dir, runs its cells at every step, and restores the file. It returns the message of the
// first failed check, or "" if no check failed.
func (m mutation) test(ctx context.Context, dir string) (failedCheck string, err error) {
	path := filepath.Join(dir, m.file)
	data, err := os.ReadFile(path)
	if err != nil {
		return "", fmt.Errorf("read source file: %w", err)
	}
	if strings.Count(string(data), m.old+"\n") != 1 {
		return "", fmt.Errorf("%s does not hold the line %q exactly once", m.file, m.old)
	}
	mutated := strings.Replace(string(data), m.old+"\n", m.new+"\n", 1)
	if err := os.WriteFile(path, []byte(mutated), 0o600); err != nil {
		return "", fmt.Errorf("write mutated file: %w", err)
	}
	c := exec.CommandContext(ctx, "go", "test", "-vet=off", "-count=1", "-run", m.cells, "./proof", "-full")
	c.Dir = dir
	out, testErr := c.CombinedOutput()
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return "", fmt.Errorf("restore source file: %w", err)
	}
	if testErr == nil {
		return "", nil
	}
	for line := range strings.SplitSeq(string(out), "\n") {
		if _, check, ok := strings.Cut(line, "_test.go:"); ok {
			return check, nil
		}
	}
	return "", fmt.Errorf("go test failed, but no check failed:\n%s", out)
}
