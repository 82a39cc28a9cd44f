package gateway

import (
	"bytes"
	"context"
	cryptorand "crypto/rand"
	"encoding/hex"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/lycheekeel/lycheekeel/internal/wait"
	"github.com/lycheekeel/lycheekeel/objectstore"
)

// The object that holds the cluster key, in a kind of this project's own.
const (
	kindCluster    objectstore.Kind = "lycheekeel-cluster"
	clusterKeyName string           = "key"
	// clusterKeyBytes is the length of the key, which is random so that it can't be guessed.
	clusterKeyBytes int = 24
)

// clusterKeyRecord is the object's value.
type clusterKeyRecord struct {
	Key string `json:"key"`
}

// keyCreateJitter spreads the creation of a missing key: one daemon creates it, and most
// of the others find it on their next read. Only the first start of a system waits for it.
const keyCreateJitter = 500 * time.Millisecond

// keyPutBackTimeout is how long a daemon that starts waits for a running one to put back a key
// that a restored store has lost. A daemon that made another key would found a second system
// beside the first, with pools and quotas of its own.
const keyPutBackTimeout = 3 * time.Second

// keyCallTimeout bounds a look for the key in the store.
const keyCallTimeout = 2 * time.Second

// clusterKeyStore is the part of the store that holds the cluster key.
type clusterKeyStore struct {
	objectstore.ObjectAPI
	objectstore.StaleReader
}

// clusterKey returns the key by which daemons authenticate each other. The first
// daemon creates it: whoever can read the store belongs to the system. It retries
// until it has the key or ctx ends.
func clusterKey(ctx context.Context, store clusterKeyStore, log *logrus.Entry) ([]byte, error) {
	logged, start := false, time.Now()
	for ctx.Err() == nil {
		key, err := store.find(ctx, time.Since(start))
		if err == nil {
			return key, nil
		}
		if !logged {
			log.WithError(err).Warn("No cluster key yet.")
			logged = true
		}
		wait.For(ctx, storeRetryDelay)
	}
	return nil, ctx.Err()
}

// errKeyLost: the store has no key, and may have lost it when it was restored from a backup.
var errKeyLost = errors.New("no cluster key in a store that may have been restored")

// find reads the key, or creates it if there is none. The key never changes, so a stale
// read suffices; it costs less, and all daemons may start at once. A stale read that
// finds no key does not prove that there is none. waited is how long the caller has looked for
// the key.
func (s clusterKeyStore) find(ctx context.Context, waited time.Duration) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, keyCallTimeout)
	defer cancel()
	o, err := s.GetStale(ctx, kindCluster, clusterKeyName)
	if errors.Is(err, objectstore.ErrNotFound) {
		wait.For(ctx, rand.N(keyCreateJitter))
		return s.getOrCreate(ctx, waited)
	}
	if err != nil {
		return nil, err
	}
	return decodeKey(o)
}

func (s clusterKeyStore) getOrCreate(ctx context.Context, waited time.Duration) ([]byte, error) {
	l, err := s.List(ctx, kindCluster, "")
	if err != nil {
		return nil, err
	}
	for _, o := range l.Objects {
		if o.Name == clusterKeyName {
			return decodeKey(o)
		}
	}
	if l.Version.Era() > 0 && waited < keyPutBackTimeout {
		return nil, errKeyLost
	}
	return createKey(ctx, s)
}

func decodeKey(o objectstore.Object) ([]byte, error) {
	var r clusterKeyRecord
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return nil, errors.Wrap(err, "decode cluster key")
	}
	return hex.DecodeString(r.Key)
}

// createKey creates the key. After any error the caller reads again, since the store may
// hold another daemon's key, or this one if only the answer was lost.
func createKey(ctx context.Context, store objectstore.ObjectAPI) ([]byte, error) {
	key := make([]byte, clusterKeyBytes)
	if _, err := cryptorand.Read(key); err != nil {
		return nil, errors.Wrap(err, "generate cluster key")
	}
	if err := writeKey(ctx, store, key); err != nil {
		return nil, err
	}
	return key, nil
}

// writeKey writes a key if the store has none.
func writeKey(ctx context.Context, store objectstore.ObjectAPI, key []byte) error {
	value, err := json.Marshal(clusterKeyRecord{Key: hex.EncodeToString(key)})
	if err != nil {
		return errors.Wrap(err, "encode cluster key")
	}
	_, err = store.Create(ctx, kindCluster, clusterKeyName, value)
	return errors.WithMessage(err, "create cluster key")
}

// keyPutBackSpread spreads the daemons that look whether the key has to be put back. Readers,
// which notice first, do not wait.
const keyPutBackSpread = time.Second

// keyKeeper puts the cluster key back when the store has lost it.
type keyKeeper struct {
	store    clusterKeyStore
	key      []byte
	isReader func() bool
	// lost has a value when the store may have lost the key.
	lost <-chan struct{}
	log  *logrus.Entry
}

// run puts the key back whenever that is due, until ctx ends.
func (k *keyKeeper) run(ctx context.Context) {
	for {
		select {
		case <-k.lost:
		case <-ctx.Done():
			return
		}
		if !k.isReader() {
			wait.For(ctx, rand.N(keyPutBackSpread))
		}
		for ctx.Err() == nil && !k.putBack(ctx) {
			wait.For(ctx, storeRetryDelay)
		}
	}
}

// putBack writes the key unless the store has one, and reports whether it is known to have one.
func (k *keyKeeper) putBack(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, keyCallTimeout)
	defer cancel()
	o, err := k.store.Get(ctx, kindCluster, clusterKeyName)
	if errors.Is(err, objectstore.ErrNotFound) {
		err = writeKey(ctx, k.store, k.key)
		if err == nil {
			k.log.Warn("Cluster key put back.")
		}
		return err == nil
	}
	if err != nil {
		return false
	}
	if known, err := decodeKey(o); err != nil || !bytes.Equal(known, k.key) {
		k.log.WithError(err).Error("The store has another cluster key: daemons that start now don't find this one.")
	}
	return true
}
