package peer

import (
	"bufio"
	"context"
	"encoding/binary"
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/sourcegraph/jsonrpc2"

	"masticplank.example/coordination/ledger"
	"masticplank.example/coordination/record"
)

// sendRaw writes raw bytes to an instance and returns its next message.
func sendRaw(t *testing.T, addr string, raw []byte) string {
	t.Helper()
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if _, err := conn.Write(raw); err != nil {
		t.Fatal(err)
	}
	var answer json.RawMessage
	if err := (jsonrpc2.VarintObjectCodec{}).ReadObject(bufio.NewReader(conn), &answer); err != nil {
		t.Fatalf("no answer: %v", err)
	}
	return string(answer)
}

// frame returns a message with its length before it, as on the wire.
func frame(message string) []byte {
	return append(binary.AppendUvarint(nil, uint64(len(message))), message...)
}

func rpcRequest(method, params string) []byte {
	return frame(fmt.Sprintf(`{"jsonrpc":"2.0","id":1,"method":%q,"params":%s}`, method, params))
}

// holdParams encodes records as parameters of bill.hold.
func holdParams(t testing.TB, records ...record.Record) string {
	t.Helper()
	data, err := record.Encode(record.Batch{Writer: "w", WriterTime: testTime, Records: records})
	if err != nil {
		t.Fatal(err)
	}
	params, err := json.Marshal(HoldParams{From: "x", Batch: data})
	if err != nil {
		t.Fatal(err)
	}
	return string(params)
}

// assertUnchanged fails the test if a message changed the instance's state.
func assertUnchanged(t *testing.T, inst *testInstance, name string) {
	t.Helper()
	if inst.HeldBills() != 0 || inst.healthItems.hash(testTime) != 0 || inst.store.restored != nil ||
		len(inst.store.puts) != 0 || len(inst.events) != 0 || len(inst.vouches) != 0 {
		t.Errorf("%s: state changed, want it unchanged", name)
	}
}

// TestInvalidRequestsAreRejected checks that an invalid request is answered
// with the right error code, changes nothing, and does not affect later
// requests.
func TestInvalidRequestsAreRejected(t *testing.T) {
	inst := newFleet(t, 1, nil)[0]
	manifest := record.Record{Kind: record.KindPut, Key: "manifest/1", Nonce: record.Nonce{1}, Value: []byte("x")}
	release := record.Record{Kind: record.KindRelease, Key: "bill/t/r", Nonce: record.Nonce{1}}
	longBatch := testBill(1)
	longBatch.Value = make([]byte, maxHoldBatchBytes+1)
	notABill, keyOfAnother, longValue := testBill(1), testBill(1), testBill(1)
	notABill.Value = []byte(`{"cost":1}`)
	keyOfAnother.Key = testBill(2).Key
	longValue.Value = make([]byte, ledger.MaxBillBytes+1)
	for name, c := range map[string]struct {
		raw  []byte
		code int
	}{
		"not JSON":                    {frame("hello"), jsonrpc2.CodeParseError},
		"not an object":               {frame(`[]`), jsonrpc2.CodeParseError},
		"too long":                    {binary.AppendUvarint(nil, maxMessageBytes+1), jsonrpc2.CodeInvalidRequest},
		"unknown method":              {rpcRequest("state.erase", "{}"), jsonrpc2.CodeMethodNotFound},
		"parameters missing":          {frame(`{"jsonrpc":"2.0","id":1,"method":"bill.hold"}`), jsonrpc2.CodeInvalidParams},
		"null parameters":             {rpcRequest(MethodVouch, "null"), jsonrpc2.CodeInvalidParams},
		"wrong type":                  {rpcRequest(MethodDigest, `{"from":"x","next":"y"}`), jsonrpc2.CodeInvalidParams},
		"negative offset":             {rpcRequest(MethodDigest, `{"from":"x","next":-1}`), jsonrpc2.CodeInvalidParams},
		"unknown key":                 {rpcRequest(MethodVouch, `{"from":"x","root":1}`), jsonrpc2.CodeInvalidParams},
		"sender missing":              {rpcRequest(MethodVouch, `{}`), jsonrpc2.CodeInvalidParams},
		"sender too long":             {rpcRequest(MethodVouch, `{"from":"`+strings.Repeat("x", maxNameBytes+1)+`"}`), jsonrpc2.CodeInvalidParams},
		"fetch beyond the end":        {rpcRequest(MethodFetch, `{"from":"x","offset":9}`), CodeSnapshotGone},
		"fetch at a negative offset":  {rpcRequest(MethodFetch, `{"from":"x","offset":-9}`), CodeSnapshotGone},
		"unknown health kind":         {rpcRequest(MethodHealth, `{"from":"x","items":[{"kind":"root","id":"a","stamp":1,"until":2,"origin":"o"}]}`), jsonrpc2.CodeInvalidParams},
		"malformed batch":             {rpcRequest(MethodHold, `{"from":"x","batch":"AAAA"}`), jsonrpc2.CodeInvalidParams},
		"manifest in place of a bill": {rpcRequest(MethodHold, holdParams(t, manifest)), jsonrpc2.CodeInvalidParams},
		"release in place of a bill":  {rpcRequest(MethodHold, holdParams(t, release)), jsonrpc2.CodeInvalidParams},
		"two records":                 {rpcRequest(MethodHold, holdParams(t, testBill(1), testBill(2))), jsonrpc2.CodeInvalidParams},
		"batch too long":              {rpcRequest(MethodHold, holdParams(t, longBatch)), jsonrpc2.CodeInvalidParams},
		"value is not a bill":         {rpcRequest(MethodHold, holdParams(t, notABill)), jsonrpc2.CodeInvalidParams},
		"key of another bill":         {rpcRequest(MethodHold, holdParams(t, keyOfAnother)), jsonrpc2.CodeInvalidParams},
		"value too long":              {rpcRequest(MethodHold, holdParams(t, longValue)), jsonrpc2.CodeInvalidParams},
	} {
		answer := sendRaw(t, inst.self.Peer, c.raw)
		if !strings.Contains(answer, fmt.Sprintf(`"code":%d`, c.code)) {
			t.Errorf("%s: got %s, want code %d", name, answer, c.code)
		}
		assertUnchanged(t, inst, name)
	}
	if answer := sendRaw(t, inst.self.Peer, rpcRequest(MethodVouch, `{"from":"x"}`)); !strings.Contains(answer, `"result"`) {
		t.Errorf("a valid request afterwards: got %s, want a result", answer)
	}
}

// TestInvalidAnswersAreRejected checks that an invalid answer, or a request on
// a connection that this instance opened, counts as no answer and changes
// nothing.
func TestInvalidAnswersAreRejected(t *testing.T) {
	for name, reply := range map[string][]byte{
		"not JSON":                     frame("garbage"),
		"too long":                     binary.AppendUvarint(nil, 1<<40),
		"request instead of an answer": rpcRequest(MethodHold, holdParams(t, testBill(1))),
		"result is not an object":      frame(`{"jsonrpc":"2.0","id":0,"result":7}`),
	} {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		done := make(chan struct{})
		go func() {
			defer close(done)
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			defer conn.Close()
			r := bufio.NewReader(conn)
			var m json.RawMessage
			_ = jsonrpc2.VarintObjectCodec{}.ReadObject(r, &m)
			_, _ = conn.Write(reply)
			_ = jsonrpc2.VarintObjectCodec{}.ReadObject(r, &m) // until the instance closes the connection or rejects the request
		}()
		inst := newFleet(t, 2, nil)[0]
		peer := inst.self
		peer.ID, peer.Peer = "evil", ln.Addr().String()
		if a := inst.query(context.Background(), peer, MethodDigest); a.ok {
			t.Errorf("%s: accepted as an answer, want none", name)
		}
		assertUnchanged(t, inst, name)
		_ = ln.Close()
		<-done
	}
}

// FuzzMessage sends arbitrary parameters to every method. A message that is
// answered with an error must change nothing, and only bills may be held.
func FuzzMessage(f *testing.F) {
	f.Add(MethodVouch, []byte(`{"from":"x"}`))
	f.Add(MethodDigest, []byte(`{"from":"x","next":1,"gen":1,"hash":1,"board":0}`))
	f.Add(MethodFetch, []byte(`{"from":"x","after":0,"snapshot":0,"offset":0}`))
	f.Add(MethodManifest, []byte(`{"from":"x","gen":1}`))
	f.Add(MethodHealth, []byte(`{"from":"x","items":[{"kind":"leaving","id":"a","stamp":1,"until":2,"origin":"o"}],"want":true}`))
	f.Add(MethodHold, []byte(holdParams(f, testBill(1))))
	f.Fuzz(func(t *testing.T, method string, params []byte) {
		store := &fakeStore{snapshot: []byte("good")}
		inst := &testInstance{store: store}
		n := New(Config{}, Deps{Store: store, Events: discardEvents{}})
		raw := json.RawMessage(params)
		_, err := n.handle(context.Background(), nil, &jsonrpc2.Request{Method: method, Params: &raw})
		inst.Node = n
		if err != nil {
			assertUnchanged(t, inst, method)
		}
		for _, r := range n.heldBills.Bills() {
			if r.Key.Class() != record.ClassBill {
				t.Errorf("holds %s, want bills only", r.Key)
			}
		}
	})
}

// FuzzStream reads arbitrary bytes as messages. None may be longer than
// maxMessageBytes.
func FuzzStream(f *testing.F) {
	f.Add(frame(`{"jsonrpc":"2.0","id":1,"method":"m"}`))
	f.Add(binary.AppendUvarint(nil, 1<<63))
	f.Add([]byte{5, '{', '}'})
	f.Fuzz(func(t *testing.T, raw []byte) {
		here, there := net.Pipe()
		defer here.Close()
		go func() {
			_, _ = there.Write(raw)
			_ = there.Close()
		}()
		s := newBoundedStream(here, nil)
		for {
			var v json.RawMessage
			if err := s.ReadObject(&v); err != nil {
				return
			}
			if len(v) > maxMessageBytes {
				t.Errorf("read a message of %d bytes, want at most maxMessageBytes", len(v))
			}
		}
	})
}
