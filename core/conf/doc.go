// Package conf defines the versioned configuration of a relay deployment: routes, services, limits and organisations.
package conf
