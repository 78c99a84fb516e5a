package intake_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"github.com/vanillaquay/vanillaquay/intake"
	"github.com/vanillaquay/vanillaquay/workload"
)

// A key is withdrawn between two copies of a call. The caller must be told 401, which means that
// nothing was done, only if no copy can have had an effect, and no copy may follow a refusal.
func TestRefusedKeyOfCopies(t *testing.T) {
	refused := intake.Answer{Reply: intake.Reply{Outcome: intake.Unauthorised}}
	accepted := intake.Answer{Reply: intake.Reply{Outcome: intake.Accepted}}
	for _, test := range []struct {
		name    string
		copies  int
		answers []intake.Answer
		want    intake.Outcome
	}{
		{"only copy refused", 1, []intake.Answer{refused}, intake.Unauthorised},
		{"the other copy is open", 2, []intake.Answer{refused}, intake.Unknown},
		{"the other copy was accepted", 2, []intake.Answer{refused, accepted}, intake.Accepted},
		{"the other copy was not owned", 2, []intake.Answer{{NotOwner: true}, refused}, intake.Unauthorised},
		{"both refused", 2, []intake.Answer{refused, refused}, intake.Unauthorised},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			s := newFakeSender()
			f := newForwarder(s)
			by := intake.Credential{Key: "k", CatalogueVersion: 3}
			replies := make(chan intake.Reply, 1)
			ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
			defer cancel()
			go func() { replies <- f.Submit(ctx, by, workload.Job{ID: "j"}) }()
			call := <-s.sent
			c.Check(call.Credential, qt.Equals, by)
			if test.copies > 1 {
				f.ResendPending()
				c.Check((<-s.sent).Credential, qt.Equals, by)
			}
			for _, a := range test.answers {
				a.Number = call.Number
				f.HandleAnswer(a)
			}
			if test.want == intake.Unknown {
				// The refusal must have been read before the next copy is requested.
				time.Sleep(50 * time.Millisecond)
				f.ResendPending()
			}
			c.Check((<-replies).Outcome, qt.Equals, test.want)
			c.Check(s.sent, qt.HasLen, 0)
		})
	}
}
