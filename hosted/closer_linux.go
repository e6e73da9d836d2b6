package hosted

import (
	"errors"
	"net"

	"golang.org/x/sys/unix"
)

// Offset of the flags in a TCP header, and the flags of the first segment of a connection.
const (
	tcpFlagsOffset = 13
	tcpFlagSYN     = 0x02
	tcpFlagsMask   = 0x12 // SYN and ACK
)

// dropSYN is a socket filter that drops the first segment of new connections. The callers retransmit
// it after a second and are refused then.
var dropSYN = []unix.SockFilter{
	{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
	{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: tcpFlagsMask},
	{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, Jf: 1, K: tcpFlagSYN},
	{Code: unix.BPF_RET | unix.BPF_K, K: 0},
	{Code: unix.BPF_RET | unix.BPF_K, K: 1<<32 - 1},
}

// dropNewConns makes the system drop new connections to a listener. If it fails, connections that
// arrive while the listener closes are reset.
func dropNewConns(l net.Listener) error {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return nil
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return err
	}
	var filterErr error
	err = raw.Control(func(fd uintptr) {
		filterErr = unix.SetsockoptSockFprog(int(fd), unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &unix.SockFprog{
			Len: uint16(len(dropSYN)), Filter: &dropSYN[0],
		})
	})
	return errors.Join(err, filterErr)
}
