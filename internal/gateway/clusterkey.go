package gateway

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
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

// clusterKey returns the key by which daemons know each other. The first
// daemon makes it: whoever can read the store belongs to the system. It tries
// until it has one or ctx ends.
func clusterKey(ctx context.Context, store objectstore.ObjectAPI, log *logrus.Entry) ([]byte, error) {
	told := false
	for ctx.Err() == nil {
		key, err := readOrMakeKey(ctx, store)
		if err == nil {
			return key, nil
		}
		if !told {
			log.WithError(err).Warn("No cluster key yet.")
			told = true
		}
		wait.For(ctx, retryEvery)
	}
	return nil, ctx.Err()
}

func readOrMakeKey(ctx context.Context, store objectstore.ObjectAPI) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, 2*time.Second)
	defer cancel()
	o, err := store.Get(ctx, kindCluster, clusterKeyName)
	if errors.Is(err, objectstore.ErrNotFound) {
		return makeKey(ctx, store)
	}
	if err != nil {
		return nil, err
	}
	var r clusterKeyRecord
	if err := json.Unmarshal(o.Value, &r); err != nil {
		return nil, errors.Wrap(err, "decode the cluster key")
	}
	return hex.DecodeString(r.Key)
}

// makeKey creates the key if it is absent. A create that fails in any way is
// settled by reading: another daemon's key, or our own, may be there.
func makeKey(ctx context.Context, store objectstore.ObjectAPI) ([]byte, error) {
	key := make([]byte, clusterKeyBytes)
	if _, err := rand.Read(key); err != nil {
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
