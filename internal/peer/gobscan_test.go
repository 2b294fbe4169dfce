package peer

import (
	"bytes"
	"encoding/gob"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
	"github.com/hornbeamsill/hornbeamsill/internal/member"
)

// scanAll scans the messages of a gob stream.
func scanAll(s *gobScanner, stream []byte) (cost int, err error) {
	for len(stream) > 0 && err == nil {
		c := gobCursor{rest: stream}
		length := int(c.uint())
		var one int
		one, err = s.scan(c.rest[:length])
		cost, stream = cost+one, c.rest[length:]
	}
	return cost, err
}

// argumentTypes returns the types of the arguments of a net/rpc service, and replyTypes those of its replies.
func argumentTypes(service any) (out []reflect.Type) {
	t := reflect.TypeOf(service)
	for i := range t.NumMethod() {
		out = append(out, t.Method(i).Type.In(1))
	}
	return out
}

func replyTypes(service any) (out []reflect.Type) {
	t := reflect.TypeOf(service)
	for i := range t.NumMethod() {
		out = append(out, t.Method(i).Type.In(2).Elem())
	}
	return out
}

// fill sets all that a value consists of, with slices and maps of one element.
func fill(v reflect.Value, depth int) {
	if depth > maxGobDepth/2 || !v.CanSet() {
		return
	}
	switch v.Kind() {
	case reflect.Pointer:
		v.Set(reflect.New(v.Type().Elem()))
		fill(v.Elem(), depth+1)
	case reflect.Struct:
		for i := range v.NumField() {
			fill(v.Field(i), depth+1)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 1, 1))
		fill(v.Index(0), depth+1)
	case reflect.Array:
		for i := range v.Len() {
			fill(v.Index(i), depth+1)
		}
	case reflect.Map:
		key, elem := reflect.New(v.Type().Key()).Elem(), reflect.New(v.Type().Elem()).Elem()
		fill(key, depth+1)
		fill(elem, depth+1)
		v.Set(reflect.MakeMap(v.Type()))
		v.SetMapIndex(key, elem)
	case reflect.String:
		v.SetString("text")
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Float64:
		v.SetFloat(0.5)
	default:
		if v.CanInt() {
			v.SetInt(100)
		} else if v.CanUint() {
			v.SetUint(200)
		}
	}
}

// Guards against calls of daemons, and replies, that are refused because their encoding is not understood.
func TestAllCallsAreScanned(t *testing.T) {
	for _, service := range []any{&service{}, &routesService{}} {
		for _, types := range [][]reflect.Type{argumentTypes(service), replyTypes(service)} {
			var stream bytes.Buffer
			encoder, scanner := gob.NewEncoder(&stream), gobScanner{}
			for _, typ := range types {
				for _, filled := range []bool{true, false} {
					v := reflect.New(typ).Elem()
					if filled {
						fill(v, 0)
					}
					require.NoError(t, encoder.EncodeValue(v))
					cost, err := scanAll(&scanner, stream.Bytes())
					require.NoError(t, err, "%v", typ)
					require.Less(t, cost, smallMessage, "%v", typ)
					stream.Reset()
				}
			}
			require.Less(t, 2*scanner.definitionBytes, maxDefinitionBytes)
		}
	}
}

// Guards against structs in calls that are larger than what an element counts.
func TestStructsAreNotLargerThanCounted(t *testing.T) {
	seen := map[reflect.Type]bool{}
	var check func(reflect.Type)
	check = func(typ reflect.Type) {
		if seen[typ] {
			return
		}
		seen[typ] = true
		switch typ.Kind() {
		case reflect.Pointer, reflect.Slice, reflect.Array:
			check(typ.Elem())
		case reflect.Map:
			check(typ.Key())
			check(typ.Elem())
		case reflect.Struct:
			for i := range typ.NumField() {
				check(typ.Field(i).Type)
			}
		}
		switch typ.Kind() {
		case reflect.Slice, reflect.Map:
			require.LessOrEqual(t, int(typ.Elem().Size()), structBytes, "%v", typ)
		}
	}
	for _, service := range []any{&service{}, &routesService{}} {
		for _, argument := range argumentTypes(service) {
			check(argument)
		}
	}
}

// Guards against messages that take many times their length once decoded, and against those that crash the scanner.
func TestGobScannerCountsElements(t *testing.T) {
	count := func(v any) int {
		var s gobScanner
		cost, err := scanAll(&s, []byte(encoded(t, v)))
		require.NoError(t, err)
		return cost
	}
	const n = 10_000
	require.GreaterOrEqual(t, count(RoutesHeartbeat{News: make([]member.Daemon, n)}), n*structBytes)
	require.GreaterOrEqual(t, count(ReachRequest{Instances: make([]string, n)}), n*elementBytes)
	ended := map[inventory.InstanceHash]time.Duration{}
	for i := range n {
		ended[inventory.InstanceHash(i)] = 1
	}
	require.GreaterOrEqual(t, count(QuarantineEvidenceRequest{Ended: ended}), n*mapEntryBytes)
	// The bytes of strings and byte slices are those of the message.
	require.Less(t, count(StoreUpdate{Manifest: make([]byte, 1<<20)}), smallMessage)
}

// Guards against malformed messages that are accepted, or that crash the daemon.
func TestMalformedMessagesAreRefused(t *testing.T) {
	const digests = "\x03\x04\x00"
	for name, c := range map[string]struct {
		message string
		err     error
	}{
		"empty":             {"", errGobMalformed},
		"unknown type":      {"\xff\xc0\x00", errGobMalformed},
		"half a number":     {"\xf8\x01", errGobMalformed},
		"long number":       {"\x80" + strings.Repeat("\x01", 200), errGobMalformed},
		"string too long":   {"\x0c\x00\xfc\x7f\xff\xff\xff", errGobMalformed},
		"bytes after it":    {"\x04\x00\x01\x01", errGobMalformed},
		"unknown kind":      {"\xff\x81\x09\x01" + digests, errGobMalformed},
		"too many fields":   {"\xff\x81\x03\x01\x01\x01a\x00\x01\xfc\x7f\xff\xff\xff", errGobElementCount},
		"large field delta": {"\xff\x81\xf8\x7f\xff\xff\xff\xff\xff\xff\xff", errGobMalformed},
	} {
		t.Run(name, func(t *testing.T) {
			var s gobScanner
			_, err := s.scan([]byte(c.message))
			require.ErrorIs(t, err, c.err)
		})
	}
	t.Run("count without elements", func(t *testing.T) {
		stream := []byte(encoded(t, []string{"a", "b", "c"}))
		stream[len(stream)-2*3-1] = 0x7f
		var s gobScanner
		_, err := scanAll(&s, stream)
		require.ErrorIs(t, err, errGobElementCount)
	})
	t.Run("nested without an end", func(t *testing.T) {
		type nested []nested
		// A type whose elements are of the same type.
		var v nested
		for range 2 * maxGobDepth {
			v = nested{v}
		}
		var s gobScanner
		_, err := scanAll(&s, []byte(encoded(t, v)))
		require.ErrorIs(t, err, errGobTooDeep)
	})
}

// FuzzGobScanner looks for messages that crash the scanner.
func FuzzGobScanner(f *testing.F) {
	f.Add([]byte("\xff\x81\x03\x01\x01\x01a\x00\x01\x02\x01\x01b\x01\x04\x00\x00\x00"), []byte("\xff\x82\x01\x02\x00"))
	f.Fuzz(func(_ *testing.T, definition, value []byte) {
		var s gobScanner
		_, _ = s.scan(definition)
		_, _ = s.scan(value)
	})
}
