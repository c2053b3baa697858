package main

import (
	"encoding/binary"
	"errors"
	"math"
	"sort"
)

// object is a MessagePack map keyed by text.
type object = map[string]any

var errMalformed = errors.New("malformed MessagePack")

// encode returns the MessagePack form of a value that consists of maps, lists, texts, numbers, booleans and nil.
func encode(v any) []byte { return appendValue(nil, v) }

func appendValue(b []byte, v any) []byte {
	switch x := v.(type) {
	case nil:
		return append(b, 0xc0)
	case bool:
		if x {
			return append(b, 0xc3)
		}
		return append(b, 0xc2)
	case int:
		return appendInt(b, int64(x))
	case int64:
		return appendInt(b, x)
	case uint64:
		return appendUint(b, x)
	case float64:
		return binary.BigEndian.AppendUint64(append(b, 0xcb), math.Float64bits(x))
	case string:
		return append(appendLength(b, len(x), 0xa0, 31, 0xd9, 0xda, 0xdb), x...)
	case []string:
		b = appendLength(b, len(x), 0x90, 15, 0, 0xdc, 0xdd)
		for _, s := range x {
			b = appendValue(b, s)
		}
		return b
	case []any:
		b = appendLength(b, len(x), 0x90, 15, 0, 0xdc, 0xdd)
		for _, element := range x {
			b = appendValue(b, element)
		}
		return b
	case object:
		keys := make([]string, 0, len(x))
		for key := range x {
			keys = append(keys, key)
		}
		sort.Strings(keys)
		b = appendLength(b, len(x), 0x80, 15, 0, 0xde, 0xdf)
		for _, key := range keys {
			b = appendValue(appendValue(b, key), x[key])
		}
		return b
	}
	panic("a value of this type has no MessagePack form here")
}

func appendInt(b []byte, x int64) []byte {
	if x >= 0 {
		return appendUint(b, uint64(x))
	}
	if x >= -32 {
		return append(b, byte(x))
	}
	return binary.BigEndian.AppendUint64(append(b, 0xd3), uint64(x))
}

func appendUint(b []byte, x uint64) []byte {
	switch {
	case x < 128:
		return append(b, byte(x))
	case x < 1<<16:
		return binary.BigEndian.AppendUint16(append(b, 0xcd), uint16(x))
	case x < 1<<32:
		return binary.BigEndian.AppendUint32(append(b, 0xce), uint32(x))
	}
	return binary.BigEndian.AppendUint64(append(b, 0xcf), x)
}

// appendLength appends the header of a text, list or map: its short form up to a length, or the form with a length
// field of 1, 2 or 4 bytes. A form of 0 doesn't exist.
func appendLength(b []byte, n int, short byte, shortMax int, one, two, four byte) []byte {
	switch {
	case n <= shortMax:
		return append(b, short|byte(n))
	case one != 0 && n < 1<<8:
		return append(b, one, byte(n))
	case n < 1<<16:
		return binary.BigEndian.AppendUint16(append(b, two), uint16(n))
	}
	return binary.BigEndian.AppendUint32(append(b, four), uint32(n))
}

// decode decodes one value. Integers become int64, or uint64 above the range of int64.
func decode(b []byte) (any, error) {
	d := decoder{b}
	v, err := d.value(0)
	if err != nil || len(d.rest) > 0 {
		return nil, errMalformed
	}
	return v, nil
}

// decodeObject decodes a map.
func decodeObject(b []byte) (object, error) {
	v, err := decode(b)
	m, ok := v.(object)
	if err != nil || !ok {
		return nil, errMalformed
	}
	return m, nil
}

type decoder struct{ rest []byte }

func (d *decoder) take(n int) ([]byte, error) {
	if n < 0 || len(d.rest) < n {
		return nil, errMalformed
	}
	taken := d.rest[:n]
	d.rest = d.rest[n:]
	return taken, nil
}

func (d *decoder) uint(size int) (uint64, error) {
	field, err := d.take(size)
	n := uint64(0)
	for _, c := range field {
		n = n<<8 | uint64(c)
	}
	return n, err
}

func (d *decoder) value(depth int) (any, error) {
	head, err := d.take(1)
	if err != nil || depth > 40 {
		return nil, errMalformed
	}
	c := head[0]
	switch {
	case c < 0x80:
		return int64(c), nil
	case c >= 0xe0:
		return int64(int8(c)), nil
	case c < 0x90:
		return d.mapOf(int(c&15), depth)
	case c < 0xa0:
		return d.listOf(int(c&15), depth)
	case c < 0xc0:
		return d.text(int(c & 31))
	}
	switch c {
	case 0xc0:
		return nil, nil
	case 0xc2, 0xc3:
		return c == 0xc3, nil
	case 0xca:
		n, err := d.uint(4)
		return float64(math.Float32frombits(uint32(n))), err
	case 0xcb:
		n, err := d.uint(8)
		return math.Float64frombits(n), err
	case 0xcc, 0xcd, 0xce, 0xcf:
		n, err := d.uint(1 << (c - 0xcc))
		if n > math.MaxInt64 {
			return n, err
		}
		return int64(n), err
	case 0xd0, 0xd1, 0xd2, 0xd3:
		size := 1 << (c - 0xd0)
		n, err := d.uint(size)
		shift := 64 - 8*size
		return int64(n<<shift) >> shift, err
	case 0xd9, 0xda, 0xdb:
		n, err := d.uint(1 << (c - 0xd9))
		if err != nil {
			return nil, err
		}
		return d.text(int(n))
	case 0xdc, 0xdd:
		n, err := d.uint(2 << (c - 0xdc))
		if err != nil {
			return nil, err
		}
		return d.listOf(int(n), depth)
	case 0xde, 0xdf:
		n, err := d.uint(2 << (c - 0xde))
		if err != nil {
			return nil, err
		}
		return d.mapOf(int(n), depth)
	}
	return nil, errMalformed
}

func (d *decoder) text(n int) (any, error) {
	b, err := d.take(n)
	return string(b), err
}

func (d *decoder) listOf(n, depth int) (any, error) {
	if n > len(d.rest) {
		return nil, errMalformed
	}
	list := make([]any, 0, n)
	for range n {
		v, err := d.value(depth + 1)
		if err != nil {
			return nil, err
		}
		list = append(list, v)
	}
	return list, nil
}

func (d *decoder) mapOf(n, depth int) (any, error) {
	if n > len(d.rest) {
		return nil, errMalformed
	}
	m := object{}
	for range n {
		key, err := d.value(depth + 1)
		if err != nil {
			return nil, err
		}
		name, ok := key.(string)
		if !ok {
			return nil, errMalformed
		}
		if m[name], err = d.value(depth + 1); err != nil {
			return nil, err
		}
	}
	return m, nil
}

// The following functions read a field of a map; a missing field, or one of another type, is the zero value.

func textOf(m object, key string) string { s, _ := m[key].(string); return s }

func listField(m object, key string) []any { l, _ := m[key].([]any); return l }

func flag(m object, key string) bool { b, _ := m[key].(bool); return b }

func uintOf(m object, key string) uint64 {
	switch x := m[key].(type) {
	case int64:
		return uint64(x)
	case uint64:
		return x
	}
	return 0
}

func numberOf(m object, key string) float64 {
	switch x := m[key].(type) {
	case int64:
		return float64(x)
	case uint64:
		return float64(x)
	case float64:
		return x
	}
	return 0
}

func textsOf(m object, key string) []string {
	var texts []string
	for _, v := range listField(m, key) {
		if s, ok := v.(string); ok {
			texts = append(texts, s)
		}
	}
	return texts
}
