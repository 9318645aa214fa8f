// SPDX-License-Identifier: MIT

package platformtest

// TenantsContract is the entry of Contracts in a settings file that makes calls require API keys.
const TenantsContract = "tenants"

// Organisation is an organisation of a configuration, with its keys in plain text. Cap is keyed by the platform's resource names.
type Organisation struct {
	Name   string
	Keys   []string `json:"ApiKeys"`
	Weight float64
	Cap    map[string]int `json:",omitempty"`
}

// PublishOrganisations publishes a version of the configuration with the organisations and the given further fields.
func (p *Platform) PublishOrganisations(version int, fields map[string]any, organisations ...Organisation) {
	config := map[string]any{"Version": version, "Tenants": organisations}
	for name, value := range fields {
		config[name] = value
	}
	p.Publish(config)
}
