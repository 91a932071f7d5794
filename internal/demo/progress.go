package demo

import (
	"fmt"
	"io"
	"sync"
	"time"

	"samphireweir.example/samphireweir/internal/demo/ledger"
	"samphireweir.example/samphireweir/internal/demo/load"
)

// progress prints the state of a run once a second.
type progress struct {
	out         io.Writer
	startedAt   time.Time
	mutex       sync.Mutex
	phase       string
	servingText string // how many hosts serve the version; empty outside a spread
	book        *ledger.Book
	generator   *load.Generator // nil until requests are sent
	stopped     chan struct{}
	ended       sync.WaitGroup
}

func startProgress(out io.Writer, book *ledger.Book) *progress {
	p := &progress{out: out, startedAt: time.Now(), book: book, stopped: make(chan struct{})}
	p.ended.Go(p.printLoop)
	return p
}

func (p *progress) printLoop() {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-p.stopped:
			return
		case <-ticker.C:
			_, _ = fmt.Fprintln(p.out, p.line())
		}
	}
}

func (p *progress) line() string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	tally := p.book.Tally()
	line := fmt.Sprintf("%4.0fs %s%s", time.Since(p.startedAt).Seconds(), p.phase, p.servingText)
	if p.generator == nil {
		return line
	}
	return line + fmt.Sprintf("; requests %d: complete %d, refused %d, lost %d, garbled %d, in flight %d",
		tally.Sent, tally.Complete, tally.Refused, tally.Lost, tally.Incorrect, p.generator.InFlight())
}

func (p *progress) setPhase(name string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.phase = name
	p.servingText = ""
}

func (p *progress) setServing(serving, live int) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.servingText = fmt.Sprintf(", %d of %d serve", serving, live)
}

func (p *progress) setGenerator(generator *load.Generator) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.generator = generator
}

func (p *progress) stop() {
	close(p.stopped)
	p.ended.Wait()
}
