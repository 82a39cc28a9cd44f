package logs

// Discard drops what an HTTP library logs of single connections. It implements the library's
// Logger.
type Discard struct{}

// Printf implements fasthttp.Logger.
func (Discard) Printf(string, ...any) {}
