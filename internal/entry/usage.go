package entry

import (
	"sync"

	"github.com/hornbeamsill/hornbeamsill/internal/capacity"
)

// usageExchange adds up the usage of services that daemons report, while this daemon is the first
// reader of its group.
//
// Lock order: no other lock is taken while mu is held.
type usageExchange struct {
	mu  sync.Mutex
	sum *capacity.Sum
}

func newUsageExchange() *usageExchange { return &usageExchange{sum: capacity.NewSum()} }
