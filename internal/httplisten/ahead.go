package httplisten

import "context"

// aheadDivisor is the divisor of the number of connections that gives how many requests run at once that were
// sent before the answer to the one before.
const aheadDivisor = 16

// awaitTurn waits until a request that was sent ahead may run, and returns a function that ends its turn. It returns
// nil if the connection or the request ends before. Such requests of a crowd would otherwise take all instances from
// clients that send one request at a time.
func (c *conn) awaitTurn(ctx context.Context) (end func()) {
	turns := c.listener.turns
	if turns == nil || !c.ahead {
		return func() {}
	}
	end = func() { turns.Release(1) }
	if turns.TryAcquire(1) {
		return end
	}
	c.listener.options.Metrics.Ahead.Add(1)
	c.setPhase(phaseRequest, phaseAhead)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() {
		select {
		case <-c.closed:
			cancel()
		case <-ctx.Done():
		}
	}()
	if turns.Acquire(ctx, 1) != nil {
		return nil
	}
	if !c.setPhase(phaseAhead, phaseRequest) {
		end()
		return nil
	}
	return end
}
