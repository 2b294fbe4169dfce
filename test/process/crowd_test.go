package process_test

import (
	"context"
	"fmt"
	"net"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/gravitational/trace"
	"github.com/stretchr/testify/require"

	"github.com/hornbeamsill/hornbeamsill/internal/member"
	"github.com/hornbeamsill/hornbeamsill/internal/peer"
	"github.com/hornbeamsill/hornbeamsill/test/cluster"
	"github.com/hornbeamsill/hornbeamsill/test/crowd"
)

const (
	// crowdMemoryMB and crowdDescriptors are what a daemon may use without settings of its own.
	crowdMemoryMB    = 512
	crowdDescriptors = 2048
	// crowdBodyBytes is the longest body by default.
	crowdBodyBytes = 4 << 20
	pathChat       = "/v1/chat/completions"
	jsonType       = "Content-Type: application/json"
	// ordinaryAPIKey is of another organisation than the crowds use, which has limits of its own.
	ordinaryAPIKey = "example-key-mtkvari"
)

// faceCrowd runs a trial of a daemon with a crowd at one of its listeners.
func (s *site) faceCrowd(d *cluster.Daemon, startCrowd func() (stop func())) {
	s.t.Helper()
	crowd.Trial{
		PID: strconv.Itoa(d.Pid()), Addresses: []string{hostOf(s.t, d.CallerURL), hostOf(s.t, d.OperatorURL), d.PeerAddress},
		MemoryMB: crowdMemoryMB, Descriptors: crowdDescriptors,
		RequireServed: func(when string) { s.requireServed(d, when) },
	}.Run(s.t, startCrowd)
}

// requireServed requires that an ordinary request is answered, and a call of an operator.
func (s *site) requireServed(d *cluster.Daemon, when string) {
	s.t.Helper()
	require.NoError(s.t, cluster.Eventually(func() error {
		ctx, cancel := context.WithTimeout(s.t.Context(), cluster.WaitTimeout/2)
		defer cancel()
		r, err := cluster.ChatRequest{APIKey: ordinaryAPIKey, Model: "mail-small", Prompt: "ordinary"}.Send(ctx, d.CallerURL, nil)
		if err != nil || !r.Complete() {
			return trace.Errorf("%s: a request got %d, %v", when, r.Status, err)
		}
		return trace.Wrap(cluster.Get(d.OperatorURL+"/v1/status", nil))
	}))
}

func hostOf(t *testing.T, address string) string {
	t.Helper()
	u, err := url.Parse(address)
	require.NoError(t, err)
	return u.Host
}

// chatHead returns the head of a chat request, without its end.
func chatHead() string {
	return crowd.Head(pathChat, "h", "Authorization: Bearer "+visradAPIKey, jsonType)
}

// chatWith returns a client that sends a whole chat request of the longest legal body, whose given field is a list
// of equal elements.
func chatWith(before, element, after string) crowd.Client {
	elements := strings.Repeat(element+",", (crowdBodyBytes-len(before)-len(after))/(len(element)+1)-1) + element
	body := before + elements + after
	return crowd.Send(chatHead() + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
}

// crowdCase is a number of connections that clients use at the same time.
type crowdCase struct {
	conns  int
	client crowd.Client
}

// faceCrowds runs each case against a daemon of its own.
func faceCrowds(t *testing.T, listener func(*cluster.Daemon) string, cases map[string]crowdCase) {
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			s := newLonePlatform(t)
			s.startAll(1, nil)
			d := s.Daemons[0]
			address := hostOf(t, listener(d))
			s.faceCrowd(d, func() func() { return crowd.Start(c.conns, address, c.client) })
		})
	}
}

func callerURL(d *cluster.Daemon) string   { return d.CallerURL }
func operatorURL(d *cluster.Daemon) string { return d.OperatorURL }

// Guards against JSON of very many short elements, which takes many times its length once decoded.
func TestCrowdOfManyElements(t *testing.T) {
	model, messages := `"model":"auto"`, `"messages":[{"role":"user","content":"x"}]`
	faceCrowds(t, callerURL, map[string]crowdCase{
		"stop":              {20, chatWith("{"+model+","+messages+`,"stop":[`, "[]", "]}")},
		"stop, strings":     {20, chatWith("{"+model+","+messages+`,"stop":[`, `""`, "]}")},
		"messages":          {20, chatWith("{"+model+`,"messages":[`, "{}", "]}")},
		"messages, numbers": {20, chatWith("{"+model+`,"messages":[`, "0", "]}")},
		"parts":             {20, chatWith("{"+model+`,"messages":[{"role":"user","content":[`, "{}", "]}]}")},
		"unknown field":     {20, chatWith("{"+model+","+messages+`,"other":[`, "[]", "]}")},
		"fields":            {20, chatWith("{"+model+","+messages+",", `"a":0`, "}")},
	})
}

// Guards against bodies of many callers that together exceed the memory.
func TestCrowdOfUnfinishedChatBodies(t *testing.T) {
	const short = 1000
	head := chatHead()
	services := crowd.Head("/v1/services/catalogue/x", "h", "Authorization: Bearer "+visradAPIKey)
	faceCrowds(t, callerURL, map[string]crowdCase{
		"whole":            {250, crowd.SendWhole(head, crowdBodyBytes, crowdBodyBytes-short)},
		"pieces":           {250, crowd.SendBody(head, crowdBodyBytes, crowdBodyBytes-short, 500)},
		"chunks":           {250, crowd.SendChunks(head, crowdBodyBytes-short, 4000, "")},
		"far over":         {250, crowd.SendChunks(head, 50_000_000, 4000, "")},
		"without a key":    {250, crowd.SendWhole(crowd.Head(pathChat, "h", jsonType), crowdBodyBytes, crowdBodyBytes-short)},
		"without a route":  {250, crowd.SendWhole(crowd.Head("/nowhere", "h", jsonType), crowdBodyBytes, crowdBodyBytes-short)},
		"plain service":    {250, crowd.SendWhole(services, crowdBodyBytes, crowdBodyBytes-short)},
		"complete":         {250, chatWith(`{"model":"auto","messages":[{"role":"user","content":"`, "word", `"}]}`)},
		"complete service": {250, crowd.Send(services + "Content-Length: 4000000\r\n\r\n" + strings.Repeat("b", 4_000_000))},
	})
}

// headCases are crowds whose heads or connections are too many for a listener of any kind.
func headCases(head string) map[string]crowdCase {
	end := "Content-Length: 100\r\n\r\n"
	return map[string]crowdCase{
		"many fields":          {150, crowd.Send(head + crowd.ShortFields(700_000) + end)},
		"many fields, in turn": {150, crowd.SendAgain(head + crowd.ShortFields(700_000) + "Content-Length: 0\r\n\r\n")},
		"legal heads":          {1000, crowd.Send(head + crowd.ShortFields(15_500) + end)},
		"silent":               {2500, crowd.SendNothing},
		"a byte at a time":     {2500, crowd.SendSlowly(head+crowd.ShortFields(10_000), 200*time.Millisecond)},
	}
}

// Guards against heads and connections of callers that use up the memory or the descriptors.
func TestCrowdAtChatListener(t *testing.T) { faceCrowds(t, callerURL, headCases(chatHead())) }

// Guards against clients of the operators' listener that use up the memory or the descriptors.
func TestCrowdAtOperatorListener(t *testing.T) {
	head := crowd.Head("/v1/config/apply", "h", jsonType)
	cases := headCases(head)
	cases["bodies"] = crowdCase{100, crowd.Send(head + "Content-Length: 20000000\r\n\r\n" + `{"text":"` + strings.Repeat("b", 19_000_000))}
	cases["elements"] = crowdCase{20, crowd.Send(head + "Content-Length: 20000000\r\n\r\n" + `{"text":[` + strings.Repeat("[],", 6_000_000))}
	faceCrowds(t, operatorURL, cases)
}

// Guards against callers that do not read their answers and keep all connections.
func TestCrowdThatReadsNoChatAnswers(t *testing.T) {
	s := newLonePlatform(t)
	s.startAll(1, nil)
	d := s.Daemons[0]
	body := `{"model":"auto","stream":true,"messages":[{"role":"user","content":"x"}]}`
	client := crowd.SendAgain(chatHead() + "Content-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body)
	s.faceCrowd(d, func() func() { return crowd.StartWithoutReading(300, hostOf(t, d.CallerURL), client) })
}

// Guards against a chat request of the greatest length that is refused for the limits against crowds.
func TestLongestChatIsServed(t *testing.T) {
	s := newSite(t, 1, nil)
	prompt := strings.Repeat("word ", crowdBodyBytes/5-100)
	r, err := cluster.ChatRequest{APIKey: visradAPIKey, Model: "notes-small", Prompt: prompt}.Send(t.Context(), s.Daemons[0].CallerURL, nil)
	require.NoError(t, err)
	require.True(t, r.Complete(), "%d %v", r.Status, r.Err)
	const messages = 100_000
	body := `{"model":"notes-small","messages":[` + strings.TrimSuffix(strings.Repeat(`{"role":"user","content":"x"},`, messages), ",") + `]}`
	conn, err := net.Dial("tcp", hostOf(t, s.Daemons[0].CallerURL))
	require.NoError(t, err)
	defer conn.Close()
	crowd.Send(chatHead()+"Connection: close\r\nContent-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)(t.Context(), conn)
	status := make([]byte, len("HTTP/1.1 200"))
	_, err = conn.Read(status)
	require.NoError(t, err)
	require.Equal(t, "HTTP/1.1 200", string(status))
}

// Guards against names of callers that a daemon keeps for ever: memory must not grow with the number of names that it
// has seen.
func TestCrowdOfEverNewChatNames(t *testing.T) {
	s := newLonePlatform(t)
	s.startAll(1, nil)
	d := s.Daemons[0]
	var sent atomic.Int64
	peak := 0
	for n := range crowd.Rounds(t) {
		measured := crowd.Measure(strconv.Itoa(d.Pid()), hostOf(t, d.CallerURL))
		stop := make(chan struct{})
		var callers sync.WaitGroup
		for worker := range 30 {
			callers.Go(func() {
				for {
					select {
					case <-stop:
						return
					default:
					}
					name := fmt.Sprint("name-", sent.Add(1))
					r := cluster.ChatRequest{APIKey: visradAPIKey, Model: "auto", Prompt: name}
					switch worker % 4 {
					case 0:
						r.Model = "model-" + name
					case 1:
						r.APIKey = "key-" + name
					case 2:
						r.Kind, r.IdempotencyKey = "clearance", name
					case 3:
						r.Kind = "kind-" + name
					}
					_, _ = r.Send(t.Context(), d.CallerURL, nil)
				}
			})
		}
		time.Sleep(3 * time.Second)
		close(stop)
		callers.Wait()
		peak = measured().ResidentMB
		t.Logf("resident %d MB after round %d, %d requests", peak, n+1, sent.Load())
	}
	require.Less(t, peak, crowdMemoryMB)
	s.requireServed(d, "after the crowd")
}

// Guards against clients of the listener for other daemons that use up the memory or the descriptors.
func TestCrowdAtChatPeerListener(t *testing.T) {
	beat := crowd.Call("Peer.Heartbeat", peer.Heartbeat{News: make([]member.Daemon, 4_000_000)})
	faceCrowds(t, func(d *cluster.Daemon) string { return "tcp://" + d.PeerAddress }, map[string]crowdCase{
		"silent":           {2500, crowd.SendNothing},
		"type definitions": {20, crowd.Send(crowd.CallHeader("Peer.Heartbeat") + crowd.TypeDefinitions(6_000_000))},
		"empty daemons":    {20, crowd.Send(beat)},
		"unfinished calls": {100, crowd.Send(crowd.CallHeader("Peer.Handover") + crowd.UnfinishedValue(30_000_000, 20_000_000))},
		"calls ahead":      {100, crowd.SendAgain(crowd.CallHeader("Peer.None"))},
	})
}
