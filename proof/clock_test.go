package proof_test

import (
	"testing"

	"guavaridge/internal/guavaclock"
)

func TestMain(m *testing.M) {
	guavaclock.Start()
	m.Run()
}
