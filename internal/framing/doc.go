// Package framing checks what the HTTP/1.1 libraries take on trust: in a request, that its header leaves no doubt
// where the body ends; in an answer the same, the status, and the end of a body that has neither a length nor chunks,
// which only the end of its connection ends.
//
// A body of the latter kind is whole only if the connection ended cleanly in both directions. The kernel
// reports the error of a reset once, to whichever of read and write meets it first; if that is
// the write of a request, the read gets a clean end.
//
// # Usage
//
//	transport.DialContext = framing.Dial(dialer.DialContext)
//	...
//	ctx, upload := framing.Trace(ctx)
//	response, err := client.Do(request.WithContext(ctx))
//	...
//	if err := framing.CheckFinalStatus(response.StatusCode); err != nil {
//		return errors.Trace(err)
//	}
//	body, err := io.ReadAll(response.Body)
//	if err == nil {
//		err = upload.CheckBody(response)
//	}
//
//	length, err := framing.CheckRequest("HTTP/1.1", fields)
package framing
