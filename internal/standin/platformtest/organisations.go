// SPDX-License-Identifier: MIT

package platformtest

// Keyed is the part of the rules by which calls need keys, as a settings file names it.
const Keyed = "tenants"

// Organisation is one that a configuration names, with its keys in the clear and its cap by the platform's names.
type Organisation struct {
	Name   string
	Keys   []string `json:"ApiKeys"`
	Weight float64
	Cap    map[string]int `json:",omitempty"`
}

// PublishOrganisations writes a version of the configuration with the organisations that it names, besides the fields given.
func (p *Platform) PublishOrganisations(version int, fields map[string]any, organisations ...Organisation) {
	config := map[string]any{"Version": version, "Tenants": organisations}
	for name, value := range fields {
		config[name] = value
	}
	p.Publish(config)
}
