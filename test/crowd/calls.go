package crowd

import (
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"math/bits"
	"net/rpc"
	"reflect"
	"slices"
	"strconv"
)

// CallHeader returns the header of a call of net/rpc. A body must follow.
func CallHeader(method string) string {
	var b bytes.Buffer
	// A bytes.Buffer accepts all that is written.
	_ = gob.NewEncoder(&b).Encode(rpc.Request{ServiceMethod: method, Seq: 1})
	return b.String()
}

// Call returns a whole call of net/rpc.
func Call(method string, body any) string { return CallAgain(method, body, 1) }

// CallAgain returns the given number of equal calls of net/rpc on one connection.
func CallAgain(method string, body any, times int) string {
	var b bytes.Buffer
	encoder := gob.NewEncoder(&b)
	for seq := range times {
		_ = encoder.Encode(rpc.Request{ServiceMethod: method, Seq: uint64(seq + 1)})
		_ = encoder.Encode(body)
	}
	return b.String()
}

// CallAndUnfinished returns a whole call of net/rpc and another one that lacks the end of its body.
func CallAndUnfinished(method string, body any) string {
	calls := CallAgain(method, body, 2)
	return calls[:len(calls)-1]
}

// UnfinishedValue returns the beginning of a gob value of the given length.
func UnfinishedValue(declared, sent int) string {
	return string(gobUint(uint64(declared))) + string(make([]byte, sent))
}

// TypeDefinitions returns the given number of bytes of definitions of gob types that no value follows. Each of them
// has very many fields with short names.
func TypeDefinitions(length int) string {
	const fields, firstID = 2000, 100
	var structFields []reflect.StructField
	for n := range fields {
		structFields = append(structFields, reflect.StructField{Name: "A" + strconv.FormatInt(int64(n), 36), Type: reflect.TypeFor[bool]()})
	}
	var b bytes.Buffer
	_ = gob.NewEncoder(&b).EncodeValue(reflect.Zero(reflect.StructOf(structFields)))
	size, n := readGobUint(b.Bytes())
	message := b.Bytes()[n : n+int(size)]
	_, n = readGobUint(message)
	definition := message[n:]
	var out bytes.Buffer
	for id := uint64(firstID); out.Len() < length; id++ {
		// gob writes a negative number n as the complement of n, shifted, with the lowest bit set.
		negative := gobUint((id-1)<<1 | 1)
		out.Write(gobUint(uint64(len(negative) + len(definition))))
		out.Write(negative)
		out.Write(definition)
	}
	return out.String()
}

// CallWithMap returns a whole call of net/rpc whose body is a struct with a map, as the first field, that states the
// given number of entries and has one.
func CallWithMap(method, field string, stated int) string {
	var b bytes.Buffer
	encoder := gob.NewEncoder(&b)
	_ = encoder.Encode(rpc.Request{ServiceMethod: method, Seq: 1})
	body := reflect.New(reflect.StructOf([]reflect.StructField{{Name: field, Type: reflect.TypeFor[map[uint64]int64]()}})).Elem()
	body.Field(0).Set(reflect.ValueOf(map[uint64]int64{1: 1}))
	start := b.Len()
	_ = encoder.EncodeValue(body)
	// The value is the last message. It ends with the number of entries, the entry and the end of the struct.
	const entryBytes = 3
	messages := b.Bytes()
	for {
		size, n := readGobUint(messages[start:])
		if start+n+int(size) == len(messages) {
			value := messages[start+n : len(messages)-entryBytes-1]
			value = slices.Concat(value, gobUint(uint64(stated)), messages[len(messages)-entryBytes:])
			return string(slices.Concat(messages[:start], gobUint(uint64(len(value))), value))
		}
		start += n + int(size)
	}
}

// gobUint returns the gob encoding of a number: one byte, or the complement of the number of bytes and the bytes.
func gobUint(x uint64) []byte {
	const oneByte = 0x7f
	if x <= oneByte {
		return []byte{byte(x)}
	}
	length := (bits.Len64(x) + 7) / 8
	all := binary.BigEndian.AppendUint64(nil, x)
	return append([]byte{byte(256 - length)}, all[len(all)-length:]...)
}

// readGobUint returns the number at the beginning of p and the length of its encoding.
func readGobUint(p []byte) (x uint64, length int) {
	if p[0] < 0x80 {
		return uint64(p[0]), 1
	}
	length = 256 - int(p[0])
	for _, b := range p[1 : 1+length] {
		x = x<<8 | uint64(b)
	}
	return x, 1 + length
}
