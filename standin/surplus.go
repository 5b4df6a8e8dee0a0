// Copyright 2026 The Yardhall Authors. Licensed under the Apache License, Version 2.0.

package standin

// surplusResponses are what a worker sends where its next answer is due, after a sound answer. None bears the
// id of a request.
func (w *Worker) surplusResponses() map[WorkerFault]string {
	const full, empty = "503 Service Unavailable", "Content-Length: 0\r\n\r\n"
	return map[WorkerFault]string{
		SurplusFull:        w.declined(full, ""),
		SurplusLimited:     w.declined("429 Too Many Requests", ""),
		SurplusTimeout:     w.declined("408 Request Timeout", ""),
		SurplusInvalid:     w.declined("400 Bad Request", ""),
		SurplusMisdirected: "HTTP/1.1 421 Misdirected Request\r\n" + w.names.Instance + ": another\r\n" + empty,
		SurplusEmptyID:     w.declined(full, w.names.RequestID+": \r\n"),
		SurplusInterim:     "HTTP/1.1 103 Early Hints\r\n\r\n" + w.declined(full, ""),
		SurplusLeaving:     w.declined(full, w.names.Leaving+": 1\r\n"),
		SurplusUnsigned:    "HTTP/1.1 200 OK\r\n" + empty,
	}
}
