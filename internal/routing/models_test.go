package routing

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"parsleypulley/internal/fault"
	"parsleypulley/internal/prefix"
	"parsleypulley/internal/wire"
)

// twoModelMembers returns n engines with the models a and b on the given versions of their weights. If
// reversed is set, they announce b first.
func twoModelMembers(n int, versionA, versionB string, reversed bool) []*wire.Member {
	members := directMembers(n)
	for _, m := range members {
		models := []*wire.LoadedModel{{Model: "a", WeightsVersion: versionA}, {Model: "b", WeightsVersion: versionB}}
		if reversed {
			models[0], models[1] = models[1], models[0]
		}
		m.Backend.Models = models
	}
	return members
}

func modelRequest(model string, key uint64) *Request {
	req := directRequest(key, 6300, 2900)
	req.Model = model
	return req
}

// inBothOrders runs a test for engines that announce either model first.
func inBothOrders(t *testing.T, test func(t *testing.T, reversed bool)) {
	for _, reversed := range []bool{false, true} {
		t.Run(fmt.Sprint("reversed ", reversed), func(t *testing.T) { test(t, reversed) })
	}
}

// Guards against calls for one model that are compared with the weights of another, or sent with its version.
func TestVersionsOfWeightsAreThoseOfTheModel(t *testing.T) {
	inBothOrders(t, func(t *testing.T, reversed bool) {
		is := is.New(t)
		now := time.Unix(1000, 0)
		r := New("a", 1)
		members := twoModelMembers(4, "3", "1", reversed)
		for i, loaded := range members[2].Backend.Models { // the only one with new weights of b
			if loaded.Model == "b" {
				members[2].Backend.Models[i].WeightsVersion = "2"
			}
		}
		r.SetBackends(now, members)
		for _, c := range []struct {
			model                   string
			min, preferred, version uint64
			only                    string
		}{{"a", 3, 3, 3, ""}, {"b", 0, 0, 1, ""}, {"b", 0, 2, 2, "e02"}, {"b", 2, 2, 2, "e02"}} {
			req := directRequest(1, 200, 600)
			req.Model, req.MinWeightsVersion, req.PreferredWeightsVersion = c.model, c.min, c.preferred
			d, err := r.Choose(now, req)
			is.NoErr(err)
			is.True(r.CanChoose(now, req))
			is.Equal(d.Model, c.model)
			if c.only != "" {
				is.Equal(d.Backend.Name, c.only)
			}
			if d.Backend.Name != "e02" || c.only != "" {
				is.Equal(d.WeightsVersion, c.version)
				is.Equal(d.CacheVersion, c.version)
			}
		}
		req := modelRequest("a", 1)
		req.MinWeightsVersion = 4
		_, err := r.Choose(now, req)
		is.True(fault.Is(err, fault.NoBackend))
		is.True(!r.CanChoose(now, req))
	})
}

// Guards against a refusal for one model's weights that keeps an engine from calls for the others.
func TestRefusalForWeightsConcernsOneModel(t *testing.T) {
	inBothOrders(t, func(t *testing.T, reversed bool) {
		is := is.New(t)
		now := time.Unix(1000, 0)
		r := New("a", 1)
		r.SetBackends(now, twoModelMembers(1, "1", "1", reversed))
		d, err := r.Choose(now, modelRequest("b", 1))
		is.NoErr(err)
		r.Started(now, d)
		r.Failed(now, d, fault.StaleWeights)
		_, err = r.Choose(now, modelRequest("b", 1))
		is.True(fault.Is(err, fault.NoBackend))
		_, err = r.Choose(now, modelRequest("a", 1))
		is.NoErr(err)
		_, err = r.Choose(now.Add(refusalPause), modelRequest("b", 1))
		is.NoErr(err)
	})
}

// Guards against what is learnt of one model's cache that stands for another model, or for other weights
// of the same one, and against new weights of one model that make the cache of the others unknown.
func TestCachedStateBelongsToOneModelAndItsWeights(t *testing.T) {
	cached := func(r *Router, now time.Time, model string) uint32 {
		d, err := r.Choose(now, modelRequest(model, 1))
		if err != nil {
			t.Fatal(err)
		}
		return d.CachedTokens
	}
	answer := func(r *Router, now time.Time, model string) {
		d, err := r.Choose(now, modelRequest(model, 1))
		if err != nil {
			t.Fatal(err)
		}
		r.Started(now, d)
		r.Finished(now, d, nil)
	}
	inBothOrders(t, func(t *testing.T, reversed bool) {
		t.Run("own requests", func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			r := New("a", 1)
			r.SetBackends(now, twoModelMembers(1, "1", "1", reversed))
			none := cached(r, now, "b")
			answer(r, now, "a")
			is.True(cached(r, now, "a") > none)
			is.Equal(cached(r, now, "b"), none) // same parts, but of the other model
			answer(r, now, "b")
			is.True(cached(r, now, "b") > none)
			both := cached(r, now, "a")
			r.SetBackends(now, twoModelMembers(1, "1", "2", reversed))
			is.Equal(cached(r, now, "a"), both)
			is.True(cached(r, now, "b") < both)
		})
		t.Run("reports", func(t *testing.T) {
			is := is.New(t)
			now := time.Unix(1000, 0)
			r := New("a", 1)
			r.SetBackends(now, twoModelMembers(2, "1", "1", reversed))
			var held []uint64
			for _, level := range directRequest(1, 6300, 2900).Levels {
				held = append(held, prefix.Versioned(level.Key, "b", 1))
			}
			r.LoadReported(now, "e00", &wire.Load{Held: prefix.NewFilter(held).Marshal()})
			r.LoadReported(now, "e01", &wire.Load{Held: prefix.NewFilter([]uint64{1}).Marshal()})
			now = now.Add(10 * time.Millisecond)
			d, err := r.Choose(now, modelRequest("b", 1))
			is.NoErr(err)
			is.Equal(d.Backend.Name, "e00")
			warm := d.CachedTokens
			is.True(cached(r, now, "a") < warm)
			r.SetBackends(now, twoModelMembers(2, "2", "1", reversed)) // the report goes on to hold for b
			is.Equal(cached(r, now, "b"), warm)
			r.SetBackends(now, twoModelMembers(2, "2", "2", reversed))
			is.True(cached(r, now, "b") < warm)
		})
	})
}

// Guards against calls for a model that reach engines without it, after it was added to some of a service
// or renamed there.
func TestCallsGoToEnginesWithTheirModel(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := New("a", 1)
	members := directMembers(4)
	members[3].Backend.Models = append(members[3].Backend.Models, &wire.LoadedModel{Model: "added", WeightsVersion: "1"})
	r.SetBackends(now, members)
	chosen := func(model string) map[string]bool {
		names := map[string]bool{}
		for key := range uint64(40) {
			d, err := r.Choose(now, modelRequest(model, key))
			is.NoErr(err)
			names[d.Backend.Name] = true
		}
		return names
	}
	is.Equal(chosen("added"), map[string]bool{"e03": true})
	is.Equal(len(chosen("m")), 4)
	is.Equal(len(chosen("unknown")), 4) // the backend servers answer what they think of it
	is.Equal(len(chosen("")), 4)
	renamed := directMembers(4)
	for _, m := range renamed {
		m.Backend.Models[0].Model = "new name"
	}
	r.SetBackends(now, renamed)
	is.Equal(len(chosen("new name")), 4)
	is.Equal(len(chosen("m")), 4)
}

// Guards against a call that names none of several models and finds cached state of weights that one of
// them has lost.
func TestCallWithoutModelUsesNoStateOfOtherWeights(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	versions := map[uint64]bool{}
	for _, members := range [][]*wire.Member{twoModelMembers(1, "1", "1", false), twoModelMembers(1, "1", "2", false), twoModelMembers(1, "2", "1", false)} {
		r := New("a", 1)
		r.SetBackends(now, members)
		d, err := r.Choose(now, modelRequest("", 1))
		is.NoErr(err)
		is.Equal(d.WeightsVersion, uint64(0)) // none is asked for
		versions[d.CacheVersion] = true
	}
	is.Equal(len(versions), 3)
	ordered, reversed := New("a", 1), New("a", 1)
	ordered.SetBackends(now, twoModelMembers(1, "1", "2", false))
	reversed.SetBackends(now, twoModelMembers(1, "1", "2", true))
	a, _ := ordered.Choose(now, modelRequest("", 1))
	b, _ := reversed.Choose(now, modelRequest("", 1))
	is.Equal(a.CacheVersion, b.CacheVersion)
}
