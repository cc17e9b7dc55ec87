package guavabatch

import (
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/mattn/go-isatty"
)

const (
	// barWidth is the width of the bar in characters.
	barWidth = 40
	// lineInterval is the minimum interval between lines when the output is not a terminal.
	lineInterval = 10 * time.Second
)

// progressMeter shows the progress of a job: as a bar on a terminal, as lines elsewhere.
type progressMeter struct {
	w        io.Writer
	terminal bool
	printed  time.Time
	last     string
}

func newProgressMeter(w io.Writer) *progressMeter {
	f, ok := w.(*os.File)
	return &progressMeter{w: w, terminal: ok && isatty.IsTerminal(f.Fd())}
}

// show prints the status of a job; final is set in the last call.
func (m *progressMeter) show(b batchObject, final bool) {
	finished := b.Counts.Completed + b.Counts.Failed
	text := fmt.Sprintf("%s %d/%d, %d failed", b.Status, finished, b.Counts.Total, b.Counts.Failed)
	if m.terminal {
		full := barWidth
		if b.Counts.Total > 0 {
			full = barWidth * finished / b.Counts.Total
		}
		fmt.Fprintf(m.w, "\r\x1b[K[%s%s] %s", strings.Repeat("#", full), strings.Repeat(".", barWidth-full), text)
		if final {
			fmt.Fprintln(m.w)
		}
		return
	}
	if final || (text != m.last && time.Since(m.printed) >= lineInterval) {
		fmt.Fprintln(m.w, text)
		m.printed, m.last = time.Now(), text
	}
}
