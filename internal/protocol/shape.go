package protocol

// maxNesting bounds the nesting depth of maps and lists in a message. The outermost value counts as one
// level.
const maxNesting = 32

// First bytes of MessagePack values: the bytes of single formats, and the first or last bytes of ranges of
// formats.
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
	firstUint, lastUint = 0xcc, 0xcf // unsigned integers of 1, 2, 4 and 8 bytes
	firstInt, lastInt   = 0xd0, 0xd3 // signed integers of 1, 2, 4 and 8 bytes
	firstStr, lastStr   = 0xd9, 0xdb // strings with a length field of 1, 2 and 4 bytes
	array16, array32    = 0xdc, 0xdd
	map16, map32        = 0xde, 0xdf
	firstNegativeFixint = 0xe0
)

// CheckShape checks that the input is exactly one well-formed MessagePack value, without decoding it. The
// input must contain at least as many bytes as every length in it announces, and the nesting depth is bounded
// by maxNesting. For any other input it returns ErrMalformed.
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

// shapeWalker is the position of CheckShape in its input.
type shapeWalker struct {
	bytes     []byte
	at        int
	level     int
	remaining [maxNesting]int // number of values not visited yet, per nesting level
}

// has reports whether at least n bytes are left. It returns false for a negative n, which means that length
// couldn't read a length.
func (w *shapeWalker) has(n int) bool { return n >= 0 && len(w.bytes)-w.at >= n }

// walkValue moves past a scalar value, or past the header of a map or list, whose elements the next calls
// visit. It returns false if the bytes are malformed.
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

// length reads a big-endian length field of size bytes. It returns -1 if fewer bytes are left.
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

// skip moves past the n remaining bytes of a value. It returns false if fewer bytes are left.
func (w *shapeWalker) skip(n int) bool {
	if !w.has(n) {
		return false
	}
	w.at += n
	return true
}

// enter descends to the n elements of a list, or the n keys and values of a map. It returns false if the
// nesting is too deep, or if fewer than n bytes are left, since each element takes at least one byte.
func (w *shapeWalker) enter(n int) bool {
	if !w.has(n) || w.level+1 >= maxNesting {
		return false
	}
	w.level++
	w.remaining[w.level] = n
	return true
}
