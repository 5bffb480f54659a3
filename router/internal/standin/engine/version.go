package engine

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// Version is one version of a model as this engine runs it.
type Version struct {
	// ID is "model@version".
	ID string `json:"id"`
	// Quality (0 to 1) is written into the answers, for the rating stand-in.
	Quality float64 `json:"quality"`
	// FirstToken is the time to the first token of an empty or fully cached
	// prompt.
	FirstToken time.Duration `json:"first_token"`
	// PerBlock is added to FirstToken for each block of the prompt that is not cached.
	PerBlock time.Duration `json:"per_block"`
	// InterToken is the time between tokens while one request runs.
	InterToken time.Duration `json:"inter_token"`
}

// DefaultVersions returns a fast version of low quality and a slower, better
// one.
func DefaultVersions() []Version {
	return []Version{
		{
			ID:         "small@1",
			Quality:    0.6,
			FirstToken: 2 * time.Millisecond,
			PerBlock:   100 * time.Microsecond,
			InterToken: 500 * time.Microsecond,
		},
		{
			ID:         "large@1",
			Quality:    0.9,
			FirstToken: 8 * time.Millisecond,
			PerBlock:   400 * time.Microsecond,
			InterToken: 2 * time.Millisecond,
		},
	}
}

// ParseVersion parses "model@version" with optional settings after commas, as in
// "small@1,quality=0.6,first=20ms,block=1ms,inter=5ms". The defaults are quality
// 0.5 and zero durations.
func ParseVersion(text string) (Version, error) {
	id, settings, _ := strings.Cut(text, ",")
	model, number, ok := strings.Cut(id, "@")
	if !ok || model == "" || number == "" {
		return Version{}, fmt.Errorf("version %q is not of the form model@version", id)
	}
	v := Version{ID: id, Quality: 0.5}
	if settings == "" {
		return v, nil
	}
	for setting := range strings.SplitSeq(settings, ",") {
		if err := v.set(setting); err != nil {
			return Version{}, fmt.Errorf("version %s: %w", id, err)
		}
	}
	return v, nil
}

// set applies one setting of the form "name=value".
func (v *Version) set(setting string) error {
	name, value, _ := strings.Cut(setting, "=")
	switch name {
	case "quality":
		quality, err := strconv.ParseFloat(value, 64)
		if err != nil {
			return err
		}
		if !(quality >= 0 && quality <= 1) {
			return fmt.Errorf("quality %v is not within 0 to 1", quality)
		}
		v.Quality = quality
		return nil
	case "first":
		return setDuration(&v.FirstToken, value)
	case "block":
		return setDuration(&v.PerBlock, value)
	case "inter":
		return setDuration(&v.InterToken, value)
	default:
		return fmt.Errorf("unknown setting %q (known: quality, first, block, inter)", name)
	}
}

func setDuration(dst *time.Duration, text string) error {
	d, err := time.ParseDuration(text)
	if err != nil {
		return err
	}
	if d < 0 {
		return fmt.Errorf("negative duration %s", text)
	}
	*dst = d
	return nil
}
