package pipeline

// Bounds on what is held for one connection. A client sends a few requests
// behind one another, and answers are some kilobytes long.
const (
	// maxInFlight bounds the requests of a connection that are not yet answered.
	maxInFlight = 16
	// maxHeldBytes bounds the bodies and answers that are held for them, as far as
	// the lengths of answers can be foreseen: by the longest one so far, and by
	// firstAnswerBytes before any. One request is always taken.
	maxHeldBytes     = 1 << 20
	firstAnswerBytes = maxHeldBytes / maxInFlight
)

// window counts what is held for one connection. It is not safe for concurrent use.
type window struct {
	running int   // requests whose answer is not made yet
	ready   int   // answers that wait for their turn or are being written
	held    int64 // bytes of bodies and of answers that are made
	longest int64 // the longest answer so far
}

func newWindow() window { return window{longest: firstAnswerBytes} }

// inFlight is how many requests are not yet answered.
func (w *window) inFlight() int { return w.running + w.ready }

// isEmpty says whether every request is answered.
func (w *window) isEmpty() bool { return w.inFlight() == 0 }

// hasRoom says whether another request may be taken.
func (w *window) hasRoom() bool {
	if w.isEmpty() {
		return true
	}
	expected := w.held + int64(w.running+1)*w.longest
	return w.inFlight() < maxInFlight && expected <= maxHeldBytes
}

// take counts a request with a body of so many bytes.
func (w *window) take(body int64) {
	w.running++
	w.held += body
}

// made counts an answer of so many bytes.
func (w *window) made(answer int64) {
	w.running--
	w.ready++
	w.held += answer
	w.longest = max(w.longest, answer)
}

// written forgets a request that is over, with its body and its answer.
func (w *window) written(body, answer int64) {
	w.ready--
	w.held -= body + answer
}
