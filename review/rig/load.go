package main

import (
	"sync"
	"time"
)

// sentRequest is a request and the daemon that it was sent to.
type sentRequest struct {
	daemon *daemon
	answer *answer
}

// load sends requests to the daemons in turn until it is stopped.
type load struct {
	fleet *fleet
	stop  chan struct{}
	wg    sync.WaitGroup
	mu    sync.Mutex
	all   []sentRequest
}

func (f *fleet) startLoad(every time.Duration, q request) *load {
	l := &load{fleet: f, stop: make(chan struct{})}
	l.wg.Add(1)
	go func() {
		defer l.wg.Done()
		t := time.NewTicker(every)
		defer t.Stop()
		for i := 0; ; i++ {
			select {
			case <-l.stop:
				return
			case <-t.C:
			}
			d := f.daemons[i%len(f.daemons)]
			l.wg.Add(1)
			go func() {
				defer l.wg.Done()
				a := f.send(d, q)
				l.mu.Lock()
				defer l.mu.Unlock()
				l.all = append(l.all, sentRequest{d, a})
			}()
		}
	}()
	return l
}

// end stops the load and returns what was sent.
func (l *load) end() []sentRequest {
	close(l.stop)
	l.wg.Wait()
	return l.all
}
