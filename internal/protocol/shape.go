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

// CheckWellFormed checks that the input is exactly one well-formed MessagePack value, without decoding it.
// The input must contain at least as many bytes as every length in it announces, and the nesting depth is
// bounded by maxNesting. For any other input it returns ErrMalformed.
func CheckWellFormed(b []byte) error {
	w := messageWalker{bytes: b}
	w.remaining[0] = 1
	for {
		for w.remaining[w.depth] == 0 {
			if w.depth == 0 {
				if w.offset != len(b) {
					return ErrMalformed
				}
				return nil
			}
			w.depth--
		}
		w.remaining[w.depth]--
		if !w.walkValue() {
			return ErrMalformed
		}
	}
}

// messageWalker is the position of CheckWellFormed in its input.
type messageWalker struct {
	bytes     []byte
	offset    int
	depth     int
	remaining [maxNesting]int // number of values not visited yet, per nesting level
}

// hasBytes reports whether at least n bytes are left. It returns false for a negative n, which means that
// readLength found too few bytes.
func (w *messageWalker) hasBytes(n int) bool { return n >= 0 && len(w.bytes)-w.offset >= n }

// walkValue moves past a scalar value, or past the header of a map or list, whose elements the next calls
// visit. It returns false if the bytes are malformed.
func (w *messageWalker) walkValue() bool {
	if !w.hasBytes(1) {
		return false
	}
	first := w.bytes[w.offset]
	w.offset++
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
		return w.skip(w.readLength(1 << (first - firstStr)))
	case first == array16 || first == array32:
		return w.enter(w.readLength(2 << (first - array16)))
	case first == map16 || first == map32:
		return w.enter(2 * w.readLength(2<<(first-map16)))
	}
	return false // binary data and extensions are not part of the protocol
}

// readLength reads a big-endian length field of size bytes. It returns -1 if fewer bytes are left.
func (w *messageWalker) readLength(size int) int {
	if !w.hasBytes(size) {
		return -1
	}
	length := 0
	for _, c := range w.bytes[w.offset : w.offset+size] {
		length = length<<8 | int(c)
	}
	w.offset += size
	return length
}

// skip moves past the n remaining bytes of a value. It returns false if fewer bytes are left.
func (w *messageWalker) skip(n int) bool {
	if !w.hasBytes(n) {
		return false
	}
	w.offset += n
	return true
}

// enter descends to the n elements of a list, or the n keys and values of a map. It returns false if the
// nesting is too deep, or if fewer than n bytes are left, since each element takes at least one byte.
func (w *messageWalker) enter(n int) bool {
	if !w.hasBytes(n) || w.depth+1 >= maxNesting {
		return false
	}
	w.depth++
	w.remaining[w.depth] = n
	return true
}
