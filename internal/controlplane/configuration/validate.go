package configuration

import (
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"

	"puffinlink.example/puffinlink/internal/controlplane/queuekey"
)

// maxProblems is the maximum number of problems that one error lists.
const maxProblems = 8

var structValidator = newValidator()

func newValidator() *validator.Validate {
	validate := validator.New(validator.WithRequiredStructEnabled())
	validate.RegisterTagNameFunc(func(field reflect.StructField) string {
		name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
		return name
	})
	return validate
}

// Validate checks each field by its struct tags, and then the constraints between fields. The error is an *InvalidError.
func (c *Configuration) Validate() error {
	if problems := c.fieldProblems(); len(problems) > 0 {
		return &InvalidError{Problems: firstProblems(problems)}
	}
	problems := c.serviceProblems()
	problems = append(problems, c.routeProblems()...)
	if len(problems) > 0 {
		return &InvalidError{Problems: firstProblems(problems)}
	}
	return nil
}

func firstProblems(problems []Problem) []Problem { return problems[:min(len(problems), maxProblems)] }

func (c *Configuration) fieldProblems() []Problem {
	err := structValidator.Struct(c)
	if err == nil {
		return nil
	}
	var failures validator.ValidationErrors
	if !errors.As(err, &failures) {
		return []Problem{{Key: "body", Remedy: err.Error()}}
	}
	problems := make([]Problem, 0, len(failures))
	for _, failure := range failures {
		_, key, _ := strings.Cut(failure.Namespace(), ".")
		problems = append(problems, Problem{Key: key, Remedy: remedy(failure)})
	}
	return problems
}

func remedy(failure validator.FieldError) string {
	switch failure.Tag() {
	case "required":
		return "is missing or empty; set it"
	case "gt":
		return fmt.Sprintf("is %v; set it above %s", failure.Value(), failure.Param())
	case "gte":
		return fmt.Sprintf("is %v; set it to %s or more", failure.Value(), failure.Param())
	case "lte":
		return fmt.Sprintf("is %v; set it to %s or less", failure.Value(), failure.Param())
	case "startswith":
		return fmt.Sprintf("is %q; begin it with %s", failure.Value(), failure.Param())
	}
	return "does not meet " + failure.Tag() + " " + failure.Param()
}

func (c *Configuration) serviceProblems() []Problem {
	var problems []Problem
	seen := make(map[string]bool, len(c.Services))
	for i, service := range c.Services {
		if seen[service.Name] {
			key := fmt.Sprintf("services[%d].name", i)
			problems = append(problems, Problem{Key: key, Remedy: fmt.Sprintf("repeats %q; give each service its own name", service.Name)})
		}
		seen[service.Name] = true
	}
	return problems
}

// routeKey identifies the requests that a route matches. No two routes may have the same key.
type routeKey struct{ host, pathPrefix string }

func (c *Configuration) routeProblems() []Problem {
	var problems []Problem
	services := make(map[string]bool, len(c.Services))
	for _, service := range c.Services {
		services[service.Name] = true
	}
	names := make(map[string]bool, len(c.Routes))
	routesByKey := make(map[routeKey]string, len(c.Routes))
	for i, route := range c.Routes {
		report := func(field, format string, arguments ...any) {
			key := fmt.Sprintf("routes[%d].%s", i, field)
			problems = append(problems, Problem{Key: key, Remedy: fmt.Sprintf(format, arguments...)})
		}
		if !services[route.Service] {
			report("service", "names the unknown service %q; list it under services or name another", route.Service)
		}
		if names[route.Name] {
			report("name", "repeats %q; give each route its own name", route.Name)
		}
		names[route.Name] = true
		key := routeKey{host: queuekey.NormalizeHost(route.Host), pathPrefix: route.PathPrefix}
		if other, taken := routesByKey[key]; taken {
			report("pathPrefix", "route %q has the same host and prefix; change one of them", other)
		}
		routesByKey[key] = route.Name
	}
	return problems
}
