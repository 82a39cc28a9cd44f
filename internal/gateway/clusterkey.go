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

// The object that holds the cluster key, in a kind of our own.
const (
	kindCluster    objectstore.Kind = "lycheekeel-cluster"
	clusterKeyName string           = "key"
	// clusterKeyBytes are random, so that nobody guesses a key.
	clusterKeyBytes int = 24
)

// clusterKeyRecord is the object's value.
type clusterKeyRecord struct {
	Key string `json:"key"`
}

// keyCreateJitter is over how long the daemons that find no key spread their next look:
// one of them makes it, and most of the others find it. Only the first start of a
// system waits for it.
const keyCreateJitter = 500 * time.Millisecond

// clusterKeyStore is where the cluster key is.
type clusterKeyStore struct {
	objectstore.ObjectAPI
	objectstore.StaleReader
}

// clusterKey returns the key by which daemons know each other. The first
// daemon makes it: whoever can read the store belongs to the system. It tries
// until it has one or ctx ends.
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

// find reads the key, or makes it where there is none. The key never changes, so
// that a stale read will do, which costs less: all daemons may start at once. A
// stale read that finds none says nothing.
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
		return nil, errors.Wrap(err, "decode the cluster key")
	}
	return hex.DecodeString(r.Key)
}

// createKey creates the key if it is absent. A create that fails in any way is
// settled by reading: another daemon's key, or our own, may be there.
func createKey(ctx context.Context, store objectstore.ObjectAPI) ([]byte, error) {
	key := make([]byte, clusterKeyBytes)
	if _, err := cryptorand.Read(key); err != nil {
		return nil, errors.Wrap(err, "make a cluster key")
	}
	value, err := json.Marshal(clusterKeyRecord{Key: hex.EncodeToString(key)})
	if err != nil {
		return nil, errors.Wrap(err, "encode the cluster key")
	}
	if _, err := store.Create(ctx, kindCluster, clusterKeyName, value); err != nil {
		return nil, errors.WithMessage(err, "create the cluster key")
	}
	return key, nil
}
