package endless

import (
	"context"
	"fmt"
	"runtime"
	"sync"
	"time"
)

const (
	// SmallestHeap is the heap in bytes that answers may use on the smallest machine, of 184 MB.
	SmallestHeap = 184 << 20 * 3 / 4
	// sampleInterval is the time between two readings of the heap.
	sampleInterval = 5 * time.Millisecond
	// closeTimeout bounds the wait for connections that a caller should have closed.
	closeTimeout = 5 * time.Second
)

// PeakHeap returns the most bytes of heap in use while a function runs.
func PeakHeap(run func()) uint64 {
	done := make(chan struct{})
	go func() {
		defer close(done)
		run()
	}()
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for peak := uint64(0); ; {
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		peak = max(peak, m.HeapInuse)
		select {
		case <-done:
			return peak
		case <-ticker.C:
		}
	}
}

// Calls makes a number of calls at once to a server with the answer, each with a time limit. It returns the most heap in use, and an error if a
// connection stays open after the calls.
func Calls(a Answer, count int, limit time.Duration, call func(ctx context.Context, address string)) (peak uint64, err error) {
	s, err := Start(a)
	if err != nil {
		return 0, err
	}
	defer s.Close()
	runtime.GC()
	peak = PeakHeap(func() {
		var calls sync.WaitGroup
		for range count {
			calls.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), limit)
				defer cancel()
				call(ctx, s.Address)
			})
		}
		calls.Wait()
	})
	for end := time.Now().Add(closeTimeout); s.Open() > 0; time.Sleep(sampleInterval) {
		if time.Now().After(end) {
			return peak, fmt.Errorf("%d connections are still open", s.Open())
		}
	}
	return peak, nil
}
