package agent

import "io"

// nonReplayableBody hides from net/http that a body is empty, so that net/http does not retry the request.
type nonReplayableBody struct{ io.ReadCloser }

// nonReplayable wraps the body of a request to an upstream. net/http retries a request without a body by itself if it
// has an Idempotency-Key header and its connection breaks, although the upstream may have executed it. Only the core
// decides whether a request is retried.
func nonReplayable(body io.ReadCloser) io.ReadCloser { return nonReplayableBody{body} }
