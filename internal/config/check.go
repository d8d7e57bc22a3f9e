package config

import (
	"bytes"
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/go-playground/validator/v10"
	"go.yaml.in/yaml/v3"

	"github.com/gentianflow/gentianflow/internal/failure"
)

// MaxDocumentBytes is the maximum size of a document; 680 accounts and 630
// servers take about 200 KB.
const MaxDocumentBytes = 4 << 20

var checker = newChecker()

func newChecker() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(yamlName)
	return v
}

// Decode decodes a document strictly, checks it and fills in defaults. The
// error lists every fault with its path, its value and the allowed values.
func Decode(text []byte) (*Document, error) {
	if len(text) > MaxDocumentBytes {
		return nil, failure.New(failure.BadConfig, "document of %d bytes; at most %d are allowed", len(text), MaxDocumentBytes)
	}
	var doc Document
	dec := yaml.NewDecoder(bytes.NewReader(text))
	dec.KnownFields(true)
	if err := dec.Decode(&doc); err != nil {
		return nil, failure.Wrap(failure.BadConfig, err, "decode")
	}
	if err := dec.Decode(new(yaml.Node)); !errors.Is(err, io.EOF) {
		return nil, failure.New(failure.BadConfig, "more than one YAML document; exactly one is allowed")
	}
	if err := doc.Check(); err != nil {
		return nil, err
	}
	doc.fillDefaults()
	return &doc, nil
}

// Check validates values and cross-references and reports all faults at once.
func (d *Document) Check() error {
	faults := d.valueFaults()
	faults = append(faults, d.referenceFaults()...)
	if len(faults) == 0 {
		return nil
	}
	return failure.New(failure.BadConfig, "%d fault(s):\n  %s", len(faults), strings.Join(faults, "\n  "))
}

func (d *Document) valueFaults() []string {
	err := checker.Struct(d)
	var fields validator.ValidationErrors
	if !errors.As(err, &fields) {
		return nil
	}
	var faults []string
	for _, f := range fields {
		path := strings.TrimPrefix(f.Namespace(), "Document.")
		allowed := f.Tag()
		if f.Param() != "" {
			allowed += " " + f.Param()
		}
		faults = append(faults, fmt.Sprintf("%s: value %q; allowed: %s", path, fmt.Sprint(f.Value()), allowed))
	}
	return faults
}

// references holds the names that other parts of a document may refer to, and
// the faults found in these references.
type references struct {
	zones    []string
	services []string
	tiers    []string
	faults   []string
}

func (r *references) requireOneOf(path, value string, allowed []string) {
	for _, a := range allowed {
		if a == value {
			return
		}
	}
	r.faults = append(r.faults, fmt.Sprintf("%s: value %q; allowed: %s", path, value, strings.Join(allowed, ", ")))
}

func (r *references) requireUnique(path, value string, seen map[string]string) {
	if first, ok := seen[value]; ok {
		r.faults = append(r.faults, fmt.Sprintf("%s: value %q; allowed: a value not used at %s", path, value, first))
		return
	}
	seen[value] = path
}

func (d *Document) referenceFaults() []string {
	r := &references{zones: d.Places.AvailabilityZones}
	for _, s := range d.Services {
		r.services = append(r.services, s.Name)
	}
	for _, t := range d.Rules.Tiers {
		r.tiers = append(r.tiers, fmt.Sprint(t.Number))
	}
	d.checkServices(r)
	d.checkAccounts(r)
	d.checkRules(r)
	return r.faults
}

func (d *Document) checkServices(r *references) {
	names, servers, addresses := map[string]string{}, map[string]string{}, map[string]string{}
	for i, s := range d.Services {
		path := fmt.Sprintf("services[%d]", i)
		r.requireUnique(path+".name", s.Name, names)
		for j, b := range s.BackendServers {
			serverPath := fmt.Sprintf("%s.backend_servers[%d]", path, j)
			r.requireUnique(serverPath+".name", b.Name, servers)
			r.requireUnique(serverPath+".address", b.Address, addresses)
			r.requireOneOf(serverPath+".availability_zone", b.AvailabilityZone, r.zones)
		}
	}
}

func (d *Document) checkAccounts(r *references) {
	names, secrets := map[string]string{}, map[string]string{}
	for i, a := range d.ClientAccounts {
		path := fmt.Sprintf("client_accounts[%d]", i)
		r.requireUnique(path+".name", a.Name, names)
		r.requireUnique(path+".secret_sha256", a.SecretSHA256, secrets)
		for j, s := range a.Services {
			r.requireOneOf(fmt.Sprintf("%s.services[%d]", path, j), s, r.services)
		}
	}
}

func (d *Document) checkRules(r *references) {
	numbers, kinds := map[string]string{}, map[string]string{}
	for i, t := range d.Rules.Tiers {
		r.requireUnique(fmt.Sprintf("rules.tiers[%d].number", i), fmt.Sprint(t.Number), numbers)
	}
	covered := map[string]bool{}
	for i, k := range d.Rules.RequestKinds {
		path := fmt.Sprintf("rules.request_kinds[%d]", i)
		r.requireUnique(path+".name", k.Service+"/"+k.Name, kinds)
		r.requireOneOf(path+".service", k.Service, r.services)
		r.requireOneOf(path+".tier", fmt.Sprint(k.Tier), r.tiers)
		covered[k.Service] = true
	}
	for i, s := range r.services {
		if !covered[s] {
			r.faults = append(r.faults, fmt.Sprintf("services[%d].name: value %q; allowed: a service with at least one entry in rules.request_kinds", i, s))
		}
	}
}

// Encode encodes the document as YAML.
func Encode(d *Document) ([]byte, error) {
	text, err := yaml.Marshal(d)
	return text, failure.Wrap(failure.Internal, err, "encode configuration")
}
