package processes

import "time"

// Stop sends SIGTERM to all processes, waits for them for at most timeout in total, and then kills those that still run.
// It returns the names of those that it killed.
func Stop(group []*Process, timeout time.Duration) []string {
	for _, process := range group {
		process.terminate()
	}
	deadline := time.NewTimer(timeout)
	defer deadline.Stop()
	for _, process := range group {
		select {
		case <-process.ended:
		case <-deadline.C:
			return killRunning(group)
		}
	}
	return nil
}

func killRunning(group []*Process) []string {
	var killed []string
	for _, process := range group {
		if process.Running() {
			process.Kill()
			killed = append(killed, process.Name())
		}
	}
	return killed
}
