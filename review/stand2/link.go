package main

import (
	"bytes"
	"net"
	"sync"
)

// link forwards connections to a target. It can make an open one go silent, without a reset,
// while others and new ones work.
type link struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	pipes []*pipe
}

// pipe is one forwarded connection.
type pipe struct {
	client, target net.Conn
	// lastSent is the beginning of what the client sent last.
	lastSent []byte
	silent   bool
}

func openLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{listener: l, target: target}
	go k.accept()
	return k, nil
}

func (k *link) Address() string { return k.listener.Addr().String() }

func (k *link) accept() {
	for {
		client, err := k.listener.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp", k.target)
		if err != nil {
			client.Close()
			continue
		}
		p := &pipe{client: client, target: target}
		k.mu.Lock()
		k.pipes = append(k.pipes, p)
		k.mu.Unlock()
		go k.forward(p, client, target)
		go k.forward(p, target, client)
	}
}

func (k *link) forward(p *pipe, from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		k.mu.Lock()
		silent := p.silent
		if from == p.client && n > 0 {
			p.lastSent = append([]byte(nil), buffer[:min(n, 200)]...)
		}
		k.mu.Unlock()
		if silent {
			if err != nil {
				return
			}
			continue
		}
		if err != nil {
			to.Close()
			return
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			from.Close()
			return
		}
	}
}

// silence makes the open connections go silent on which the last call contains a text, and
// returns their number.
func (k *link) silence(text string) int {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for _, p := range k.pipes {
		if !p.silent && bytes.Contains(p.lastSent, []byte(text)) {
			p.silent = true
			n++
		}
	}
	return n
}
