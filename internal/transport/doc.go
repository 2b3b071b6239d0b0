// Package transport moves bytes: the evio server that users, workers and health checks
// reach, the pooled HTTP client for outbound calls, and the gRPC link between controllers.
//
// It guarantees bounds: on the size of a message, on the time that a half-sent request or
// an idle connection is kept, and on the sockets that server and client hold. It says of
// each failed call whether the request can have reached the other side (ErrNotSent). It
// knows nothing of jobs or machines and imports no other package of this module but
// protocol, for the encoding of messages.
package transport
