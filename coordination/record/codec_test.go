package record

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"pgregory.net/rapid"
)

func putRecord(key Key, n byte) Record {
	return Record{Kind: KindPut, Key: key, Nonce: Nonce{n}}
}

func genRecord(t *rapid.T) Record {
	r := Record{
		Kind:     Kind(rapid.IntRange(1, 3).Draw(t, "kind")),
		Nonce:    Nonce(rapid.SliceOfN(rapid.Byte(), 16, 16).Draw(t, "nonce")),
		Lifetime: time.Duration(rapid.Int64Range(0, 1<<40).Draw(t, "lifetime")),
		KeyTime:  FromMicros(rapid.Int64().Draw(t, "keytime")),
	}
	r.Nonce[0] |= 1
	if v := rapid.SliceOfN(rapid.Byte(), 0, 40).Draw(t, "value"); len(v) > 0 {
		r.Value = v
	}
	if r.Kind != KindCheckpoint {
		r.Key = Key(rapid.StringMatching(`[a-z]{1,8}/[a-z0-9/-]{0,20}`).Draw(t, "key"))
	}
	return r
}

// Guards against a field that the encoding loses or changes, and against a batch
// with several encodings.
func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := Batch{
			Writer:     rapid.StringMatching(`[a-z]{1,10}`).Draw(t, "writer"),
			WriterTime: FromMicros(rapid.Int64Range(1, 1<<55).Draw(t, "stamped")),
			Records:    rapid.SliceOfN(rapid.Custom(genRecord), 0, 8).Draw(t, "records"),
		}
		data, err := Encode(in)
		if err != nil {
			t.Fatal(err)
		}
		out, err := Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		again, err := Encode(out)
		if err != nil || !bytes.Equal(data, again) {
			t.Fatalf("encoding a decoded batch gives other bytes: %v", err)
		}
		if len(out.Records) != len(in.Records) {
			t.Fatalf("%d records, want %d", len(out.Records), len(in.Records))
		}
		for i, r := range in.Records {
			got := out.Records[i]
			same := got.Kind == r.Kind && got.Key == r.Key && got.Nonce == r.Nonce &&
				bytes.Equal(got.Value, r.Value) && got.Lifetime == r.Lifetime && got.KeyTime.Equal(r.KeyTime)
			if !same {
				t.Fatalf("record %d: got %+v, want %+v", i, got, r)
			}
		}
	})
}

// Guards against a batch that a writer appends although readers drop it.
func TestEncodeRefuses(t *testing.T) {
	long := Key("a/" + strings.Repeat("x", MaxKeyBytes))
	tests := map[string]struct {
		batch Batch
		want  error
	}{
		"no writer":             {Batch{}, ErrInvalid},
		"long writer":           {Batch{Writer: strings.Repeat("w", MaxWriterBytes+1)}, ErrTooLarge},
		"too many records":      {Batch{Writer: "w", Records: make([]Record, MaxRecords+1)}, ErrTooLarge},
		"zero record":           {Batch{Writer: "w", Records: make([]Record, 1)}, ErrInvalid},
		"long key":              {Batch{Writer: "w", Records: []Record{putRecord(long, 1)}}, ErrTooLarge},
		"key without class":     {Batch{Writer: "w", Records: []Record{putRecord("x", 1)}}, ErrInvalid},
		"no nonce":              {Batch{Writer: "w", Records: []Record{putRecord("a/x", 0)}}, ErrInvalid},
		"checkpoint with a key": {Batch{Writer: "w", Records: []Record{{Kind: KindCheckpoint, Key: "a/x"}}}, ErrInvalid},
		"negative lifetime":     {Batch{Writer: "w", Records: []Record{{Kind: KindPut, Lifetime: -1}}}, ErrInvalid},
		"long value":            {Batch{Writer: "w", Records: []Record{{Kind: KindPut, Value: make([]byte, MaxValueBytes+1)}}}, ErrTooLarge},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := Encode(tt.batch); !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
		})
	}
}

// Guards against data that is accepted as a batch although it is damaged, of
// another codec version, or beyond a limit.
func TestDecodeRefuses(t *testing.T) {
	good, err := Encode(Batch{Writer: "w", Records: []Record{putRecord("a/x", 1)}})
	if err != nil {
		t.Fatal(err)
	}
	marshal := func(w wireBatch) []byte {
		data, err := cbor.Marshal(w)
		if err != nil {
			t.Fatal(err)
		}
		return data
	}
	tests := map[string]struct {
		data []byte
		want error
	}{
		"empty":         {nil, ErrMalformed},
		"truncated":     {good[:len(good)-1], ErrMalformed},
		"trailing byte": {append(bytes.Clone(good), 0), ErrMalformed},
		"version":       {marshal(wireBatch{Version: 2, Writer: "w"}), ErrMalformed},
		"short nonce": {marshal(wireBatch{Version: 1, Writer: "w", Records: []wireRecord{
			{Kind: 1, Key: "a/x", Nonce: []byte{1}}}}), ErrMalformed},
		"unknown kind": {marshal(wireBatch{Version: 1, Writer: "w", Records: []wireRecord{
			{Kind: 9, Key: "a/x", Nonce: make([]byte, 16)}}}), ErrInvalid},
		"too long": {make([]byte, MaxBatchBytes+1), ErrTooLarge},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			if _, err := Decode(tt.data); !errors.Is(err, tt.want) {
				t.Errorf("got %v, want %v", err, tt.want)
			}
		})
	}
}

// Guards against two proposals with one nonce, and against a derived nonce that
// differs between the processes that make the same proposal.
func TestNonces(t *testing.T) {
	first, second := NewNonce(), NewNonce()
	if first == second || first == (Nonce{}) {
		t.Error("NewNonce returned a duplicate or the zero nonce")
	}
	from, again, other := DeriveNonce("a", "bc"), DeriveNonce("a", "bc"), DeriveNonce("ab", "c")
	if from != again || from == other {
		t.Error("DeriveNonce is not a function of its parts and their boundaries")
	}
}

// Guards against a manifest key that is parsed into another generation or parent,
// and against a second spelling of a key.
func TestManifestKey(t *testing.T) {
	digest := ManifestDigest([]byte("x"))
	generation, parent, err := ParseManifestKey(ManifestKey(7, digest))
	if err != nil || generation != 7 || parent != digest {
		t.Errorf("parsed generation %d, parent %q, error %v, want generation 7 and the digest of the parent", generation, parent, err)
	}
	for _, bad := range []Key{"manifest/", "manifest/x-", "manifest/01-", "claim/1-", "manifest/7"} {
		if _, _, err := ParseManifestKey(bad); !errors.Is(err, ErrInvalid) {
			t.Errorf("%s: got error %v, want ErrInvalid", bad, err)
		}
	}
}

// Guards against a panic on any input, and against a batch that decodes but that
// Encode rejects.
func FuzzDecode(f *testing.F) {
	good, _ := Encode(Batch{Writer: "w", WriterTime: time.Unix(9, 0), Records: []Record{putRecord("a/x", 1)}})
	f.Add(good)
	f.Add([]byte{0x84})
	f.Fuzz(func(t *testing.T, data []byte) {
		b, err := Decode(data)
		if err != nil {
			return
		}
		again, err := Encode(b)
		if err != nil {
			t.Fatalf("decoded batch does not encode: %v", err)
		}
		if _, err := Decode(again); err != nil {
			t.Fatalf("encoded batch does not decode: %v", err)
		}
	})
}
