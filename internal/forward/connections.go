package forward

// maxConnections returns how many connections this daemon may open to one instance; 0 means no
// limit.
func (q *request) maxConnections() int {
	if q.service.MaxConnections <= 0 {
		return 0
	}
	const minimum = 2
	return max(q.connectionShare()*q.service.MaxConnections/max(q.DaemonCount(), 1), minimum)
}

// unevenShares is how many times its even part of an instance's connections a daemon may open
// where daemons and instances get requests in proportion to what they can carry. The slots of an
// instance, and the requests that it queues, are a small part of its connections, so that others
// leave theirs unused.
const unevenShares = 3

// connectionShare returns how many times its even part of the connections this daemon may open.
func (q *request) connectionShare() int {
	if q.placesByTime() {
		return unevenShares
	}
	return 1
}
