package experiment_test

import (
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"samphireweir.example/samphireweir/internal/experiment"
)

// BenchmarkRequest sends one request after the other through an entry and an agent to a plain service, all in this process. The result covers the
// whole path, including the caller and the service.
func BenchmarkRequest(b *testing.B) {
	f, err := experiment.Start(experiment.Config{Entries: 1, Agents: 1, EnginesPerAgent: 1, Grace: time.Second})
	if err != nil {
		b.Fatal(err)
	}
	defer f.Close()
	url := fmt.Sprintf("http://%s/%s/%s/status", f.Entries[0].CallersAddress(), experiment.Team, experiment.PlainService)
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	b.ReportAllocs()
	b.ResetTimer()
	for b.Loop() {
		resp, err := client.Get(url)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			b.Fatal(err)
		}
		_ = resp.Body.Close()
	}
}
