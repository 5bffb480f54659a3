package verdict

import "cmp"

// minSuccessRate is the share of successful attempts below which v counts as
// worse. It is lower if the predecessor has errors, so that a fault that affects
// both versions does not block the successor.
func (t *Versions[V, S]) minSuccessRate(v *version[V, S]) float64 {
	rate := 1 - minReferenceErrorRate
	if ref, known := t.reference(v, noClass, errorsOf); known {
		rate = min(rate, ref)
	}
	return rate - t.cfg.ErrorMargin
}

// minRating is the mean rating of a class below which v counts as worse.
func (t *Versions[V, S]) minRating(v *version[V, S], class string) float64 {
	if ref, known := t.reference(v, class, ratingsOf); known {
		return ref - t.cfg.RatingMargin
	}
	return v.info.Quality - t.cfg.PriorRatingMargin
}

func errorsOf[V, S cmp.Ordered](v *version[V, S]) *signal  { return &v.errors }
func ratingsOf[V, S cmp.Ordered](v *version[V, S]) *signal { return &v.ratings }

// reference is the mean of a signal that v must reach: that of its predecessor or,
// with too few observations of the predecessor, of v's own baseline. known is
// false if there are too few observations of both. of selects the signal.
func (t *Versions[V, S]) reference(v *version[V, S], class string, of func(*version[V, S]) *signal) (ref float64, known bool) {
	if p := t.predecessor(v); p != nil {
		if h := of(p).history(class); h.all.n >= t.cfg.MinReferenceSamples {
			return h.successorReference(), true
		}
	}
	if h := of(v).history(class); h.baseline.n >= t.cfg.MinReferenceSamples {
		return h.baseline.lowerBound(referenceZ), true
	}
	return 0, false
}

func (t *Versions[V, S]) predecessor(v *version[V, S]) *version[V, S] {
	if p := t.versions[v.info.Predecessor]; p != v {
		return p
	}
	return nil
}

// referenceZ is the confidence of a reference, in standard errors: with 1.6 of
// them the true mean is below the reference in one case of 20.
const referenceZ = 1.6
