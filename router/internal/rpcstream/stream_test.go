package rpcstream

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"
)

const testMaxBytes = 1 << 16

// TestMessageWithoutEnd guards against a peer that sends a message of any size, or one that never ends, and takes the memory
// or the connection for it.
func TestMessageWithoutEnd(t *testing.T) {
	cases := map[string]struct {
		begin, again []byte
		pause        time.Duration
	}{
		"announced as huge":   {binary.AppendUvarint(nil, 1<<62), []byte(strings.Repeat("x", 4096)), 0},
		"a size without end":  {nil, []byte(strings.Repeat("\xff", 64)), 0},
		"a message that ends": {binary.AppendUvarint(nil, 5), []byte(`"x"  `), time.Millisecond},
		"a slow message":      {binary.AppendUvarint(nil, testMaxBytes), []byte("x"), 20 * time.Millisecond},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			here, there := net.Pipe()
			s := New(here, Limits{MaxBytes: testMaxBytes, MessageTimeout: 200 * time.Millisecond})
			go func() { _, _ = io.Copy(io.Discard, there) }() // takes the error that is sent back
			written := make(chan int, 1)
			go func() {
				n, err := there.Write(c.begin)
				for more := 0; err == nil && n < 1<<20; n += more {
					time.Sleep(c.pause)
					more, err = there.Write(c.again)
				}
				written <- n
			}()
			began := time.Now()
			var err error
			for err == nil && time.Since(began) < time.Second {
				var v json.RawMessage
				err = s.ReadObject(&v)
			}
			_ = s.Close()
			if name != "a message that ends" && err == nil {
				t.Error("no error, want one")
			}
			if name == "a slow message" && !errors.Is(err, os.ErrDeadlineExceeded) {
				t.Errorf("got %v, want a timeout", err)
			}
			if n := <-written; name == "announced as huge" && n > 2*testMaxBytes {
				t.Errorf("%d bytes were read, want %d at most", n, 2*testMaxBytes)
			}
		})
	}
}
