// Package endings remembers which exchanges with an instance are under way, and which broke off a moment ago.
// It tells the planned end of an instance, which has nothing under way by then, from a crash, which ends all
// its exchanges at once.
package endings

import (
	"sync"
	"time"

	"github.com/jonboulle/clockwork"

	"github.com/hornbeamsill/hornbeamsill/internal/inventory"
)

const (
	// Window is for how long an exchange that broke off is evidence about the end of its instance. An instance
	// that is silent is asked for some seconds whether it has ended.
	Window = 3 * time.Second
	// maxInstances bounds the instances that are remembered beside those with exchanges under way.
	maxInstances = 1024
)

// Evidence is what is known of the exchanges with an instance.
type Evidence struct {
	// UnderWay is the number of exchanges that have not ended, and BrokeOff is set if one broke off within Window.
	UnderWay int
	BrokeOff bool
}

// IsIdle reports whether nothing but the given number of exchanges was under way when the instance ended.
func (e Evidence) IsIdle(own int) bool { return e.UnderWay <= own && !e.BrokeOff }

type record struct {
	underWay   int
	brokeOffAt time.Time
}

// Log has the exchanges of a daemon.
//
// Lock order: mu is taken alone.
type Log struct {
	clock clockwork.Clock

	mu        sync.Mutex
	instances map[inventory.InstanceHash]*record
}

// NewLog returns an empty log.
func NewLog(clock clockwork.Clock) *Log {
	return &Log{clock: clock, instances: map[inventory.InstanceHash]*record{}}
}

// Begin records the beginning of an exchange.
func (l *Log) Begin(i inventory.InstanceHash) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.instances[i]
	if r == nil {
		l.forget()
		r = &record{}
		l.instances[i] = r
	}
	r.underWay++
}

// End records the end of an exchange that has begun. brokeOff is set if its connection broke, so that the
// instance may have ended.
func (l *Log) End(i inventory.InstanceHash, brokeOff bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.instances[i]
	r.underWay--
	if brokeOff {
		r.brokeOffAt = l.clock.Now()
	}
	if r.underWay == 0 && r.brokeOffAt.IsZero() {
		delete(l.instances, i)
	}
}

// Of returns what is known of an instance.
func (l *Log) Of(i inventory.InstanceHash) Evidence {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.instances[i]
	if r == nil {
		return Evidence{}
	}
	return Evidence{UnderWay: r.underWay, BrokeOff: l.isRecent(r)}
}

func (l *Log) isRecent(r *record) bool {
	return !r.brokeOffAt.IsZero() && l.clock.Since(r.brokeOffAt) <= Window
}

// forget deletes old records once there are many. The lock is held.
func (l *Log) forget() {
	if len(l.instances) < maxInstances {
		return
	}
	for i, r := range l.instances {
		if r.underWay == 0 && !l.isRecent(r) {
			delete(l.instances, i)
		}
	}
}
