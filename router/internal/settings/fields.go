package settings

// Allowed values of log.format and log.level.
const (
	FormatJSON = "json"
	FormatText = "text"

	LevelDebug = "debug"
	LevelInfo  = "info"
	LevelWarn  = "warn"
	LevelError = "error"
)

// Field documents one setting. docs/SETTINGS.md, the examples and the checks of
// a settings file must agree with it.
type Field struct {
	// Path names the setting, such as "session.keys[].id"; "[]" stands for any
	// element of an array.
	Path string
	// Unit of the value; empty if it has none.
	Unit string
	// Rule checks the value.
	Rule Rule
	// Text describes the setting for operators.
	Text string
}

const (
	minuteMS = 60 * 1000
	hourMS   = 60 * minuteMS
	daySec   = 24 * 60 * 60
)

// Fields lists every setting, in the order of the fields of Settings.
func Fields() []Field {
	return []Field{
		{"instance", "", nameRule{required: true}, "This instance's name, unique in the fleet."},
		{"domain", "", nameRule{required: true}, "The failure domain that it runs in."},

		{"listen.api", "", addressRule{}, "Where callers connect."},
		{"listen.admin", "", addressRule{}, "Health, metrics, status and profiles; not for callers."},
		{"listen.peer", "", addressRule{}, "Where the other instances connect."},

		{"platform.log_url", "", urlRule{required: true}, "The platform's append-only log."},
		{"platform.bill_log_url", "", urlRule{}, "A separate log for bills, which no instance reads; if empty, bills go to the log of all records. Must be the same at every instance."},
		{"platform.list_url", "", urlRule{required: true}, "The platform's list of live and leaving instances and backend servers."},
		{"platform.rating_url", "", urlRule{}, "The service that rates answers; if empty, no answer is rated and cascades do not learn."},
		{"platform.append_budget", "appends/s", intRule{1, 100_000}, "Appends per second for the whole fleet; each instance lengthens its group commit interval as needed to stay within its share."},
		{"platform.linger_ms", "ms", intRule{1, 1000}, "The shortest interval of group commit; a request that needs the log waits half of it on average."},
		{"platform.list_interval_ms", "ms", intRule{50, minuteMS}, "How often the list is fetched."},
		{"platform.load_interval_ms", "ms", intRule{20, minuteMS}, "How often each backend server's load is fetched."},

		{"limits.memory_bytes", "bytes", intRule{32 << 20, 1 << 40}, "The memory that the process may use. Clients' connections and what was read on them get a part of it, and give way to each other beyond that."},
		{"limits.max_files", "descriptors", intRule{300, 1 << 24}, "How many file descriptors the process may have open; 200 of them are kept for files."},
		{"limits.max_body_bytes", "bytes", intRule{1024, 64 << 20}, "The longest request body; a longer one is refused with 413."},
		{"limits.max_header_bytes", "bytes", intRule{4096, 1 << 20}, "The longest request header."},
		{"limits.read_timeout_ms", "ms", intRule{100, 10 * minuteMS}, "How long a caller may take to send a whole request."},
		{"limits.write_timeout_ms", "ms", intRule{100, 10 * minuteMS}, "How long a caller may take to read one part of an answer; past it the connection is cut and the engine's work cancelled."},
		{"limits.idle_timeout_ms", "ms", intRule{1000, hourMS}, "How long an idle connection of a caller stays open."},
		{"limits.default_deadline_ms", "ms", intRule{100, hourMS}, "The deadline of a request that names none."},

		{"log.format", "", enumRule{FormatJSON, FormatText}, "The format of the log."},
		{"log.level", "", enumRule{LevelDebug, LevelInfo, LevelWarn, LevelError}, "The lowest level that is logged."},

		{"freshness.bound_ms", "ms", intRule{500, 10 * minuteMS}, "How old the last confirmation of the manifest may be; past it an instance refuses new work. Must be the same at every instance."},

		{"shutdown.grace_ms", "ms", intRule{0, 10 * minuteMS}, "How long readiness fails before new requests are refused; it should exceed the interval of the balancer's check."},
		{"shutdown.drain_ms", "ms", intRule{0, hourMS}, "The longest wait for requests in progress; it should exceed the longest deadline."},

		{"session.keys", "", lengthRule{0, 16}, "Key ring of session tokens. The first key signs, all verify. With none, no token is issued."},
		{"session.keys[].id", "", nameRule{required: true}, "The key's id, unique in the ring; never reused for another secret."},
		{"session.keys[].secret", "base64", secretRule{}, "The key itself, the same at every instance."},
		{"session.ttl_seconds", "s", intRule{60, 30 * daySec}, "The lifetime of a session token."},

		{"peer.cert_file", "", pathRule{}, "This instance's certificate (PEM); its IP must be in it. Empty for plaintext, which is allowed on loopback only."},
		{"peer.key_file", "", pathRule{}, "The certificate's private key (PEM)."},
		{"peer.ca_file", "", pathRule{}, "Certificates (PEM) of the authority that signs every instance's certificate."},
		{"peer.interval_ms", "ms", intRule{100, minuteMS}, "How often digests are exchanged with three peers."},

		{"decision.queue_limit", "requests", intRule{1, 1_000_000}, "The longest queue of a team whose manifest entry sets no limit."},
		{"decision.retry_budget", "fraction", floatRule{0, 1}, "Retries allowed, as a fraction of a team's recent successes."},
		{"decision.rate_budget_ms", "ms", intRule{0, minuteMS}, "How long a cascade's answer may be held back to wait for its rating."},
		{"decision.max_ejected", "fraction", floatRule{0, 0.9}, "The largest fraction of a version's backend servers that may be ejected as outliers."},
		{"decision.overload_wait", "fraction", floatRule{0.05, 1}, "The fraction of the time to its deadline that a request may wait in an overloaded queue; a higher value lets more answers come late, a lower one refuses more requests."},

		{"operator_key_hashes", "", lengthRule{0, 64}, "Hashes of operators' API keys. With none, nobody can publish."},
		{"operator_key_hashes[]", "hex", hashRule{}, "SHA-256 of an operator's API key: printf %s KEY | sha256sum."},
	}
}
