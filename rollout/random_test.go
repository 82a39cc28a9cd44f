package rollout

import "math/rand/v2"

func newRandom(seed int) *rand.Rand { return rand.New(rand.NewPCG(uint64(seed), 1)) }
