package caller

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/jonboulle/clockwork"
	"github.com/stretchr/testify/require"
)

// Guards against a very long timeout that overflows and becomes a deadline in the past.
func TestLongTimeoutIsNoPastDeadline(t *testing.T) {
	clock := clockwork.NewFakeClock()
	s := &Server{Deps: Deps{Clock: clock}}
	c, _ := gin.CreateTestContext(httptest.NewRecorder())
	c.Request = httptest.NewRequest(http.MethodPost, "/", nil)
	c.Request.Header.Set(HeaderDeadline, "9300000000000")
	deadline, err := s.parseDeadline(c, time.Minute)
	require.NoError(t, err)
	require.Equal(t, clock.Now().Add(24*time.Hour), deadline)
}
