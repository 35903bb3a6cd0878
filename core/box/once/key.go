package once

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/google/uuid"

	"github.com/sprucecrank/sprucecrank/verdict"
)

// clientHashBytes is the length of the prefix of a client's hash that identifies
// the client in the keys of its records.
const clientHashBytes = 16

// CheckKey validates an Idempotency-Key: a UUIDv7 whose time is within the
// retention of records.
func CheckKey(now time.Time, key string) *verdict.Error {
	if key == "" {
		return verdict.New(verdict.NotRun, verdict.ReasonKeyMissing,
			"requests of this kind need an Idempotency-Key header with a UUIDv7")
	}
	id, err := uuid.Parse(key)
	if err != nil || id.Version() != 7 || id.String() != key {
		return verdict.New(verdict.NotRun, verdict.ReasonKeyInvalid,
			"the Idempotency-Key must be a UUIDv7 in its usual form, in lower case")
	}
	age := now.Sub(keyTime(id))
	if age < -ClockSkew {
		return verdict.New(verdict.NotRun, verdict.ReasonKeyInvalid, "the time in the Idempotency-Key lies in the future")
	}
	if age > Retention {
		return verdict.New(verdict.MayHaveRun, verdict.ReasonKeyExpired,
			"the Idempotency-Key is older than records are kept; whether it ran is no longer known")
	}
	return nil
}

func keyTime(id uuid.UUID) time.Time {
	sec, nsec := id.Time().UnixTime()
	return time.Unix(sec, nsec)
}

// Prefix is the key prefix of all records in the platform.
const Prefix = "once/"

// ObjectKey returns the object key of a record in the platform. The Idempotency-Key,
// which begins with its time, precedes the client, so that old records can be listed.
func ObjectKey(service, client, key string) string {
	sum := sha256.Sum256([]byte(client))
	return Prefix + service + "/" + key + "/" + hex.EncodeToString(sum[:clientHashBytes])
}

// bucketDigits is how many hexadecimal digits of a key's time identify a bucket.
const bucketDigits = 7

// BucketLength is the time span of one bucket of records.
const BucketLength = (1 << (4 * (12 - bucketDigits))) * time.Millisecond

// BucketPrefix is the key prefix of all records of a service whose Idempotency-Keys
// were created in the same time bucket as at.
func BucketPrefix(service string, at time.Time) string {
	digits := fmt.Sprintf("%012x", at.UnixMilli())[:bucketDigits]
	return Prefix + service + "/" + digits
}

// Fingerprint identifies the content of a request.
func Fingerprint(method, uri string, body []byte) string {
	h := sha256.New()
	_, _ = fmt.Fprintf(h, "%s %s %d\n", method, uri, len(body))
	_, _ = h.Write(body)
	return hex.EncodeToString(h.Sum(nil))
}
