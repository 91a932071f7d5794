package agent

import "samphireweir.example/samphireweir/internal/code"

// withPanicRecovery calls call, which executes one run. A panic fails this run only; whether the request was executed
// is then unknown.
func (a *Agent) withPanicRecovery(call func() *failure) (f *failure) {
	defer func() {
		if cause := recover(); cause != nil {
			a.ReportPanic("run", cause)
			f = &failure{code: code.InternalFault, ran: code.Unknown}
		}
	}()
	return call()
}
