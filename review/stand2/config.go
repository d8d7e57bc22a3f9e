package main

// Names in the configuration of the stand-in's operator.
const (
	siteHost      = "press.example"
	streamPrefix  = "/report/" // streams that may not be resumed
	resumePrefix  = "/gloss/"  // streams that may be resumed
	unsafePrefix  = "/stock/"  // plain, at most once
	safePrefix    = "/order/"  // plain, may be repeated
	engineService = "models"
	appService    = "app"
	tenantName    = "editors"
	tenantKey     = "i9n73hh2b9wu3fexd9dn"
)

type object = map[string]any

func route(name, prefix, kind, service string, timeoutMs, aimMs, priority, attempts int, resumable, public bool) object {
	r := object{
		"name": name, "host": siteHost, "prefix": prefix, "kind": kind, "timeoutMs": timeoutMs, "targetLatencyMs": aimMs, "priority": priority,
		"service": service, "maxAttempts": attempts, "public": public,
	}
	if kind == "streaming" {
		r["sticky"], r["resumable"], r["gapAimMs"] = true, resumable, 500
	}
	return r
}

// configuration returns a configuration like that of the sheets, with further routes.
func configuration(version int, ratePerS int, more ...object) object {
	routes := []object{
		route("report", streamPrefix, "streaming", engineService, 15000, 800, 0, 1, false, false),
		route("gloss", resumePrefix, "streaming", engineService, 15000, 600, 2, 2, true, false),
		route("stock", unsafePrefix, "unsafe", appService, 600, 100, 2, 1, false, false),
		route("order", safePrefix, "safe", appService, 600, 100, 2, 2, false, false),
	}
	return object{
		"version": version, "routes": append(routes, more...),
		"services": []object{
			{
				"name": engineService, "healthPath": "/health", "maxConnections": 620, "protocol": "h1", "tls": false,
				"engine": object{"slots": 8, "kvCapacity": 349662, "stride": 3, "models": []object{{"name": "m"}}},
			},
			{"name": appService, "healthPath": "/health", "maxConnections": 100, "protocol": "h1", "tls": false},
		},
		"limits":  object{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []object{{"name": tenantName, "apiKeys": []string{tenantKey}, "priority": 1, "unit": "token_count", "plainTokens": 200, "ratePerS": ratePerS, "burst": ratePerS}},
	}
}
