package settings

// Default values. The unit of a duration is in the constant's name.
const (
	defaultAppendBudget      = 200
	defaultLingerMS          = 20
	defaultListIntervalMS    = 1000
	defaultLoadIntervalMS    = 250
	defaultMemoryBytes       = 512 << 20
	defaultMaxFiles          = 4096
	defaultMaxBodyBytes      = 1 << 20
	defaultMaxHeaderBytes    = 64 << 10
	defaultReadTimeoutMS     = 10_000
	defaultWriteTimeoutMS    = 10_000
	defaultIdleTimeoutMS     = 60_000
	defaultDeadlineMS        = 30_000
	defaultFreshnessBoundMS  = 5000
	defaultGraceMS           = 2000
	defaultDrainMS           = 30_000
	defaultSessionTTLSeconds = 24 * 60 * 60
	defaultPeerIntervalMS    = 1000
	defaultQueueLimit        = 256
	defaultRetryBudget       = 0.1
	defaultRateBudgetMS      = 300
	defaultMaxEjected        = 0.34
	defaultOverloadWait      = 0.2
	defaultListenAddress     = "127.0.0.1:0"
)

// Default returns the values of settings that a file leaves out. Instance, Domain
// and the URLs of the platform's log and list have no default: a file must set
// them. Fields documents each setting.
func Default() Settings {
	return Settings{
		Listen: Listen{
			API:   defaultListenAddress,
			Admin: defaultListenAddress,
			Peer:  defaultListenAddress,
		},
		Platform: Platform{
			AppendBudget:   defaultAppendBudget,
			LingerMS:       defaultLingerMS,
			ListIntervalMS: defaultListIntervalMS,
			LoadIntervalMS: defaultLoadIntervalMS,
		},
		Limits: Limits{
			MemoryBytes:       defaultMemoryBytes,
			MaxFiles:          defaultMaxFiles,
			MaxBodyBytes:      defaultMaxBodyBytes,
			MaxHeaderBytes:    defaultMaxHeaderBytes,
			ReadTimeoutMS:     defaultReadTimeoutMS,
			WriteTimeoutMS:    defaultWriteTimeoutMS,
			IdleTimeoutMS:     defaultIdleTimeoutMS,
			DefaultDeadlineMS: defaultDeadlineMS,
		},
		Log:       Log{Format: FormatJSON, Level: LevelInfo},
		Freshness: Freshness{BoundMS: defaultFreshnessBoundMS},
		Shutdown:  Shutdown{GraceMS: defaultGraceMS, DrainMS: defaultDrainMS},
		Session:   Session{TTLSeconds: defaultSessionTTLSeconds},
		Peer:      Peer{IntervalMS: defaultPeerIntervalMS},
		Decision: Decision{
			QueueLimit:   defaultQueueLimit,
			RetryBudget:  defaultRetryBudget,
			RateBudgetMS: defaultRateBudgetMS,
			MaxEjected:   defaultMaxEjected,
			OverloadWait: defaultOverloadWait,
		},
	}
}
