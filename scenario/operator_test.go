package scenario_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/vanillaquay/vanillaquay/configuration"
)

// versionPollInterval is the interval between two polls of the configuration version
// in force at a host.
const versionPollInterval = 50 * time.Millisecond

// versionWatch tracks the configuration version in force at each entry host.
type versionWatch struct {
	mu         sync.Mutex
	versions   map[string]uint64
	violations []string
}

// operatorsCommand simulates operators that change the configuration:
//
//	operators watch              track the version in force at each host from now on
//	operators race N ENTRY...    N operators change it at the same time
//	operators change ENTRY       change it once
//	operators inforce DURATION   wait until the last accepted version is in force everywhere
func operatorsCommand(ts *testscript.TestScript, _ bool, args []string) {
	c := cellOf(ts)
	switch args[0] {
	case "watch":
		c.watchVersions()
	case "race":
		number, err := strconv.Atoi(args[1])
		ts.Check(err)
		c.race(ts, number, args[2:])
	case "change":
		version, _, err := c.change(args[1], 1)
		ts.Check(err)
		c.acceptedVersion = max(c.acceptedVersion, version)
		ts.Logf("operators: version %d is accepted", version)
	case "inforce":
		limit, err := time.ParseDuration(args[1])
		ts.Check(err)
		c.awaitInForce(ts, limit)
	default:
		ts.Fatalf("usage: operators watch|race|change|inforce")
	}
}

// watchVersions polls every host until the scenario ends and records each version
// that goes back. A host that has not read the row yet reports version 0.
func (c *cell) watchVersions() {
	ctx, cancel := context.WithCancel(context.Background())
	c.stopWatch = cancel
	c.watch = &versionWatch{versions: map[string]uint64{}}
	for _, name := range c.entries {
		go func() {
			for ctx.Err() == nil {
				if v, err := c.inForce(name); err == nil {
					c.watch.observe(name, v)
				}
				time.Sleep(versionPollInterval)
			}
		}()
	}
}

func (w *versionWatch) observe(name string, version uint64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if version != 0 && version < w.versions[name] {
		w.violations = append(w.violations, fmt.Sprintf("%s went back from version %d to %d", name, w.versions[name], version))
	}
	w.versions[name] = max(version, w.versions[name])
}

// race runs concurrent operators, each of which raises the weight of its own team
// several times. Each accepted change must have a distinct version, and the final
// version must contain them all.
func (c *cell) race(ts *testscript.TestScript, number int, entries []string) {
	const changes = 3
	var mu sync.Mutex
	accepted := map[uint64]int{}
	var conflicts int
	began := time.Now()
	var wait sync.WaitGroup
	for i := range number {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for done := 0; done < changes && time.Since(began) < waitTimeout; {
				version, conflict, err := c.change(entries[i%len(entries)], i)
				mu.Lock()
				if conflict {
					conflicts++
				}
				if err == nil && !conflict {
					accepted[version]++
					done++
				}
				mu.Unlock()
			}
		}()
	}
	wait.Wait()
	last, err := c.readConfiguration(entries[0])
	ts.Check(err)
	for version, n := range accepted {
		c.acceptedVersion = max(c.acceptedVersion, version)
		if n > 1 {
			ts.Fatalf("version %d was accepted %d times", version, n)
		}
	}
	for i := range number {
		if weight := last.Teams[loadTeam(i)].Weight; weight != changes {
			ts.Fatalf("%s has weight %d in version %d, want %d as accepted", loadTeam(i), weight, last.Version, changes)
		}
	}
	ts.Logf("operators: %d changes accepted, %d conflicts", len(accepted), conflicts)
}

// change reads the configuration and submits it with the weight of a team raised by
// one. It returns the accepted version, or reports a conflict with another change.
func (c *cell) change(entry string, team int) (version uint64, conflict bool, err error) {
	current, err := c.readConfiguration(entry)
	if err != nil {
		return 0, false, err
	}
	if current.Teams == nil {
		current.Teams = map[string]configuration.Team{}
	}
	t := current.Teams[loadTeam(team)]
	t.Weight++
	current.Teams[loadTeam(team)] = t
	body, err := json.Marshal(current)
	if err != nil {
		return 0, false, err
	}
	var result struct{ Version uint64 }
	status, err := c.callOperator(entry, http.MethodPut, "/v1/configuration", body, &result)
	if err != nil || status == http.StatusConflict {
		return 0, status == http.StatusConflict, err
	}
	if status >= http.StatusMultipleChoices {
		return 0, false, fmt.Errorf("status %d", status)
	}
	return result.Version, false, nil
}

func (c *cell) readConfiguration(entry string) (configuration.Configuration, error) {
	var current configuration.Configuration
	status, err := c.callOperator(entry, http.MethodGet, "/v1/configuration", nil, &current)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("status %d", status)
	}
	return current, err
}

func (c *cell) inForce(entry string) (uint64, error) {
	var current configuration.Configuration
	_, err := c.callOperator(entry, http.MethodGet, "/v1/configuration?inforce", nil, &current)
	return current.Version, err
}

func (c *cell) callOperator(entry, method, path string, body []byte, out any) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), loadDeadline)
	defer cancel()
	url := "http://" + c.addresses["ops"+entry[1:]] + path
	request, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Authorization", "Bearer t-ops")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, json.NewDecoder(response.Body).Decode(out)
}

// awaitInForce waits until each host applies the last accepted version. It fails
// the scenario if that takes longer than the limit or if a version ever went back.
func (c *cell) awaitInForce(ts *testscript.TestScript, limit time.Duration) {
	began := time.Now()
	for _, name := range c.entries {
		for {
			version, err := c.inForce(name)
			if err == nil && version >= c.acceptedVersion {
				break
			}
			if time.Since(began) > limit {
				c.fatalf(ts, "%s applies version %d (%v) and not %d after %v", name, version, err, c.acceptedVersion, limit)
			}
			time.Sleep(versionPollInterval)
		}
	}
	ts.Logf("operators: version %d in force everywhere after %v", c.acceptedVersion, time.Since(began).Round(time.Millisecond))
	if c.watch == nil {
		return
	}
	c.watch.mu.Lock()
	defer c.watch.mu.Unlock()
	if len(c.watch.violations) > 0 {
		ts.Fatalf("%s", c.watch.violations[0])
	}
}
