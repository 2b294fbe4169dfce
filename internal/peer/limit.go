package peer

import (
	"bufio"
	"encoding/gob"
	"strings"
)

const (
	// maxFrameHeader limits the header of a frame, which has the name of a method and an error text.
	maxFrameHeader = 64 << 10
	// maxRoutesBody limits the body of a frame of the Routes service, and maxPeerBody that of the Peer
	// service, in which a daemon that stops hands over its answers.
	maxRoutesBody = 8 << 20
	maxPeerBody   = 32 << 20
	// maxTunnelMessage limits a TunnelRequest and a TunnelReply.
	maxTunnelMessage = 4 << 10
	// maxCalls limits the calls of one connection that are handled at once. Calls beyond it are not
	// read until others have ended.
	maxCalls = 1024
)

// maxBody returns the limit of the body of a frame.
func maxBody(method string) int64 {
	if strings.HasPrefix(method, serviceName+".") {
		return maxPeerBody
	}
	return maxRoutesBody
}

// decodeTunnelMessage decodes a TunnelRequest or a TunnelReply.
func decodeTunnelMessage(r *bufio.Reader, to any) error {
	limited := newMessageReader(r)
	limited.setLimit(maxTunnelMessage, "bytes in a message about a tunnel")
	return gob.NewDecoder(limited).Decode(to)
}
