package transport

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding"

	"madderslip/internal/protocol"
)

// jsonCodec is the gRPC codec of messages between controllers. Messages are plain structs
// of package protocol, which encodes and decodes them.
type jsonCodec struct{}

func (jsonCodec) Marshal(v any) ([]byte, error)      { return protocol.Encode(v) }
func (jsonCodec) Unmarshal(data []byte, v any) error { return protocol.Decode(data, v) }
func (jsonCodec) Name() string                       { return "json" }

var _ encoding.Codec = jsonCodec{}

// PeerHandler handles a message of another controller and returns the answer. The context
// ends when the caller cancels the call or its deadline passes.
type PeerHandler func(ctx context.Context, in json.RawMessage) (json.RawMessage, error)

// Names of the only gRPC method between controllers.
const (
	peerService    = "madderslip.Peers"
	peerMethodName = "Exchange"
	peerMethod     = "/madderslip.Peers/Exchange"
)

// Bounds of the peer server.
const (
	maxPeerMessageBytes = 1 << 20
	maxPeerStreams      = 64 // largest number of concurrent calls per connection
)

// PeerServer is the gRPC server on the peer address.
type PeerServer struct {
	server   *grpc.Server
	listener net.Listener
}

// ListenPeers listens on the peer address. Run serves the connections.
func ListenPeers(addr string, handle PeerHandler) (*PeerServer, error) {
	listener, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("peer address: %w", err)
	}
	server := grpc.NewServer(
		grpc.ForceServerCodec(jsonCodec{}),
		grpc.MaxRecvMsgSize(maxPeerMessageBytes),
		grpc.MaxConcurrentStreams(maxPeerStreams),
	)
	server.RegisterService(peerServiceDesc(handle), struct{}{})
	return &PeerServer{server: server, listener: listener}, nil
}

// peerServiceDesc builds the gRPC service description, which cannot be generated because
// the messages have no protobuf types.
func peerServiceDesc(handle PeerHandler) *grpc.ServiceDesc {
	exchange := func(_ any, ctx context.Context, decode func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
		var in json.RawMessage
		if err := decode(&in); err != nil {
			return nil, err
		}
		out, err := handle(ctx, in)
		return &out, err
	}
	return &grpc.ServiceDesc{
		ServiceName: peerService,
		HandlerType: (*any)(nil),
		Methods:     []grpc.MethodDesc{{MethodName: peerMethodName, Handler: exchange}},
	}
}

// Run serves until the context ends. Calls that are then in progress fail.
func (p *PeerServer) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, p.server.Stop)
	defer stop()
	return p.server.Serve(p.listener)
}

// reconnectBackoff is the backoff between attempts to re-establish a lost connection.
var reconnectBackoff = backoff.Config{
	BaseDelay:  500 * time.Millisecond,
	Multiplier: 1.5,
	Jitter:     0.2,
	MaxDelay:   3 * time.Second,
}

// minConnectTimeout is the minimum time allowed for one attempt to connect.
const minConnectTimeout = 2 * time.Second

// PeerClient calls one other controller. Its methods may be called from any goroutine.
type PeerClient struct{ conn *grpc.ClientConn }

// DialPeer returns a client that connects on first use and reconnects when the connection
// is lost.
func DialPeer(addr string) (*PeerClient, error) {
	conn, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(jsonCodec{})),
		grpc.WithDisableServiceConfig(),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           reconnectBackoff,
			MinConnectTimeout: minConnectTimeout,
		}))
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", addr, err)
	}
	return &PeerClient{conn: conn}, nil
}

// Call sends one message and decodes the answer into out, which is a pointer. Errors carry
// a gRPC status.
func (p *PeerClient) Call(ctx context.Context, in, out any) error {
	return p.conn.Invoke(ctx, peerMethod, in, out)
}

// Close closes the client's connection; calls in progress fail.
func (p *PeerClient) Close() error { return p.conn.Close() }
