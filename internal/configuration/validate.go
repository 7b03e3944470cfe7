package configuration

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/go-playground/validator/v10"
)

const (
	// minBurstSeconds is the smallest burst in seconds of the account's rate: room for
	// borrowed tokens in flight is kept free below the burst, see limit.Limiter.FleetCeiling.
	minBurstSeconds = 0.5
	// digestLength is the number of hexadecimal digits of a SHA-256 digest.
	digestLength = 64
)

// fieldValidator checks the validate tags of the wire types.
var fieldValidator = validator.New(validator.WithRequiredStructEnabled())

// documentCheck collects the faults of one document.
type documentCheck struct {
	document documentWire
	faults   []Fault
}

// validate returns all faults of a document, in no particular order.
func validate(document documentWire) []Fault {
	check := &documentCheck{document: document}
	check.checkSections()
	checkAll(check, AccountSection, check.checkAccount)
	checkAll(check, KeySection, check.checkKey)
	checkAll(check, ModelSection, check.checkModel)
	checkAll(check, RouteSection, check.checkRoute)
	checkAll(check, TargetSection, check.checkTarget)
	checkAll(check, WeightStoreSection, func(path string, name string, _ budgetWire) {
		if name != budgetName {
			check.addFault(path, "the only entity of this section is %q", budgetName)
		}
	})
	return check.faults
}

func (check *documentCheck) addFault(path, format string, args ...any) {
	check.faults = append(check.faults, Fault{Path: path, Message: fmt.Sprintf(format, args...)})
}

func (check *documentCheck) checkSections() {
	for section := range check.document {
		if !slices.Contains(sections, section) {
			check.addFault("/"+string(section), "no such section")
		}
	}
}

// checkAll decodes each entity of a section, checks its fields by their tags and
// calls checkEntity for the checks that tags can't express.
func checkAll[Wire any](check *documentCheck, section Section, checkEntity func(path, name string, wire Wire)) {
	for name, data := range check.document[section] {
		path := fmt.Sprintf("/%s/%s", section, name)
		if name == "" {
			check.addFault(path, "an entity needs a name")
		}
		var wire Wire
		if err := decodeStrictly(data, &wire); err != nil {
			check.addFault(path, "%s", describeDecodeError(err))
			continue
		}
		check.checkFields(path, wire)
		checkEntity(path, name, wire)
	}
}

func describeDecodeError(err error) string {
	return strings.TrimPrefix(err.Error(), "json: ")
}

func (check *documentCheck) checkFields(path string, wire any) {
	err := fieldValidator.Struct(wire)
	failures, failed := err.(validator.ValidationErrors)
	if !failed {
		return
	}
	for _, failure := range failures {
		_, field, _ := strings.Cut(failure.Namespace(), ".")
		check.addFault(path+"/"+strings.ReplaceAll(field, ".", "/"), "the value %v breaks the rule %s", failure.Value(), ruleText(failure))
	}
}

func ruleText(failure validator.FieldError) string {
	if failure.Param() == "" {
		return failure.Tag()
	}
	return failure.Tag() + " " + failure.Param()
}

func (check *documentCheck) has(section Section, name string) bool {
	_, found := check.document[section][name]
	return found
}

func (check *documentCheck) checkAccount(path, _ string, wire accountWire) {
	if wire.BurstTokens < wire.RateTokensPerSecond*minBurstSeconds {
		check.addFault(path+"/BurstTokens", "a burst is at least %v s of the rate", minBurstSeconds)
	}
}

func (check *documentCheck) checkKey(path, name string, wire keyWire) {
	if len(name) != digestLength || strings.Trim(name, "0123456789abcdef") != "" {
		check.addFault(path, "a key's name is its SHA-256 digest in %d lower-case hexadecimal digits", digestLength)
	}
	if wire.Account != "" && !check.has(AccountSection, wire.Account) {
		check.addFault(path+"/Account", "no account %q", wire.Account)
	}
}

func (check *documentCheck) checkModel(path, name string, wire modelWire) {
	if strings.ContainsAny(name, ":@/") {
		check.addFault(path, "a model's name has no ':', '@' or '/'")
	}
	check.checkDuration(path+"/LoadTime", wire.LoadTime)
	check.checkDuration(path+"/WaitLimit", wire.WaitLimit)
}

func (check *documentCheck) checkRoute(path, _ string, wire routeWire) {
	check.checkDuration(path+"/WaitLimit", wire.WaitLimit)
	for index, target := range wire.Targets {
		var spec targetWire
		data, found := check.document[TargetSection][target]
		if !found {
			check.addFault(fmt.Sprintf("%s/Targets/%d", path, index), "no target %q", target)
			continue
		}
		if err := json.Unmarshal(data, &spec); err == nil && spec.Kind != "Service" {
			check.addFault(fmt.Sprintf("%s/Targets/%d", path, index), "target %q is not a service", target)
		}
	}
}

func (check *documentCheck) checkTarget(path, _ string, wire targetWire) {
	if wire.Kind == "Engine" && wire.MemoryBytes <= 0 {
		check.addFault(path+"/MemoryBytes", "an engine needs memory")
	}
}

func (check *documentCheck) checkDuration(path, text string) {
	if text == "" {
		return
	}
	if _, err := parsePositiveDuration(text); err != nil {
		check.addFault(path, "%q is not a positive duration such as 30s", text)
	}
}
