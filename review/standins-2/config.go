package main

// config returns a configuration in the form of the operator's records, with the routes of a small deployment.
func config(version int, keys ...string) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{"name": "summary", "hostname": host, "pathPrefix": "/summary/", "routeType": "streaming", "timeoutMs": 25000, "targetLatencyMs": 3000,
				"priority": 0, "service": "umwanditsi", "maxAttempts": 3, "public": false, "sessionAffinity": true, "resumable": true, "targetGapMs": 800},
			{"name": "settle", "hostname": host, "pathPrefix": "/settle/", "routeType": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": 300,
				"priority": 2, "service": "ububiko", "maxAttempts": 1, "public": false},
			{"name": "reserve", "hostname": host, "pathPrefix": "/reserve/", "routeType": "idempotent", "timeoutMs": 1500, "targetLatencyMs": 300,
				"priority": 2, "service": "ububiko", "maxAttempts": 2, "public": false},
		},
		"services": []map[string]any{
			{"name": "umwanditsi", "healthPath": "/healthz", "maxConns": 300, "protocol": "h1", "tls": false,
				"runtime": map[string]any{"slots": 48, "kvCapacity": 582721, "stride": 5}},
			{"name": "ububiko", "healthPath": "/healthz", "maxConns": 110, "protocol": "h1", "tls": false},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "hule930", "apiKeys": keys, "priority": 1}},
	}
}
