package settings

import "slices"

// mask stands in place of a secret that is set.
const mask = "(masked)"

// Masked returns a copy whose secrets are replaced by a mask; empty ones stay empty.
func (s *Settings) Masked() Settings {
	masked := *s
	masked.Process.PeerSecret = maskSecret(s.Process.PeerSecret)
	masked.Client.OperatorKey = maskSecret(s.Client.OperatorKey)
	masked.Client.CallerKey = maskSecret(s.Client.CallerKey)
	masked.Entry.OperatorKeys = slices.Clone(s.Entry.OperatorKeys)
	for i, key := range masked.Entry.OperatorKeys {
		masked.Entry.OperatorKeys[i] = maskSecret(key)
	}
	masked.Entry.Callers = slices.Clone(s.Entry.Callers)
	for i := range masked.Entry.Callers {
		masked.Entry.Callers[i].Key = maskSecret(masked.Entry.Callers[i].Key)
	}
	return masked
}

func maskSecret(secret string) string {
	if secret == "" {
		return ""
	}
	return mask
}
