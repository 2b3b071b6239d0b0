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

// PeerHandler receives another controller's message and answers it.
type PeerHandler func(ctx context.Context, in json.RawMessage) (json.RawMessage, error)

const peerMethod = "/madderslip.Peers/Exchange"

// PeerServer is the gRPC server on the peer address.
type PeerServer struct {
	srv *grpc.Server
	ln  net.Listener
}

// ListenPeers opens the peer address.
func ListenPeers(addr string, h PeerHandler) (*PeerServer, error) {
	ln, err := net.Listen("tcp4", addr)
	if err != nil {
		return nil, fmt.Errorf("peer address: %w", err)
	}
	srv := grpc.NewServer(grpc.ForceServerCodec(jsonCodec{}), grpc.MaxRecvMsgSize(1<<20), grpc.MaxConcurrentStreams(64))
	srv.RegisterService(&grpc.ServiceDesc{
		ServiceName: "madderslip.Peers",
		HandlerType: (*any)(nil),
		Methods: []grpc.MethodDesc{{
			MethodName: "Exchange",
			Handler: func(_ any, ctx context.Context, dec func(any) error, _ grpc.UnaryServerInterceptor) (any, error) {
				var in json.RawMessage
				if err := dec(&in); err != nil {
					return nil, err
				}
				out, err := h(ctx, in)
				return &out, err
			},
		}},
	}, struct{}{})
	return &PeerServer{srv: srv, ln: ln}, nil
}

// Run serves until the context ends.
func (p *PeerServer) Run(ctx context.Context) error {
	stop := context.AfterFunc(ctx, p.srv.Stop)
	defer stop()
	return p.srv.Serve(p.ln)
}

// PeerClient calls one other controller.
type PeerClient struct{ cc *grpc.ClientConn }

// DialPeer prepares a client; the connection is made when first used.
func DialPeer(addr string) (*PeerClient, error) {
	cc, err := grpc.NewClient("passthrough:///"+addr,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithDefaultCallOptions(grpc.ForceCodec(jsonCodec{})),
		grpc.WithDisableServiceConfig(),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 500 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: 3 * time.Second},
			MinConnectTimeout: 2 * time.Second,
		}))
	if err != nil {
		return nil, fmt.Errorf("peer %s: %w", addr, err)
	}
	return &PeerClient{cc: cc}, nil
}

// Call sends one message and decodes the answer into out.
func (p *PeerClient) Call(ctx context.Context, in, out any) error {
	return p.cc.Invoke(ctx, peerMethod, in, out)
}

// Close ends the client.
func (p *PeerClient) Close() error { return p.cc.Close() }
