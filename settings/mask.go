package settings

import "slices"

// mask stands in place of a secret that is set.
const mask = "(masked)"

// Masked returns a copy whose secrets are replaced by a mask; empty ones stay empty.
func (s *Settings) Masked() Settings {
	masked := *s
	masked.Process.PeerSecret = maskOf(s.Process.PeerSecret)
	masked.Client.OperatorKey = maskOf(s.Client.OperatorKey)
	masked.Client.CallerKey = maskOf(s.Client.CallerKey)
	masked.Entry.OperatorKeys = slices.Clone(s.Entry.OperatorKeys)
	for i, key := range masked.Entry.OperatorKeys {
		masked.Entry.OperatorKeys[i] = maskOf(key)
	}
	masked.Entry.Callers = slices.Clone(s.Entry.Callers)
	for i := range masked.Entry.Callers {
		masked.Entry.Callers[i].Key = maskOf(masked.Entry.Callers[i].Key)
	}
	return masked
}

func maskOf(secret string) string {
	if secret == "" {
		return ""
	}
	return mask
}
