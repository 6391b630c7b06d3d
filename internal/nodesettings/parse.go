package nodesettings

import (
	"encoding"
	"errors"
	"fmt"
	"math"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"github.com/go-playground/validator/v10"
	"github.com/magiconair/properties"
)

// Keys of the struct tags of Settings.
const (
	keyTag     = "property"
	unitTag    = "unit"
	defaultTag = "default"
)

// zonePrefix begins the keys that state the region of a zone, as in zones.NAME.
const zonePrefix = "zones."

// KeyError reports an invalid value of one key.
type KeyError struct {
	Key   string
	Value string
	Cause error // says what value is expected
}

// Error implements the error interface.
func (e *KeyError) Error() string { return fmt.Sprintf("%s=%s: %v", e.Key, e.Value, e.Cause) }

// Unwrap returns the cause.
func (e *KeyError) Unwrap() error { return e.Cause }

// Load reads and validates the settings file at the path in the environment variable PathVariable.
func Load() (Settings, error) {
	path := os.Getenv(PathVariable)
	if path == "" {
		return Settings{}, errNotSet
	}
	return LoadFile(path)
}

// LoadFile reads and validates a settings file.
func LoadFile(path string) (Settings, error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings file: %w", err)
	}
	settings, err := Parse(content)
	if err != nil {
		return Settings{}, fmt.Errorf("settings file %s: %w", path, err)
	}
	return settings, nil
}

// Parse parses and validates the content of a settings file. Unknown keys are ignored. The error joins a *KeyError for each
// invalid value. Values are validated only if all of them can be parsed.
func Parse(content []byte) (Settings, error) {
	// Values are literal: ${...} is not expanded.
	loader := properties.Loader{Encoding: properties.UTF8, DisableExpansion: true}
	values, err := loader.LoadBytes(content)
	if err != nil {
		return Settings{}, fmt.Errorf("not a list of key=value lines: %w", err)
	}
	settings := Settings{Zones: make(map[string]string)}
	if err := fill(reflect.ValueOf(&settings).Elem(), values); err != nil {
		return Settings{}, err
	}
	for _, key := range values.Keys() {
		if zone, found := strings.CutPrefix(key, zonePrefix); found && zone != "" {
			settings.Zones[zone] = text(values, key, "")
		}
	}
	if err := check(&settings, values); err != nil {
		return Settings{}, err
	}
	return settings, nil
}

// fill sets the tagged fields of a struct from the values. It descends into struct fields without a tag.
func fill(target reflect.Value, values *properties.Properties) error {
	var problems []error
	for i := range target.NumField() {
		field := target.Type().Field(i)
		key, tagged := field.Tag.Lookup(keyTag)
		if !tagged {
			if field.Type.Kind() == reflect.Struct {
				problems = append(problems, fill(target.Field(i), values))
			}
			continue
		}
		value := text(values, key, field.Tag.Get(defaultTag))
		if value == "" {
			continue
		}
		if err := set(target.Field(i), value, field.Tag.Get(unitTag)); err != nil {
			problems = append(problems, &KeyError{key, value, err})
		}
	}
	return errors.Join(problems...)
}

// text returns the value of a key without surrounding space, or the fallback if the value is absent or empty.
func text(values *properties.Properties, key, fallback string) string {
	value, _ := values.Get(key)
	if value = strings.TrimSpace(value); value != "" {
		return value
	}
	return fallback
}

// set parses a value and assigns it to a field. The unit applies to durations.
func set(field reflect.Value, value, unit string) error {
	if custom, ok := field.Addr().Interface().(encoding.TextUnmarshaler); ok {
		return custom.UnmarshalText([]byte(value))
	}
	if field.Type() == reflect.TypeFor[time.Duration]() {
		duration, err := parseDuration(value, unit)
		field.SetInt(int64(duration))
		return err
	}
	switch field.Kind() {
	case reflect.String:
		field.SetString(value)
	case reflect.Slice:
		field.Set(reflect.ValueOf(splitList(value)))
	case reflect.Bool:
		return setBool(field, value)
	case reflect.Int, reflect.Int64:
		return setInteger(field, value)
	case reflect.Float64:
		return setNumber(field, value)
	default:
		return unsupportedTypeError{field.Type()}
	}
	return nil
}

// splitList splits a comma-separated list and drops empty items.
func splitList(value string) []string {
	var items []string
	for _, item := range strings.Split(value, ",") {
		if item = strings.TrimSpace(item); item != "" {
			items = append(items, item)
		}
	}
	return items
}

func setBool(field reflect.Value, value string) error {
	parsed, err := strconv.ParseBool(value)
	if err != nil {
		return expectation("want true or false")
	}
	field.SetBool(parsed)
	return nil
}

func setInteger(field reflect.Value, value string) error {
	parsed, err := strconv.ParseInt(value, 10, 64)
	if err != nil {
		return expectation("want a whole number")
	}
	field.SetInt(parsed)
	return nil
}

func setNumber(field reflect.Value, value string) error {
	parsed, err := parseNumber(value)
	if err != nil {
		return err
	}
	field.SetFloat(parsed)
	return nil
}

func parseNumber(value string) (float64, error) {
	parsed, err := strconv.ParseFloat(value, 64)
	if err != nil || math.IsNaN(parsed) || math.IsInf(parsed, 0) {
		return 0, expectation("want a number")
	}
	return parsed, nil
}

// maxDuration is the longest duration that a setting may have, 100 years. time.Duration overflows at about 292 years.
const maxDuration = 100 * 365 * 24 * time.Hour

// parseDuration parses a number of seconds if the unit is "s", and of milliseconds otherwise.
func parseDuration(value, unit string) (time.Duration, error) {
	number, err := parseNumber(value)
	if err != nil {
		return 0, err
	}
	scale := time.Millisecond
	if unit == "s" {
		scale = time.Second
	}
	nanoseconds := number * float64(scale)
	if math.Abs(nanoseconds) > float64(maxDuration) {
		return 0, expectation("want a time of at most %v", maxDuration)
	}
	return time.Duration(math.Round(nanoseconds)), nil
}

var validate = newValidator()

// newValidator returns a validator that reports fields by their keys.
func newValidator() *validator.Validate {
	checker := validator.New(validator.WithRequiredStructEnabled())
	checker.RegisterTagNameFunc(func(field reflect.StructField) string { return field.Tag.Get(keyTag) })
	return checker
}

// check validates the settings and returns a *KeyError for each violation.
func check(settings *Settings, values *properties.Properties) error {
	err := validate.Struct(settings)
	var found validator.ValidationErrors
	if !errors.As(err, &found) {
		return err
	}
	var problems []error
	for _, violation := range found {
		key, _, _ := strings.Cut(violation.Field(), "[") // an item of a list is reported as key[index]
		problems = append(problems, &KeyError{key, text(values, key, ""), ExpectationError(remedy(violation))})
	}
	return errors.Join(problems...)
}

// remedy returns the text that says what a value has to be.
func remedy(violation validator.FieldError) string {
	switch violation.Tag() {
	case "required":
		return "missing: add this key with a value"
	case "ipv4":
		return "want an IPv4 address, as in 10.1.0.12"
	case "hostname_port":
		return "want host:port, as in 10.1.0.12:8144"
	case "gt":
		return "want more than " + violation.Param()
	case "gte":
		return "want " + violation.Param() + " or more"
	default:
		return "does not satisfy " + violation.Tag()
	}
}
