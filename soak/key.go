package soak

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/vanillaquay/vanillaquay/platformstandin"
)

const (
	// operatorName is the organisation of the cancellers and of the operator's own calls, whose
	// key stays.
	operatorName = "operator"
	operatorKey  = "operator-key"
	// unknownKey is the beginning of all keys that no version has; noKey stands for a missing
	// one.
	unknownKey = "unknown-"
	noKey      = unknownKey + "none"
	// keysPerOrganisation is the number of keys that an organisation has at any time.
	keysPerOrganisation = 2
	// Shares of the calls without a key, with an unknown and with a withdrawn one.
	missingKeyRatio, unknownKeyRatio, withdrawnKeyRatio = 0.03, 0.05, 0.08
)

// keyChoice chooses the keys of a caller.
type keyChoice interface {
	draw() string
	// organisation returns the name of the caller's organisation, or "" if it has none.
	organisation() string
}

// fixedKey is a caller that uses one key.
type fixedKey string

func (k fixedKey) draw() string { return string(k) }

func (k fixedKey) organisation() string {
	if k == "" {
		return ""
	}
	return operatorName
}

// organisationKeys is a caller of an organisation. Its choices don't change what else the caller
// draws.
type organisationKeys struct {
	name    string
	history *history
	random  *rand.Rand
}

func (k *organisationKeys) organisation() string { return k.name }

// draw returns a valid key, or sometimes none, an unknown or a withdrawn one.
func (k *organisationKeys) draw() string {
	valid, withdrawn := k.history.keysOf(k.name)
	part := k.random.Float64()
	switch {
	case part < missingKeyRatio:
		return noKey
	case part < missingKeyRatio+unknownKeyRatio:
		return fmt.Sprintf("%s%x", unknownKey, k.random.Uint64())
	case part < missingKeyRatio+unknownKeyRatio+withdrawnKeyRatio && len(withdrawn) > 0:
		return withdrawn[k.random.IntN(len(withdrawn))]
	default:
		return valid[k.random.IntN(len(valid))]
	}
}

// isNeverHeld reports whether a key of a call is missing though needed, or unknown.
func isNeverHeld(key string) bool { return strings.HasPrefix(key, unknownKey) }

// operatorKey returns the key of calls that are not made by callers of an organisation.
func (s *run) operatorKey() string {
	if s.options.Organisations == 0 {
		return ""
	}
	return operatorKey
}

// newKeyChoice returns how a caller chooses its keys.
func (s *run) newKeyChoice(caller int) keyChoice {
	if s.options.Organisations == 0 {
		return fixedKey("")
	}
	random := rand.New(rand.NewPCG(s.options.Seed, organisationStream+uint64(caller)+1))
	return &organisationKeys{name: organisationName(caller % s.options.Organisations), history: s.history, random: random}
}

func organisationName(number int) string { return fmt.Sprintf("organisation%d", number) }

// addOrganisations adds the organisations of the first version, if there are any, and that of the
// operator.
func (i *injector) addOrganisations(n int) {
	for o := range n {
		added := platformstandin.Organisation{Name: organisationName(o), Weight: 1}
		for range keysPerOrganisation {
			added.Keys = append(added.Keys, i.newKey(added.Name))
			i.history.addKey(Key{Value: added.Keys[len(added.Keys)-1], Organisation: added.Name})
		}
		i.organisations = append(i.organisations, added)
	}
	if n > 0 {
		i.organisations = append(i.organisations, platformstandin.Organisation{Name: operatorName, Keys: []string{operatorKey}, Weight: 1})
		i.history.addKey(Key{Value: operatorKey, Organisation: operatorName})
	}
}

func (i *injector) newKey(organisation string) string {
	i.keyCount++
	return fmt.Sprintf("%s-key%d", organisation, i.keyCount)
}

// changeKeys withdraws the oldest key of an organisation and adds another.
func (i *injector) changeKeys(organisation int) {
	i.mu.Lock()
	defer i.mu.Unlock()
	o := &i.organisations[organisation]
	added := i.newKey(o.Name)
	i.history.setKeyWithdrawn(o.Keys[0])
	o.Keys = append(o.Keys[1:], added)
	i.version++
	i.putCatalogue()
	i.history.addKey(Key{Value: added, Organisation: o.Name, Added: time.Now()})
}

// changeLimit changes the limit of an organisation, in thousandths of a processor.
func (i *injector) changeLimit(organisation int, processors int64) {
	i.mu.Lock()
	defer i.mu.Unlock()
	o := &i.organisations[organisation]
	o.MaxProcessors = processors
	i.version++
	i.putCatalogue()
	i.history.addLimit(Limit{Organisation: o.Name, Processors: processors, From: time.Now()})
}
