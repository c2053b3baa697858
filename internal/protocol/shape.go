package protocol

// maxNesting bounds the levels of maps and lists in a message, the outermost value counted.
const maxNesting = 32

// First bytes of a MessagePack value, and the ranges that they begin or end.
const (
	lastPositiveFixint  = 0x7f
	lastFixmap          = 0x8f
	lastFixarray        = 0x9f
	lastFixstr          = 0xbf
	nilValue            = 0xc0
	falseValue          = 0xc2
	trueValue           = 0xc3
	float32Value        = 0xca
	float64Value        = 0xcb
	firstUint, lastUint = 0xcc, 0xcf // of 1, 2, 4 and 8 bytes
	firstInt, lastInt   = 0xd0, 0xd3 // likewise
	firstStr, lastStr   = 0xd9, 0xdb // with a length of 1, 2 and 4 bytes
	array16, array32    = 0xdc, 0xdd
	map16, map32        = 0xde, 0xdf
	firstNegativeFixint = 0xe0
)

// CheckShape walks one MessagePack value without building anything: every length must be covered by the bytes
// that follow, and nesting is bounded. It returns ErrMalformed for any other bytes.
func CheckShape(b []byte) error {
	w := shapeWalker{bytes: b}
	w.remaining[0] = 1
	for {
		for w.remaining[w.level] == 0 {
			if w.level == 0 {
				if w.at != len(b) {
					return ErrMalformed
				}
				return nil
			}
			w.level--
		}
		w.remaining[w.level]--
		if !w.walkValue() {
			return ErrMalformed
		}
	}
}

// shapeWalker is a walk over a value, from its first byte to its last.
type shapeWalker struct {
	bytes     []byte
	at        int
	level     int
	remaining [maxNesting]int // values still to come, a level each
}

// has reports that at least n bytes are left; n may be negative, as the result of a length that couldn't be
// read.
func (w *shapeWalker) has(n int) bool { return n >= 0 && len(w.bytes)-w.at >= n }

// walkValue passes over a value without what it contains; false if it isn't well-formed.
func (w *shapeWalker) walkValue() bool {
	if !w.has(1) {
		return false
	}
	first := w.bytes[w.at]
	w.at++
	switch {
	case first <= lastPositiveFixint || first >= firstNegativeFixint,
		first == nilValue, first == falseValue, first == trueValue:
		return true
	case first <= lastFixmap:
		return w.enter(2 * int(first&0x0f))
	case first <= lastFixarray:
		return w.enter(int(first & 0x0f))
	case first <= lastFixstr:
		return w.skip(int(first & 0x1f))
	case first == float32Value:
		return w.skip(4)
	case first == float64Value:
		return w.skip(8)
	case first >= firstUint && first <= lastUint:
		return w.skip(1 << (first - firstUint))
	case first >= firstInt && first <= lastInt:
		return w.skip(1 << (first - firstInt))
	case first >= firstStr && first <= lastStr:
		return w.skip(w.length(1 << (first - firstStr)))
	case first == array16 || first == array32:
		return w.enter(w.length(2 << (first - array16)))
	case first == map16 || first == map32:
		return w.enter(2 * w.length(2<<(first-map16)))
	}
	return false // binary data and extensions are not part of the protocol
}

// length reads a big-endian length of so many bytes, -1 if they aren't there.
func (w *shapeWalker) length(size int) int {
	if !w.has(size) {
		return -1
	}
	length := 0
	for _, c := range w.bytes[w.at : w.at+size] {
		length = length<<8 | int(c)
	}
	w.at += size
	return length
}

// skip passes over the n bytes of a value.
func (w *shapeWalker) skip(n int) bool {
	if !w.has(n) {
		return false
	}
	w.at += n
	return true
}

// enter goes down to the n values of a list, or to the keys and values of a map. Each takes a byte at least.
func (w *shapeWalker) enter(n int) bool {
	if !w.has(n) || w.level+1 >= maxNesting {
		return false
	}
	w.level++
	w.remaining[w.level] = n
	return true
}
