package controller

import (
	"encoding/json"
	"net/http"

	"madderslip/internal/protocol"
	"madderslip/internal/transport"
)

// shortRetry is the number of seconds after which a client may retry a request that this
// controller can serve a moment later, or another controller now.
const shortRetry = 1

// Responses whose body never changes.
var (
	jobNotFound = errorResponse(http.StatusNotFound, "no such job")
	misdirected = transport.Response{Status: http.StatusMisdirectedRequest, Body: []byte("{}")}
)

// errorResponse returns a response whose body holds an error message.
func errorResponse(status int, message string) transport.Response {
	body, _ := json.Marshal(map[string]string{"error": message}) // strings always encode
	return transport.Response{Status: status, Body: body}
}

// badRequest returns the response to a request that is not valid.
func badRequest(err error) transport.Response {
	return errorResponse(http.StatusBadRequest, err.Error())
}

// jobResponse returns a response with a job's status.
func jobResponse(status int, answer protocol.JobStatus) transport.Response {
	body, _ := protocol.Encode(answer) // a status always encodes
	return transport.Response{Status: status, Body: body}
}

// redirectTo returns a response that sends an agent to another controller.
func redirectTo(node string) transport.Response {
	body, _ := json.Marshal(protocol.Redirect{Node: node}) // strings always encode
	return transport.Response{Status: http.StatusMisdirectedRequest, Body: body}
}

// unavailable returns a response that refuses a request and lets the client retry after a
// number of seconds.
func unavailable(retryAfter int) transport.Response {
	response := errorResponse(http.StatusServiceUnavailable, "not now")
	response.RetryAfter = retryAfter
	return response
}
