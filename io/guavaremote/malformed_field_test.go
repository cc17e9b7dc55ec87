package guavaremote_test

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"testing"
	"time"

	"guavaridge/io/guavaplatform"
	"guavaridge/io/guavaremote"
)

// Types and flags of HTTP/2 frames (RFC 9113, 6).
const (
	frameData     = 0
	frameHeaders  = 1
	frameSettings = 4

	flagAck        = 1
	flagEndStream  = 1
	flagEndHeaders = 4
)

// appendFrame appends a frame.
func appendFrame(b []byte, kind, flags byte, stream uint32, payload []byte) []byte {
	b = append(b, byte(len(payload)>>16), byte(len(payload)>>8), byte(len(payload)), kind, flags)
	b = binary.BigEndian.AppendUint32(b, stream)
	return append(b, payload...)
}

// appendField appends a field of a header block, without compression.
func appendField(b []byte, name, value string) []byte {
	b = append(append(b, 0, byte(len(name))), name...)
	return append(append(b, byte(len(value))), value...)
}

// answerCalls answers each call on a connection with an empty message, and with fields in the head and in the trailer section.
func answerCalls(c net.Conn, head, trailer string) error {
	defer c.Close()
	if _, err := io.CopyN(io.Discard, c, int64(len("PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"))); err != nil {
		return err
	}
	if _, err := c.Write(appendFrame(nil, frameSettings, 0, 0, nil)); err != nil {
		return err
	}
	for {
		var h [9]byte
		if _, err := io.ReadFull(c, h[:]); err != nil {
			return err
		}
		size := int64(h[0])<<16 | int64(h[1])<<8 | int64(h[2])
		if _, err := io.CopyN(io.Discard, c, size); err != nil {
			return err
		}
		stream := binary.BigEndian.Uint32(h[5:])
		var answer []byte
		switch {
		case h[3] == frameSettings && h[4]&flagAck == 0:
			answer = appendFrame(nil, frameSettings, flagAck, 0, nil)
		case h[3] == frameHeaders:
			block := append([]byte{0x88}, appendField(nil, "content-type", "application/grpc")...) // status 200
			if head != "" {
				block = appendField(block, head, "1")
			}
			answer = appendFrame(nil, frameHeaders, flagEndHeaders, stream, block)
			answer = appendFrame(answer, frameData, 0, stream, make([]byte, 5))
			block = appendField(nil, "grpc-status", "0")
			if trailer != "" {
				block = appendField(block, trailer, "1")
			}
			answer = appendFrame(answer, frameHeaders, flagEndHeaders|flagEndStream, stream, block)
		}
		if _, err := c.Write(answer); err != nil {
			return err
		}
	}
}

// TestMalformedFields guards against answers of the platform that are used though the name of a field is no token. VMs and operators
// use the same library.
func TestMalformedFields(t *testing.T) {
	for _, c := range []struct {
		name, head, trailer string
		ok                  bool
	}{
		{name: "no further field", ok: true},
		{name: "sound fields", head: "x-trouble", trailer: "x-trouble", ok: true},
		{name: "blank inside", head: "x trouble"},
		{name: "blank at the end", head: "x-trouble "},
		{name: "blank first", head: " x-trouble"},
		{name: "tab", head: "x\ttrouble"},
		{name: "control byte", head: "x\x01trouble"},
		{name: "colon", head: "x:trouble"},
		{name: "above ASCII", head: "x-tr\xc3\xb6uble"},
		{name: "length with a blank", head: "content-length "},
		{name: "status with a blank", trailer: "grpc-status "},
		{name: "blank in a trailer", trailer: "x trouble"},
		{name: "control byte in a trailer", trailer: "x\x00trouble"},
	} {
		t.Run(c.name, func(t *testing.T) {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer ln.Close()
			go func() {
				for {
					conn, err := ln.Accept()
					if err != nil {
						return // the test is over
					}
					go func() { _ = answerCalls(conn, c.head, c.trailer) }() // the client closes the connection
				}
			}()
			client, err := guavaremote.New(ln.Addr().String())
			if err != nil {
				t.Fatal(err)
			}
			defer func() {
				if err := client.Close(); err != nil {
					t.Error(err)
				}
			}()
			ctx, stop := context.WithTimeout(t.Context(), 30*time.Second)
			defer stop()
			_, err = client.Read(ctx, "t/p/k")
			if c.ok != (err == nil) || errors.Is(err, guavaplatform.ErrAbsent) {
				t.Errorf("read: got error %v, want success: %t", err, c.ok)
			}
			if err := client.Commit(ctx, nil, []guavaplatform.Write{{Key: "t/p/k"}}); c.ok != (err == nil) {
				t.Errorf("commit: got error %v, want success: %t", err, c.ok)
			}
			if ctx.Err() != nil {
				t.Error("the calls did not end")
			}
		})
	}
}
