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

// jsonCodec lets the controllers' messages be the plain structs of package
// protocol, which reads and writes them.
type jsonCodec struct{}

func (jsonCodec) Marshal(v any) ([]byte, error)      { return protocol.Encode(v) }
func (jsonCodec) Unmarshal(data []byte, v any) error { return protocol.Decode(data, v) }
func (jsonCodec) Name() string                       { return "json" }

var _ encoding.Codec = jsonCodec{}

// PeerHandler receives another controller's message and answers it. The context ends when
// the caller gives up.
type PeerHandler func(ctx context.Context, in json.RawMessage) (json.RawMessage, error)

// The one gRPC method between controllers.
const (
	peerService    = "madderslip.Peers"
	peerMethodName = "Exchange"
	peerMethod     = "/madderslip.Peers/Exchange"
)

// Bounds of the peer server.
const (
	maxPeerMessageBytes = 1 << 20
	maxPeerStreams      = 64 // calls at once on a connection
)

// PeerServer is the gRPC server on the peer address.
type PeerServer struct {
	server   *grpc.Server
	listener net.Listener
}

// ListenPeers opens the peer address; Run serves it.
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

// peerServiceDesc describes the service by hand: its messages have no protobuf types.
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

// Run serves until the context ends. Calls that are in progress then are cut off.
func (p *PeerServer) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, p.server.Stop)
	defer stop()
	return p.server.Serve(p.listener)
}

// reconnectBackoff is the pause before a lost connection is made again.
var reconnectBackoff = backoff.Config{
	BaseDelay:  500 * time.Millisecond,
	Multiplier: 1.5,
	Jitter:     0.2,
	MaxDelay:   3 * time.Second,
}

// minConnectTimeout is the least time that an attempt to connect is given.
const minConnectTimeout = 2 * time.Second

// PeerClient calls one other controller. Its methods may be called from any goroutine.
type PeerClient struct{ conn *grpc.ClientConn }

// DialPeer prepares a client; the connection is made when first used, and again when lost.
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

// Call sends one message and decodes the answer into out, a pointer. Its errors carry a
// gRPC status.
func (p *PeerClient) Call(ctx context.Context, in, out any) error {
	return p.conn.Invoke(ctx, peerMethod, in, out)
}

// Close ends the client; calls in progress fail.
func (p *PeerClient) Close() error { return p.conn.Close() }
