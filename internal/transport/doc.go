// Package transport holds the network endpoints of a controller: the evio HTTP server for
// users, agents and health checks, the pooled HTTP client for outbound calls, and the gRPC
// server and clients between controllers.
//
// The package bounds the size of a message, the time for which a partly received request or an
// idle connection is kept, and the number of sockets that server and client hold. A failed
// HTTP call reports whether its request can have reached the peer (ErrNotSent). The package
// contains no logic of jobs or machines; of this module it imports only protocol, for the
// encoding of messages.
package transport
