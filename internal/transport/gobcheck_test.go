package transport

import (
	"bytes"
	"encoding/gob"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// variety has a field of each kind of type that gob knows.
type variety struct {
	Bool    bool
	Int     int64
	Uint    uint64
	Float   float64
	Complex complex128
	Bytes   []byte
	Text    string
	List    []int64
	Array   [3]string
	Map     map[string][]uint64
	Nested  *variety
	Others  []part
	Any     any
	When    time.Time
	Absent  any
}

type part struct {
	Name  string
	Sizes map[int64]part
	Inner any
}

// late is a type that a stream defines inside an interface value.
type late struct {
	Text string
	More []part
}

func init() {
	gob.Register(late{})
	gob.Register(part{})
	gob.Register(map[string]int{})
}

func drawPart(t *rapid.T, depth int) part {
	drawn := part{Name: rapid.String().Draw(t, "name")}
	if depth > 0 && rapid.Bool().Draw(t, "inner") {
		drawn.Sizes = map[int64]part{rapid.Int64().Draw(t, "key"): drawPart(t, depth-1)}
		drawn.Inner = drawAny(t, depth-1)
	}
	return drawn
}

func drawAny(t *rapid.T, depth int) any {
	switch rapid.IntRange(0, 5).Draw(t, "any") {
	case 0:
		return rapid.Int().Draw(t, "int")
	case 1:
		return rapid.String().Draw(t, "text")
	case 2:
		return map[string]int{rapid.String().Draw(t, "key"): 3}
	case 3:
		return late{rapid.String().Draw(t, "text"), []part{drawPart(t, depth)}}
	case 4:
		return drawPart(t, depth)
	}
	return []byte(rapid.String().Draw(t, "bytes"))
}

func init() { gob.Register([]byte{}) }

func drawVariety(t *rapid.T, depth int) variety {
	drawn := variety{
		Bool: rapid.Bool().Draw(t, "bool"), Int: rapid.Int64().Draw(t, "int"), Uint: rapid.Uint64().Draw(t, "uint"),
		Float: rapid.Float64().Draw(t, "float"), Complex: complex(rapid.Float64().Draw(t, "real"), 1),
		Bytes: rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"), Text: rapid.StringN(0, 300, -1).Draw(t, "text"),
		List: rapid.SliceOf(rapid.Int64()).Draw(t, "list"), Array: [3]string{"a", rapid.String().Draw(t, "item")},
		Map:    rapid.MapOf(rapid.String(), rapid.SliceOf(rapid.Uint64())).Draw(t, "map"),
		Others: []part{drawPart(t, 2), drawPart(t, 1)}, Any: drawAny(t, 2), When: time.UnixMilli(rapid.Int64Range(0, 1<<40).Draw(t, "when")),
	}
	if depth > 0 {
		nested := drawVariety(t, depth-1)
		drawn.Nested = &nested
	}
	return drawn
}

// drawFrames encodes values on one stream, a frame for each.
func drawFrames(t *rapid.T) [][]byte {
	var buffer bytes.Buffer
	encoder := gob.NewEncoder(&buffer)
	var frames [][]byte
	for range rapid.IntRange(1, 4).Draw(t, "frames") {
		buffer.Reset()
		var value any = drawVariety(t, 1)
		switch rapid.IntRange(0, 4).Draw(t, "value") {
		case 0:
			value = drawPart(t, 2)
		case 1:
			value = rapid.SliceOf(rapid.String()).Draw(t, "texts")
		case 2:
			value = rapid.Uint64().Draw(t, "number")
		}
		if err := encoder.Encode(value); err != nil {
			t.Fatal(err)
		}
		if err := encoder.Encode(drawPart(t, 1)); err != nil {
			t.Fatal(err)
		}
		frames = append(frames, bytes.Clone(buffer.Bytes()))
	}
	return frames
}

// Whatever gob encodes passes the check, and nothing of which the end is missing does.
func TestCheckPassesWhatGobEncodes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		frames := drawFrames(t)
		var whole, truncated gobChecker
		for number, frame := range frames {
			if err := whole.check(frame); err != nil {
				t.Fatalf("frame %d: %v: %x", number, err, frame)
			}
		}
		last := frames[len(frames)-1]
		for _, frame := range frames[:len(frames)-1] {
			if err := truncated.check(frame); err != nil {
				t.Fatal(err)
			}
		}
		if truncated.check(last[:len(last)-1]) == nil {
			t.Fatalf("passed without its last byte: %x", last)
		}
	})
}

// Bytes that were changed do not make the check fail in another way than by its error, and it
// ends.
func TestCheckOfChangedBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var checker gobChecker
		for _, frame := range drawFrames(t) {
			for range rapid.IntRange(0, 3).Draw(t, "changes") {
				frame[rapid.IntRange(0, len(frame)-1).Draw(t, "offset")] = rapid.Byte().Draw(t, "byte")
			}
			if checker.check(frame) != nil {
				return
			}
		}
		_ = checker.check(rapid.SliceOf(rapid.Byte()).Draw(t, "bytes"))
	})
}

// Sizes that do not fit into the frame are rejected before gob allocates for them.
func TestCheckRejectsSizesBeyondTheFrame(t *testing.T) {
	encode := func(value any) []byte {
		var buffer bytes.Buffer
		qt.Assert(t, gob.NewEncoder(&buffer).Encode(value), qt.IsNil)
		return buffer.Bytes()
	}
	// Each value ends with a count of 1 and one short entry.
	for _, test := range []struct {
		name  string
		value any
		entry []byte
	}{
		{"map", map[string]string{"a": "b"}, []byte{1, 1, 'a', 1, 'b'}},
		{"list", []string{"a"}, []byte{1, 1, 'a'}},
		{"text", "abc", []byte{3, 'a', 'b', 'c'}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			frame := encode(test.value)
			at := len(frame) - len(test.entry)
			c.Assert(bytes.HasSuffix(frame, test.entry), qt.IsTrue)
			c.Assert(new(gobChecker).check(frame), qt.IsNil)
			for _, count := range []byte{0x40, 0x7f} {
				changed := bytes.Clone(frame)
				changed[at] = count
				c.Assert(new(gobChecker).check(changed), qt.Equals, errMalformedFrame)
			}
		})
	}
	for _, frame := range [][]byte{{0xfc, 0x00, 0x90, 0, 0}, {0xf8, 0x7f, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff}, {0x80}, {0xff}, {5, 1}} {
		qt.Check(t, new(gobChecker).check(frame), qt.Equals, errMalformedFrame, qt.Commentf("%x", frame))
	}
	qt.Check(t, new(gobChecker).check(encode(7)), qt.IsNil)
}

// Values nested without end are rejected.
func TestCheckBoundsNesting(t *testing.T) {
	nested := part{}
	for range maxGobDepth {
		nested = part{Inner: nested}
	}
	var buffer bytes.Buffer
	qt.Assert(t, gob.NewEncoder(&buffer).Encode(nested), qt.IsNil)
	qt.Assert(t, new(gobChecker).check(buffer.Bytes()), qt.Equals, errMalformedFrame)
}

// BenchmarkCheck is the check of a large snapshot.
func BenchmarkCheck(b *testing.B) {
	rows := map[string]string{}
	for number := range 20_000 {
		rows[time.Unix(int64(number), 0).UTC().String()] = "a row of some length, as a replica has it"
	}
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(rows); err != nil {
		b.Fatal(err)
	}
	b.SetBytes(int64(buffer.Len()))
	for b.Loop() {
		if err := new(gobChecker).check(buffer.Bytes()); err != nil {
			b.Fatal(err)
		}
	}
}
