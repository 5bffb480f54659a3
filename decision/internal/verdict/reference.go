package verdict

import "cmp"

// errorLine is the share of good ends below which v is worse. The predecessor
// counts its faults in, so that a cause that hits both bars neither.
func (t *Versions[V, S]) minSuccessRate(v *version[V, S]) float64 {
	ok := 1 - minReferenceErrorRate
	if ref, known := t.reference(v, noClass, errorsOf); known {
		ok = min(ok, ref)
	}
	return ok - t.cfg.ErrorMargin
}

// ratingLine is the mean rating of a class below which v is worse.
func (t *Versions[V, S]) minRating(v *version[V, S], class string) float64 {
	if ref, known := t.reference(v, class, ratingsOf); known {
		return ref - t.cfg.RatingMargin
	}
	return v.info.Quality - t.cfg.PriorRatingMargin
}

func errorsOf[V, S cmp.Ordered](v *version[V, S]) *signal  { return &v.errors }
func ratingsOf[V, S cmp.Ordered](v *version[V, S]) *signal { return &v.ratings }

// reference is what v must reach: its predecessor's mean; while too little is
// known of that, its own past; known is false while that is too little as well.
func (t *Versions[V, S]) reference(v *version[V, S], class string, of func(*version[V, S]) *signal) (ref float64, known bool) {
	if p := t.predecessor(v); p != nil {
		if past := of(p).history(class); past.all.n >= t.cfg.MinReferenceSamples {
			return past.successorReference(), true
		}
	}
	if past := of(v).history(class); past.baseline.n >= t.cfg.MinReferenceSamples {
		return past.baseline.lowerBound(referenceZ), true
	}
	return 0, false
}

func (t *Versions[V, S]) predecessor(v *version[V, S]) *version[V, S] {
	if p := t.versions[v.info.Predecessor]; p != v {
		return p
	}
	return nil
}

// referenceZ is the confidence of a reference: at 1.6 standard errors it is
// truly lower only once in 20.
const referenceZ = 1.6
