package operator_test

import (
	"net/http"
	"os"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/go-chi/chi/v5"

	"github.com/vanillaquay/vanillaquay/caller"
	"github.com/vanillaquay/vanillaquay/operator"
	"github.com/vanillaquay/vanillaquay/settings"
)

func TestAPIPageListsEveryRoute(t *testing.T) {
	var want []string
	for _, h := range []http.Handler{
		caller.Handler(caller.Options{Settings: settings.Settings{}.WithDefaults()}),
		operator.Handler(settings.Settings{}, fakeHost{}),
	} {
		err := chi.Walk(h.(chi.Routes), func(method, route string, _ http.Handler, _ ...func(http.Handler) http.Handler) error {
			want = append(want, method+" "+route)
			return nil
		})
		qt.Assert(t, err, qt.IsNil)
	}
	page, err := os.ReadFile("../docs/API.md")
	qt.Assert(t, err, qt.IsNil)
	var got []string
	for _, line := range strings.Split(string(page), "\n") {
		if route, ok := strings.CutPrefix(line, "### `"); ok {
			got = append(got, strings.TrimSuffix(route, "`"))
		}
	}
	slices.Sort(want)
	slices.Sort(got)
	qt.Assert(t, got, qt.DeepEquals, want)
}
