package hosted

import (
	"errors"
	"net"

	"golang.org/x/sys/unix"
)

// Where the flags of a segment are in its header, and those of a connection's
// first one.
const (
	tcpFlagsOffset = 13
	tcpFlagSYN     = 0x02
	tcpFlagsMask   = 0x12 // SYN and ACK
)

// noFirstSegment drops the first segments of new connections. Their callers send
// them again a second later and are refused then.
var dropSYN = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
	{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: tcpFlagsMask},
	{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: tcpFlagSYN},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: 1<<32 - 1},
}

// turnAway has the system take no new connections for a listener. Where it can't,
// those that come while the listener closes are reset.
func dropNewConns(l net.Listener) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var refused error
	err = raw.Control(func(fd uintptr) {
		refused = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{
			Len: uint16(len(dropSYN)), Filter: &dropSYN[0],
		})
	})
	return errors.Join(err, refused)
}
