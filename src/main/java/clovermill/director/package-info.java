/**
 * One director: its parts wired together from the settings, its start and its end. It decides nothing but the steps of
 * its end.
 */
package clovermill.director;
