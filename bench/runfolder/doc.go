// Package runfolder gives tests folders that are kept when they fail.
package runfolder
