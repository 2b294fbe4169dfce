package peer

import (
	"errors"
	"fmt"
)

// What the elements of a gob value take once decoded, besides the bytes of strings and byte slices.
const (
	// structBytes is at least the size of any struct in a call. See TestStructsAreNotLargerThanCounted.
	structBytes = 320
	// mapEntryBytes is the size of an entry of a map besides that of a struct in it, with what the map keeps free.
	mapEntryBytes = 96
	// elementBytes is the size of an element of a slice that is no struct.
	elementBytes = 24
)

const (
	// maxDefinitionBytes limits the definitions of types on a connection, which the decoder keeps. Those of all calls
	// are some kilobytes.
	maxDefinitionBytes = 64 << 10
	// maxGobDepth limits how deep values are nested.
	maxGobDepth = 32
)

var (
	errGobMalformed    = errors.New("malformed gob message")
	errGobDefinitions  = errors.New("too many definitions of types")
	errGobTooDeep      = errors.New("gob value is nested too deep")
	errGobElementCount = errors.New("gob value with more elements than bytes")
)

// gobKind is the kind of a gob type.
type gobKind int

// Kinds of types. The others are numbers or are encoded as bytes.
const (
	gobNumber gobKind = iota
	gobBytes
	gobComplex
	gobArray
	gobSlice
	gobStruct
	gobMap
)

// gobType is a type that is defined by gob itself or by the other side of a connection.
type gobType struct {
	kind gobKind
	// key and elem are the IDs of the types of keys and elements, and fields those of fields.
	key, elem int64
	fields    []int64
}

// builtinGobTypes are the types with fixed IDs, from 1. Interfaces are not among them: no call has any.
var builtinGobTypes = [...]gobType{
	1: {kind: gobNumber}, 2: {kind: gobNumber}, 3: {kind: gobNumber}, 4: {kind: gobNumber},
	5: {kind: gobBytes}, 6: {kind: gobBytes}, 7: {kind: gobComplex},
}

// gobScanner determines what the messages of a gob stream take when they are decoded. The decoder allocates slices and
// maps of the sizes that a message states, and an element may be encoded in one byte.
type gobScanner struct {
	types           map[int64]*gobType
	definitionBytes int
}

// scan returns the bytes that a message takes once decoded, besides those of its strings and byte slices.
func (s *gobScanner) scan(message []byte) (cost int, err error) {
	c := gobCursor{rest: message}
	id := c.int()
	if id < 0 {
		return 0, s.define(-id, &c, len(message))
	}
	t, ok := s.lookup(id)
	if !ok {
		return 0, fmt.Errorf("%w: unknown type %d", errGobMalformed, id)
	}
	if t.kind != gobStruct && c.uint() != 0 {
		c.fail(errGobMalformed)
	}
	s.value(&c, t, 0)
	if c.err == nil && len(c.rest) > 0 {
		c.fail(errGobMalformed)
	}
	return c.cost, c.err
}

func (s *gobScanner) lookup(id int64) (*gobType, bool) {
	if id > 0 && id < int64(len(builtinGobTypes)) {
		return &builtinGobTypes[id], true
	}
	t, ok := s.types[id]
	return t, ok
}

// define adds a definition of a type.
func (s *gobScanner) define(id int64, c *gobCursor, length int) error {
	s.definitionBytes += length
	if s.definitionBytes > maxDefinitionBytes {
		return errGobDefinitions
	}
	t := c.definition()
	if c.err != nil {
		return c.err
	}
	if s.types == nil {
		s.types = map[int64]*gobType{}
	}
	s.types[id] = &t
	return nil
}

// value skips a value and adds its cost.
func (s *gobScanner) value(c *gobCursor, t *gobType, depth int) {
	if depth > maxGobDepth {
		c.fail(errGobTooDeep)
	}
	if c.err != nil {
		return
	}
	switch t.kind {
	case gobNumber:
		c.uint()
	case gobBytes:
		c.skip(c.uint())
	case gobComplex:
		c.uint()
		c.uint()
	case gobStruct:
		s.structValue(c, t, depth)
	case gobArray, gobSlice:
		s.elements(c, t, elementBytes, depth)
	case gobMap:
		s.elements(c, t, mapEntryBytes, depth)
	}
}

func (s *gobScanner) structValue(c *gobCursor, t *gobType, depth int) {
	c.cost += structBytes
	for field, ok := c.nextField(-1); ok; field, ok = c.nextField(field) {
		if field >= len(t.fields) {
			c.fail(errGobMalformed)
			return
		}
		s.valueOf(c, t.fields[field], depth+1)
	}
}

// elements skips the elements of an array, a slice or a map, each of which costs some bytes.
func (s *gobScanner) elements(c *gobCursor, t *gobType, cost int, depth int) {
	n := c.uint()
	if n > uint64(len(c.rest)) {
		c.fail(errGobElementCount)
		return
	}
	c.cost += int(n) * cost
	for range n {
		if t.kind == gobMap {
			s.valueOf(c, t.key, depth+1)
		}
		s.valueOf(c, t.elem, depth+1)
		if c.err != nil {
			return
		}
	}
}

func (s *gobScanner) valueOf(c *gobCursor, id int64, depth int) {
	t, ok := s.lookup(id)
	if !ok {
		c.fail(errGobMalformed)
		return
	}
	s.value(c, t, depth)
}

// gobCursor reads the parts of a message. After an error it returns zero values.
type gobCursor struct {
	rest []byte
	cost int
	err  error
}

func (c *gobCursor) fail(err error) {
	if c.err == nil {
		c.err = err
	}
	c.rest = nil
}

// gobUintBytes returns how many bytes of a number follow its first one.
func gobUintBytes(first byte) int {
	const oneByte = 0x80
	if first < oneByte {
		return 0
	}
	return 256 - int(first)
}

func (c *gobCursor) uint() uint64 {
	if len(c.rest) == 0 {
		c.fail(errGobMalformed)
		return 0
	}
	first := c.rest[0]
	n := gobUintBytes(first)
	const maxBytes = 8
	if n > maxBytes || n >= len(c.rest) {
		c.fail(errGobMalformed)
		return 0
	}
	if n == 0 {
		c.rest = c.rest[1:]
		return uint64(first)
	}
	var x uint64
	for _, b := range c.rest[1 : 1+n] {
		x = x<<8 | uint64(b)
	}
	c.rest = c.rest[1+n:]
	return x
}

func (c *gobCursor) int() int64 {
	x := c.uint()
	if x&1 != 0 {
		return ^int64(x >> 1)
	}
	return int64(x >> 1)
}

func (c *gobCursor) skip(n uint64) {
	if n > uint64(len(c.rest)) {
		c.fail(errGobMalformed)
		return
	}
	c.rest = c.rest[n:]
}

// nextField returns the number of the field that follows another one, at first -1, in a struct value. It returns false at
// the end of the struct.
func (c *gobCursor) nextField(field int) (next int, ok bool) {
	delta := c.uint()
	const maxFields = 1 << 16
	if delta > maxFields || field > maxFields {
		c.fail(errGobMalformed)
	}
	return field + int(delta), c.err == nil && delta != 0
}

// fields calls f for each field that a struct value has, with its number.
func (c *gobCursor) fields(f func(field int)) {
	for field, ok := c.nextField(-1); ok; field, ok = c.nextField(field) {
		f(field)
	}
}

// definition reads the definition of a type. The numbers of fields are those of the structs that gob describes types
// with: each begins with a struct of the type's name and ID.
func (c *gobCursor) definition() (t gobType) {
	kinds := []gobKind{gobArray, gobSlice, gobStruct, gobMap, gobBytes, gobBytes, gobBytes}
	c.fields(func(kind int) {
		if kind >= len(kinds) {
			c.fail(errGobMalformed)
			return
		}
		t.kind = kinds[kind]
		c.fields(func(field int) {
			switch {
			case field == 0:
				c.nameAndID()
			case t.kind == gobStruct && field == 1:
				n := c.uint()
				if n > uint64(len(c.rest)) {
					c.fail(errGobElementCount)
					return
				}
				for range n {
					t.fields = append(t.fields, c.nameAndID())
				}
			case t.kind == gobMap && field == 1:
				t.key = c.int()
			case t.kind == gobMap && field == 2, field == 1:
				t.elem = c.int()
			default:
				// The length of an array.
				c.int()
			}
		})
	})
	return t
}

// nameAndID reads a struct of a name and the ID of a type.
func (c *gobCursor) nameAndID() (id int64) {
	c.fields(func(field int) {
		if field == 0 {
			c.skip(c.uint())
			return
		}
		id = c.int()
	})
	return id
}
