package capacity

import (
	"fmt"
	"io"
	"time"
)

// writeProgress writes one step's line.
func writeProgress(w io.Writer, name string, took time.Duration) {
	fmt.Fprintf(w, "measured %s in %s\n", name, took.Round(time.Millisecond))
}
