package settings

import (
	"encoding/json"
	"reflect"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// secretWords are the words by which the name of a field shows that it holds a secret.
var secretWords = []string{"Secret", "Key", "Token", "Password"}

// TestMaskedCoversEverySecret sets every field that holds a secret by its name, including
// fields added later, and checks that the masked copy does not contain the value.
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
	assert.Equal(t, string(after), string(before), "Masked modified its receiver")
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
