package ledger

import (
	"encoding/hex"
	"strconv"
	"strings"

	"cyclamenford/core"
)

const (
	uuidLength        = 36
	uuidVersionOffset = 14
	uuidTimeDigits    = 12
	minMillisDigits   = 13
	// MaxKeyBytes is the maximum length of an idempotency key.
	MaxKeyBytes = 128
)

var uuidHyphens = [...]int{8, 13, 18, 23}

// IssuedAt returns the Unix time in milliseconds that an idempotency key carries.
//
// A key is either a version 7 UUID, or 13 digits of Unix milliseconds followed by a hyphen and any text.
func IssuedAt(key string) (core.Millis, error) {
	if len(key) > MaxKeyBytes {
		return 0, core.NewFieldError("Idempotency-Key", len(key), "at most 128 bytes")
	}
	if isUUID(key) && key[uuidVersionOffset] == '7' {
		return uuidTime(key)
	}
	digits, rest, found := strings.Cut(key, "-")
	if !found || rest == "" || len(digits) != minMillisDigits {
		return 0, invalidKeyError(key)
	}
	ms, err := strconv.ParseInt(digits, 10, 64)
	if err != nil || ms < 0 {
		return 0, invalidKeyError(key)
	}
	return core.Millis(ms), nil
}

// isUUID reports whether the key has the length of a UUID and its hyphens; it does not check the digits.
func isUUID(key string) bool {
	if len(key) != uuidLength {
		return false
	}
	for _, at := range uuidHyphens {
		if key[at] != '-' {
			return false
		}
	}
	return true
}

// uuidTime returns the timestamp in the first 48 bits of a version 7 UUID.
func uuidTime(key string) (core.Millis, error) {
	raw, err := hex.DecodeString(strings.ReplaceAll(key, "-", ""))
	if err != nil || len(raw) != 16 {
		return 0, invalidKeyError(key)
	}
	ms := int64(0)
	for _, b := range raw[:uuidTimeDigits/2] {
		ms = ms<<8 | int64(b)
	}
	return core.Millis(ms), nil
}

func invalidKeyError(key string) error {
	return core.NewFieldError("Idempotency-Key", key, "a UUID of version 7, or UNIXMILLISECONDS-TEXT")
}
