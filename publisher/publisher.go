// Package publisher stores versioned documents in a register of package registrar. The document
// with the highest version takes effect.
//
// Operators may send the same version again, send versions out of order, and send several
// versions at the same time to several replicas. Publish returns nil once a majority of the
// replicas has stored the given version or a higher one; a version that is not higher than the
// stored one changes nothing, whatever its content. A version for which Publish returned nil is
// never replaced by a lower one. After an error the document may or may not have been stored.
//
// A Publisher is safe for concurrent use.
package publisher

import (
	"context"
	"encoding/binary"
	"fmt"
	"time"

	"sesamedrift.example/sesamedrift/registrar"
)

// versionBytes is the length of the version that precedes the content in a register value.
const versionBytes = 8

// Publisher publishes documents in one register.
type Publisher struct {
	registrar.Store
}

// Document is a versioned document. The zero value stands for no document.
type Document struct {
	// Version is 1 or higher; 0 stands for no document.
	Version uint64
	Content []byte
}

// Publish stores a document unless the same or a higher version is stored. The author is named in
// the audit trail. Publish returns the version that is stored afterwards. Errors are of type
// *registrar.UncertainError.
func (p *Publisher) Publish(ctx context.Context, now time.Time, author string, d Document) (stored uint64, err error) {
	what := fmt.Sprintf("document version %d is not known to be stored", d.Version)
	err = p.Update(ctx, now, author, what, func(entry registrar.Entry) ([]byte, error) {
		if stored = Decode(entry.Value).Version; stored >= d.Version {
			return nil, nil
		}
		stored = d.Version
		return Encode(d), nil
	})
	if err != nil {
		return 0, err
	}
	return stored, nil
}

// Newest returns the stored document by a majority read. Errors are of type *registrar.UncertainError.
func (p *Publisher) Newest(ctx context.Context, now time.Time) (Document, error) {
	entry, err := p.Store.Newest(ctx, now, "the newest document is not known")
	if err != nil {
		return Document{}, err
	}
	return Decode(entry.Value), nil
}

// Encode returns the register value of a document.
func Encode(d Document) []byte {
	value := make([]byte, versionBytes, versionBytes+len(d.Content))
	binary.BigEndian.PutUint64(value, d.Version)
	return append(value, d.Content...)
}

// Decode returns the document of a register value. A value that is too short to have a version
// holds no document. The content shares the memory of the value.
func Decode(value []byte) Document {
	if len(value) < versionBytes {
		return Document{}
	}
	return Document{
		Version: binary.BigEndian.Uint64(value),
		Content: value[versionBytes:],
	}
}
