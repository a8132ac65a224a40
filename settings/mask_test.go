package settings

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// secretWords are parts of the names of fields that hold secrets.
var secretWords = []string{"Secret", "Key", "Token", "Password"}

// TestMaskedCoversEverySecret fills every field whose name says that it holds a
// secret, also one added later, and looks for the value in the masked copy.
func TestMaskedCoversEverySecret(t *testing.T) {
	const secret = "s3cret-value"
	s := Settings{Entry: Entry{OperatorKeys: make([]string, 2), Callers: make([]Caller, 2)}, Targets: make([]Target, 1)}
	filled := fillSecrets(reflect.ValueOf(&s).Elem(), false, secret)
	assert.Equal(t, filled, 7)
	before, err := json.Marshal(s)
	assert.NilError(t, err)
	masked, err := json.Marshal(s.Masked())
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(before), secret), filled)
	assert.Equal(t, strings.Count(string(masked), secret), 0)
	assert.Equal(t, strings.Count(string(masked), mask), filled)
	after, err := json.Marshal(s)
	assert.NilError(t, err)
	assert.Equal(t, string(after), string(before), "Masked changed its receiver")
}

func fillSecrets(v reflect.Value, secretField bool, secret string) int {
	filled := 0
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			name := v.Type().Field(i).Name
			filled += fillSecrets(v.Field(i), isSecretName(name), secret)
		}
	case reflect.Slice:
		for i := range v.Len() {
			filled += fillSecrets(v.Index(i), secretField, secret)
		}
	case reflect.String:
		if secretField {
			v.SetString(secret)
			filled++
		}
	}
	return filled
}

func isSecretName(name string) bool {
	for _, word := range secretWords {
		if strings.Contains(name, word) {
			return true
		}
	}
	return false
}
