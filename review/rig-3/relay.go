package main

import (
	"bytes"
	"net"
	"sync"
	"syscall"
	"time"
)

// relays stand between the machines of the system. They carry the calls between hosts, whose first bytes name the sender,
// and can cut one zone off from the others: what is sent between them is held back until the cut ends.
type relays struct {
	sys *system

	mu   sync.Mutex
	zone string        // that is cut off, empty for none
	ends chan struct{} // closed when the cut ends
}

// relayOffset is the offset of the port on which a process behind a relay listens for other hosts.
const relayOffset = 40

// add starts the relay of a machine.
func (r *relays) add(m *machine) error {
	l, err := net.Listen("tcp", r.sys.address(m.ip, 0))
	if err != nil {
		return err
	}
	r.sys.closers = append(r.sys.closers, func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.carry(c, m)
		}
	}()
	return nil
}

func (r *relays) cut(zone string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.zone, r.ends = zone, make(chan struct{})
	r.sys.rec.printf("network   zone %s is cut off from the others", zone)
}

func (r *relays) heal() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sys.rec.printf("network   zone %s is connected again", r.zone)
	r.zone = ""
	close(r.ends)
}

// await waits while two machines are cut off from each other, and reports whether it has waited.
func (r *relays) await(a, b *machine) (waited bool) {
	for {
		r.mu.Lock()
		zone, ends := r.zone, r.ends
		r.mu.Unlock()
		if zone == "" || (a.zone == zone) == (b.zone == zone) {
			return waited
		}
		waited = true
		<-ends
	}
}

// closed reports whether the other end has closed a connection. What it had sent before is lost then.
func closed(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return true
	}
	gone := false
	err = raw.Read(func(fd uintptr) bool {
		n, _, err := syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		gone = n == 0 && err == nil || err != nil && err != syscall.EAGAIN
		return true
	})
	return gone || err != nil
}

// carry carries one connection to a machine.
func (r *relays) carry(c net.Conn, to *machine) {
	defer func() { _ = c.Close() }()
	_ = c.SetReadDeadline(time.Now().Add(30 * time.Second))
	var first []byte
	var from *machine
	for buffer := make([]byte, 32<<10); from == nil; {
		n, err := c.Read(buffer)
		if err != nil {
			return
		}
		first = append(first, buffer[:n]...)
		from = r.sender(first)
	}
	_ = c.SetReadDeadline(time.Time{})
	if r.await(from, to) && closed(c) {
		return
	}
	p, err := net.Dial("tcp", r.sys.address(to.ip, relayOffset))
	if err != nil {
		return
	}
	defer func() { _ = p.Close() }()
	if _, err := p.Write(first); err != nil {
		return
	}
	done := make(chan struct{}, 2)
	copyTo := func(dst, src net.Conn) {
		buffer := make([]byte, 32<<10)
		for {
			n, err := src.Read(buffer)
			if r.await(from, to) && closed(src) {
				break
			}
			if n > 0 {
				if _, err := dst.Write(buffer[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go copyTo(p, c)
	go copyTo(c, p)
	<-done
}

// sender returns the machine that a call comes from: the body begins with a field with its address. It returns nil
// while too little has arrived.
func (r *relays) sender(data []byte) *machine {
	i := bytes.Index(data, []byte("\r\n\r\n"))
	if i < 0 {
		return nil
	}
	body := data[i+4:]
	if len(body) < 2 || body[0] != 0x0a || len(body) < 2+int(body[1]) {
		return nil
	}
	return r.sys.byIP(string(body[2 : 2+int(body[1])]))
}
