// Package fleet keeps what is known of each service's endpoints: their state, load and speed, and the prompts that they hold.
package fleet
