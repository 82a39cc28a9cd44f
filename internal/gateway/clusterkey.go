package gateway

import (
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

// clusterKeyStore is the part of the store that holds the cluster key.
type clusterKeyStore struct {
	objectstore.ObjectAPI
	objectstore.StaleReader
}

// clusterKey returns the key by which daemons authenticate each other. The first
// daemon creates it: whoever can read the store belongs to the system. It retries
// until it has the key or ctx ends.
func clusterKey(ctx context.Context, store clusterKeyStore, log *logrus.Entry) ([]byte, error) {
	logged := false
	for ctx.Err() == nil {
		key, err := store.find(ctx)
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

// find reads the key, or creates it if there is none. The key never changes, so a stale
// read suffices; it costs less, and all daemons may start at once. A stale read that
// finds no key does not prove that there is none.
func (s clusterKeyStore) find(ctx context.Context) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	o, err := s.GetStale(ctx, kindCluster, clusterKeyName)
	if errors.Is(err, objectstore.ErrNotFound) {
		wait.For(ctx, rand.N(keyCreateJitter))
		return s.getOrCreate(ctx)
	}
	if err != nil {
		return nil, err
	}
	return decodeKey(o)
}

func (s clusterKeyStore) getOrCreate(ctx context.Context) ([]byte, error) {
	o, err := s.Get(ctx, kindCluster, clusterKeyName)
	if errors.Is(err, objectstore.ErrNotFound) {
		return createKey(ctx, s)
	}
	if err != nil {
		return nil, err
	}
	return decodeKey(o)
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
	value, err := json.Marshal(clusterKeyRecord{Key: hex.EncodeToString(key)})
	if err != nil {
		return nil, errors.Wrap(err, "encode cluster key")
	}
	if _, err := store.Create(ctx, kindCluster, clusterKeyName, value); err != nil {
		return nil, errors.WithMessage(err, "create cluster key")
	}
	return key, nil
}
