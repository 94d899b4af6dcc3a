// Package conf is the whole configuration of a relay deployment: routes, services, limits and organisations under one version.
package conf
