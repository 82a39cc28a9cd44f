package capacity

import (
	"fmt"
	"io"
	"time"
)

// writeProgress reports one finished group.
func writeProgress(w io.Writer, name string, took time.Duration) {
	fmt.Fprintf(w, "measured %s in %s\n", name, took.Round(time.Millisecond))
}
