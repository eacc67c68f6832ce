// Package tallytest measures messages in tests and benchmarks.
package tallytest

import "reflect"

// Size returns the length of v as the peer protocol encodes it: msgpack, with
// structs as arrays and numbers in their shortest form. Frames are not included.
func Size(v any) int { return sizeOf(reflect.ValueOf(v)) }

func sizeOf(v reflect.Value) int {
	switch v.Kind() {
	case reflect.Pointer, reflect.Interface:
		if v.IsNil() {
			return 1
		}
		return sizeOf(v.Elem())
	case reflect.Struct:
		n := headerSize(v.NumField())
		for i := range v.NumField() {
			n += sizeOf(v.Field(i))
		}
		return n
	case reflect.Slice:
		return sizeOfSlice(v)
	case reflect.String:
		return textHeaderSize(v.Len()) + v.Len()
	case reflect.Int, reflect.Int64:
		return sizeOfNumber(uint64(v.Int()))
	case reflect.Uint8, reflect.Uint32, reflect.Uint64:
		return sizeOfNumber(v.Uint())
	default:
		return 1
	}
}

func sizeOfSlice(v reflect.Value) int {
	if v.IsNil() {
		return 1
	}
	if v.Type().Elem().Kind() == reflect.Uint8 { // the shortest header of bytes has 2 bytes
		return max(2, textHeaderSize(v.Len())) + v.Len()
	}
	n := headerSize(v.Len())
	for i := range v.Len() {
		n += sizeOf(v.Index(i))
	}
	return n
}

func headerSize(elements int) int {
	if elements < 16 {
		return 1
	}
	return 3
}

func textHeaderSize(bytes int) int {
	switch {
	case bytes < 32:
		return 1
	case bytes < 256:
		return 2
	default:
		return 3
	}
}

func sizeOfNumber(n uint64) int {
	switch {
	case n < 128:
		return 1
	case n < 1<<8:
		return 2
	case n < 1<<16:
		return 3
	case n < 1<<32:
		return 5
	default:
		return 9
	}
}
